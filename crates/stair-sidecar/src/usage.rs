//! Tracks the use of each model and adapter by all entries.

use std::time::Duration;

use stair_fleet::msg::{
    LoadRequest, //
    Used,
};

/// Time constant of the request rates, in seconds. Demand moves between models within six seconds.
const RATE_TIME_CONSTANT_S: f64 = 1.8;

/// Time after a request during which a model or adapter is not evicted for another. The client's
/// request is still on its way; if its model were evicted meanwhile, two models would replace each
/// other forever.
const EVICTION_HOLD_DURATION: Duration = Duration::from_millis(600);

/// One connection of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkKey(pub u64);

impl LinkKey {
    /// The agent itself, which has no connection.
    pub const AGENT: Self = Self(0);
}

/// Use of one model, or of an adapter as `MODEL/NAME`.
struct UsageEntry {
    name: Box<str>,
    per_s: f64,
    /// Decaying average of the fraction of the engine's time that its prefills take.
    work: f64,
    /// When the averages were last updated.
    at: Duration,
    /// Requests in flight by connection.
    in_flight: Vec<(LinkKey, u32)>,
    /// Time of the last request.
    requested: Option<Duration>,
}

/// Use of all models and adapters.
#[derive(Default)]
pub struct Usage {
    /// Sorted by name.
    list: Vec<UsageEntry>,
}

impl Usage {
    /// Records a load request for a model, and for its adapter if the request names one.
    pub fn record_request(&mut self, req: &LoadRequest, now: Duration) {
        self.entry(&req.model, now).requested = Some(now);
        let name = key(&req.model, req.adapter.as_deref());
        self.entry(&name, now).requested = Some(now);
    }

    /// Records a prompt whose prefill takes `work` of the engine's time, and whether it was admitted.
    ///
    /// A rejected prompt counts as demand, or a saturated model would get no further replica. An
    /// admitted one is on its way, so it renews the eviction hold of its model.
    pub fn record_prompt(&mut self, model: &str, admitted: bool, work: Duration, now: Duration) {
        let entry = self.entry(model, now);
        entry.work += work.as_secs_f64() / RATE_TIME_CONSTANT_S;
        if admitted {
            entry.requested = Some(now);
        } else {
            entry.per_s += 1.0 / RATE_TIME_CONSTANT_S;
        }
    }

    /// Records what an entry has sent and what it has in flight.
    pub fn record_sent(&mut self, link: LinkKey, list: &[Used], now: Duration) {
        for used in list {
            let entry = self.entry(&used.model, now);
            entry.per_s += f64::from(used.sent) / RATE_TIME_CONSTANT_S;
            entry.in_flight.retain(|(l, _)| *l != link);
            if used.in_flight > 0 {
                entry.in_flight.push((link, used.in_flight));
            }
        }
    }

    /// Adds one request to the rate of a model.
    pub fn count(&mut self, model: &str, now: Duration) {
        self.entry(model, now).per_s += 1.0 / RATE_TIME_CONSTANT_S;
    }

    /// The names of all models and adapters, each with its requests per second.
    pub fn rates(&self, now: Duration) -> impl Iterator<Item = (&str, f64)> {
        self.list.iter().map(move |u| (&*u.name, u.rate(now)))
    }

    /// Drops the requests in flight of a connection.
    pub fn remove_link(&mut self, link: LinkKey) {
        for entry in &mut self.list {
            entry.in_flight.retain(|(l, _)| *l != link);
        }
    }

    /// Whether the last request for `name`, or for an adapter of the model `name`, is long enough ago
    /// for an eviction.
    pub fn eviction_hold_elapsed(&self, name: &str, now: Duration) -> bool {
        let prefix = format!("{name}/");
        self.list
            .iter()
            .filter(|u| *u.name == *name || u.name.starts_with(&prefix))
            .filter_map(|u| u.requested)
            .all(|at| now.saturating_sub(at) > EVICTION_HOLD_DURATION)
    }

    /// Time of the last request.
    pub fn last_request(&self, name: &str) -> Option<Duration> {
        self.find(name)?.requested
    }

    /// Requests in flight, of all connections.
    pub fn in_flight(&self, name: &str) -> u32 {
        let found = self.find(name);
        found.map_or(0, |u| u.in_flight.iter().map(|(_, n)| n).sum())
    }

    /// Requests per second, as a decaying average.
    pub fn rate(&self, name: &str, now: Duration) -> f64 {
        self.find(name).map_or(0.0, |u| u.rate(now))
    }

    /// Fraction of the engine's time that prefills take, as a decaying average.
    pub fn work(&self, name: &str, now: Duration) -> f64 {
        self.find(name).map_or(0.0, |u| u.work * u.decay(now))
    }

    fn find(&self, name: &str) -> Option<&UsageEntry> {
        let i = self.list.binary_search_by(|u| (*u.name).cmp(name)).ok()?;
        Some(&self.list[i])
    }

    fn entry(&mut self, name: &str, now: Duration) -> &mut UsageEntry {
        let i = match self.list.binary_search_by(|u| (*u.name).cmp(name)) {
            Ok(i) => i,
            Err(i) => {
                let new = UsageEntry {
                    name: name.into(),
                    per_s: 0.0,
                    work: 0.0,
                    at: now,
                    in_flight: Vec::new(),
                    requested: None,
                };
                self.list.insert(i, new);
                i
            }
        };
        let entry = &mut self.list[i];
        entry.work *= entry.decay(now);
        entry.per_s = entry.rate(now);
        entry.at = now;
        entry
    }
}

impl UsageEntry {
    fn rate(&self, now: Duration) -> f64 {
        self.per_s * self.decay(now)
    }

    /// Factor by which the averages have decayed since their last update.
    fn decay(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        (-passed / RATE_TIME_CONSTANT_S).exp()
    }
}

/// Returns the key of a model, `MODEL`, or of its adapter, `MODEL/NAME`.
pub fn key(model: &str, adapter: Option<&str>) -> Box<str> {
    match adapter {
        None => model.into(),
        Some(a) => format!("{model}/{a}").into(),
    }
}
