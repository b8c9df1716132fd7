//! How much each model and adapter is used, by all entries.

use std::time::Duration;

use stair_fleet::msg::{
    LoadRequest, //
    Used,
};

/// Time constant of the request rates, in seconds: demand moves between models within six.
const RATE_TIME_CONSTANT_S: f64 = 1.8;

/// Time for which a model or adapter that was asked for is not dropped for another. The request
/// that asked is on its way; dropping the model under it would have both load in turn for ever.
const EVICTION_HOLD_DURATION: Duration = Duration::from_millis(600);

/// One connection of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkKey(pub u64);

impl LinkKey {
    /// No connection: the agent itself.
    pub const AGENT: Self = Self(0);
}

/// Use of one model, or of an adapter as `MODEL/NAME`.
struct UsageEntry {
    name: Box<str>,
    per_s: f64,
    /// Part of the engine's time that it took lately.
    work: f64,
    at: Duration,
    /// In flight by connection.
    in_flight: Vec<(LinkKey, u32)>,
    /// When it was last asked for.
    requested: Option<Duration>,
}

/// Use of all of them.
#[derive(Default)]
pub struct Usage {
    /// Sorted by name.
    list: Vec<UsageEntry>,
}

impl Usage {
    /// Notes that a model, and its adapter if the load request names one, was asked for.
    pub fn record_request(&mut self, req: &LoadRequest, now: Duration) {
        self.entry(&req.model, now).requested = Some(now);
        let name = key(&req.model, req.adapter.as_deref());
        self.entry(&name, now).requested = Some(now);
    }

    /// Notes a prompt that takes so much of the engine's time, and whether it has its slot.
    ///
    /// A rejected prompt counts as demand, or a saturated model would get no further replica. An admitted one is on
    /// its way, and its model is not evicted under it.
    pub fn record_prompt(&mut self, model: &str, admitted: bool, work: Duration, now: Duration) {
        let entry = self.entry(model, now);
        entry.work += work.as_secs_f64() / RATE_TIME_CONSTANT_S;
        if admitted {
            entry.requested = Some(now);
        } else {
            entry.per_s += 1.0 / RATE_TIME_CONSTANT_S;
        }
    }

    /// Takes in what an entry has sent.
    pub fn take(&mut self, link: LinkKey, list: &[Used], now: Duration) {
        for used in list {
            let entry = self.entry(&used.model, now);
            entry.per_s += f64::from(used.sent) / RATE_TIME_CONSTANT_S;
            entry.in_flight.retain(|(l, _)| *l != link);
            if used.in_flight > 0 {
                entry.in_flight.push((link, used.in_flight));
            }
        }
    }

    /// Counts a request for a model.
    pub fn count(&mut self, model: &str, now: Duration) {
        self.entry(model, now).per_s += 1.0 / RATE_TIME_CONSTANT_S;
    }

    /// Requests a second lately for each name.
    pub fn rates(&self, now: Duration) -> impl Iterator<Item = (&str, f64)> {
        self.list.iter().map(move |u| (&*u.name, u.rate(now)))
    }

    /// Forgets a connection.
    pub fn remove_link(&mut self, link: LinkKey) {
        for entry in &mut self.list {
            entry.in_flight.retain(|(l, _)| *l != link);
        }
    }

    /// Whether neither it nor, for a model, one of its adapters was asked for a moment ago.
    pub fn eviction_hold_elapsed(&self, name: &str, now: Duration) -> bool {
        let prefix = format!("{name}/");
        self.list
            .iter()
            .filter(|u| *u.name == *name || u.name.starts_with(&prefix))
            .filter_map(|u| u.requested)
            .all(|at| now.saturating_sub(at) > EVICTION_HOLD_DURATION)
    }

    /// When it was last asked for.
    pub fn last_request(&self, name: &str) -> Option<Duration> {
        self.find(name)?.requested
    }

    /// Requests in flight.
    pub fn in_flight(&self, name: &str) -> u32 {
        let found = self.find(name);
        found.map_or(0, |u| u.in_flight.iter().map(|(_, n)| n).sum())
    }

    /// Requests a second lately.
    pub fn rate(&self, name: &str, now: Duration) -> f64 {
        self.find(name).map_or(0.0, |u| u.rate(now))
    }

    /// Part of the engine's time that it took lately.
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

    /// Part of the averages that is left of what they were.
    fn decay(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        (-passed / RATE_TIME_CONSTANT_S).exp()
    }
}

/// The name of a model, or of its adapter.
pub fn key(model: &str, adapter: Option<&str>) -> Box<str> {
    match adapter {
        None => model.into(),
        Some(a) => format!("{model}/{a}").into(),
    }
}
