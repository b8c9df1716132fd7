//! What the engine holds, which loads are requested, and the next order. No I/O; time is passed in.
//!
//! Invariants: an order names the sequence of the newest reading, so the engine rejects it when it comes late or twice;
//! the weights after an order never exceed the engine's memory. A load that a former life of the engine left unanswered
//! may still be carried out, and takes its room until that is no longer possible.

mod plan;
mod report;

use std::time::Duration;

use platform_adapter::engine::{
    Reading,
    Reply, //
};
use stair_fleet::{
    catalogue::Engine,
    msg::{
        LoadRequest, //
        Outcome,
        Used,
    },
    target::{
        CopyLocation,
        Fetched, //
    },
};

use crate::usage::{
    LinkKey,
    Usage,
    key, //
};

/// Time for which an adapter that is still in use counts as making way. Until its requests end the
/// engine keeps it, and ordering it again or another one away gains nothing.
const ADAPTER_UNLOAD_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pause after the engine refused an order because of another one, or of a state that has changed:
/// asking again at once would be refused again.
const CONFLICT_PAUSE: Duration = Duration::from_millis(120);

/// Time after which an order that was not answered is not carried out any more. Operators speak of
/// seconds.
const UNCONFIRMED_ORDER_TTL: Duration = Duration::from_secs(10);

/// Time in which what an engine held before it crashed is brought back, each model after the other. Later
/// than that, entries have asked for what is still missed.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(6);

/// Who asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadRequestId {
    /// On which connection.
    pub link: LinkKey,
    /// The question's number there.
    pub seq: u64,
}

/// An order to give now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Whether to load or unload.
    pub load: bool,
    /// The model.
    pub model: Box<str>,
    /// Its adapter, if the order is about one.
    pub adapter: Option<Box<str>>,
    /// The sequence that it is planned on.
    pub planned_on: u64,
}

struct Pending {
    id: LoadRequestId,
    req: LoadRequest,
    since: Duration,
    /// Whether the engine has refused the order for it.
    failed: bool,
}

/// An order that the engine is carrying out.
struct OrderInProgress {
    load: bool,
    model: Box<str>,
    from: CopyLocation,
    since: Duration,
    until: Duration,
    /// Loads from the weight store that run together with it, itself among them.
    together: u32,
}

/// A load that was ordered and not answered; it may be carried out late.
struct UnconfirmedOrder {
    model: Box<str>,
    planned_on: u64,
    until: Duration,
}

/// The state of one engine and of what is asked of it.
#[derive(Default)]
pub struct Controller {
    decl: Option<Engine>,
    reading: Option<Reading>,
    /// When the engine's present life started, by its own clock, where it says so.
    started: Option<u64>,
    alive: bool,
    load_requests: Vec<Pending>,
    in_progress: Option<OrderInProgress>,
    usage: Usage,
    /// Rejected requests for models that no engine could load in time.
    unserved: Usage,
    /// Adapters, as `MODEL/NAME`, that make way once their requests have ended, and until when they
    /// count as doing so.
    unloading_adapters: Vec<(Box<str>, Duration)>,
    /// Models that get no new requests, so that they can make way once those in flight have ended.
    evicting: Vec<Box<str>>,
    /// No order before then.
    not_before: Duration,
    /// Loads that the present life of the engine has not answered.
    unconfirmed: Vec<UnconfirmedOrder>,
    /// Those that a former life has not answered.
    unconfirmed_before_restart: Vec<UnconfirmedOrder>,
    /// The last load from the weight store that ended, and when.
    fetched: Option<(Fetched, Duration)>,
    /// When the last one began.
    fetch_began: Option<Duration>,
    opts: Options,
}

/// Bounds of what is ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Options {
    /// An engine begins one load from the weight store in such a time at most.
    ///
    /// The weight store limits the loads that begin in this time over all engines, also while agents are cut off
    /// from each other. An engine that crashes in a load, or loads faster, would begin the next at once.
    pub fetch_window: Duration,
}

impl Controller {
    /// Makes one that knows nothing yet.
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            ..Self::default()
        }
    }

    /// Takes in what the engine's service declares.
    pub fn declare(&mut self, decl: Engine) {
        self.decl = Some(decl);
    }

    /// Whether an order is being carried out.
    pub fn busy(&self) -> bool {
        self.in_progress.is_some() || self.reading.as_ref().is_some_and(|r| r.busy)
    }

    /// Whether anything is asked for.
    pub fn has_load_requests(&self) -> bool {
        !self.load_requests.is_empty()
    }

    /// Counts what is asked for and not answered.
    pub fn load_requests(&self) -> usize {
        self.load_requests.len()
    }

    /// Takes a question in.
    pub fn request_load(&mut self, id: LoadRequestId, req: LoadRequest, now: Duration) {
        self.usage.record_request(&req, now);
        self.load_requests.push(Pending {
            id,
            req,
            since: now,
            failed: false,
        });
    }

    /// Takes a question back.
    ///
    /// A request that found the model elsewhere, or whose client left, would otherwise still have it
    /// loaded here, in the place of one that is in use.
    pub fn cancel(&mut self, id: LoadRequestId) {
        self.load_requests.retain(|p| p.id != id);
    }

    /// Takes in what an entry has sent to the engine.
    pub fn record_use(&mut self, link: LinkKey, list: &[Used], now: Duration) {
        self.usage.take(link, list, now);
    }

    /// Counts a rejected request for a model that no engine could load in time.
    pub fn record_unserved(&mut self, model: &str, now: Duration) {
        self.unserved.count(model, now);
    }

    /// Whether a model gets no new requests here: it makes way.
    pub fn is_evicting(&self, model: &str) -> bool {
        let unloading = self.in_progress.as_ref().filter(|d| !d.load);
        let ordered = unloading.is_some_and(|d| *d.model == *model);
        ordered || self.evicting.iter().any(|m| **m == *model)
    }

    /// Takes in a prompt that takes so long to be read, and whether it has its slot and is on its way.
    pub fn record_prompt(&mut self, model: &str, admitted: bool, work: Duration, now: Duration) {
        self.usage.record_prompt(model, admitted, work, now);
    }

    /// Forgets a connection.
    pub fn disconnected(&mut self, link: LinkKey) {
        self.load_requests.retain(|p| p.id.link != link);
        self.usage.remove_link(link);
    }

    /// Takes a reading of the engine in, `None` when it does not answer. Whether the engine has started
    /// again under the id that it had since the last one.
    pub fn read(&mut self, reading: Option<Reading>, now: Duration) -> bool {
        let was_alive = std::mem::replace(&mut self.alive, reading.is_some());
        let Some(reading) = reading else {
            // What it was loading is lost if it has crashed. Told on, that load would take one of the
            // few places at the weight store, and look as if others had slowed it, for as long as
            // the engine is away. One that comes back in its load says that it is busy.
            self.in_progress = None;
            return false;
        };
        let restarted = self.update_incarnation(&reading, now);
        if restarted || !was_alive {
            self.restore(&reading, now);
        }
        if !reading.busy
            && let Some(in_progress) = self.in_progress.take()
        {
            let fetches = in_progress.load && in_progress.from == CopyLocation::Store;
            if fetches && reading.holds.model(&in_progress.model).is_some() {
                let fetched = Fetched {
                    concurrent: in_progress.together,
                    slowdown: self.times(&in_progress, now),
                };
                self.fetched = Some((fetched, now));
            }
        }
        self.unloading_adapters.retain(|(name, until)| {
            let held = name.split_once('/').is_some_and(|(model, adapter)| {
                let held = reading.holds.model(model);
                held.is_some_and(|h| h.adapters.iter().any(|a| **a == *adapter))
            });
            held && now < *until
        });
        // A load that takes longer than expected has some time left, not none.
        if let Some(in_progress) = &mut self.in_progress
            && in_progress.until < now
        {
            in_progress.until = now + Duration::from_millis(100);
        }
        self.reading = Some(reading);
        restarted
    }

    /// Asks for what the engine held and was used for, if it has come back empty.
    ///
    /// Entries ask for a model again only when the list has the engine's new life, seconds later, and then in
    /// the order in which their requests happen to come. From its own disk the model is back by then.
    fn restore(&mut self, reading: &Reading, now: Duration) {
        let Some(before) = &self.reading else { return };
        if !reading.holds.models.is_empty() {
            return;
        }
        let rate = |m: &str| self.usage.rate(m, now);
        let held = before.holds.models.iter().map(|h| &h.name);
        let mut lost: Vec<Box<str>> = held.filter(|m| rate(m) > 0.0).cloned().collect();
        lost.sort_by(|a, b| rate(b).total_cmp(&rate(a)));
        for model in lost {
            let id = LoadRequestId {
                link: LinkKey::AGENT,
                seq: 0,
            };
            let req = LoadRequest {
                seq: 0,
                model,
                adapter: None,
                victims: Vec::new(),
                fetch: None,
                prefetch: true,
                timeout: RESTORE_TIMEOUT,
            };
            self.load_requests.push(Pending {
                id,
                req,
                since: now,
                failed: false,
            });
        }
    }

    /// Takes in whether the engine has started again, and which unanswered orders may still come.
    fn update_incarnation(&mut self, reading: &Reading, now: Duration) -> bool {
        let before = self.started;
        self.started = reading.started.or(before);
        let restarted = before.is_some() && self.started != before;
        if restarted {
            self.in_progress = None;
            self.unloading_adapters.clear();
            self.not_before = Duration::ZERO;
            self.unconfirmed_before_restart
                .append(&mut self.unconfirmed);
        }
        // Each is planned on a count that the engine goes past only once.
        let may_come = |u: &UnconfirmedOrder| u.planned_on >= reading.sequence && now < u.until;
        self.unconfirmed.retain(may_come);
        self.unconfirmed_before_restart.retain(may_come);
        restarted
    }

    /// Takes in what the engine said to an order; `None` when it said nothing in time.
    pub fn replied(&mut self, planned: &PlannedOrder, reply: Option<Reply>, now: Duration) {
        match reply {
            Some(Reply::Accepted) if planned.adapter.is_none() => {
                let from = self.copy_location(&planned.model);
                if planned.load && from == CopyLocation::Store {
                    self.fetch_began = Some(now);
                }
                let mut asked = self
                    .load_requests
                    .iter()
                    .filter(|p| p.req.model == planned.model);
                self.in_progress = Some(OrderInProgress {
                    load: planned.load,
                    model: planned.model.clone(),
                    from,
                    since: now,
                    together: asked.find_map(|p| p.req.fetch).unwrap_or(1),
                    until: now + self.load_time(&planned.model, from),
                });
            }
            Some(Reply::Accepted) => {
                let name = key(&planned.model, planned.adapter.as_deref());
                if !planned.load {
                    self.unloading_adapters
                        .push((name, now + ADAPTER_UNLOAD_TIMEOUT));
                }
            }
            Some(Reply::Conflict) => self.not_before = now + CONFLICT_PAUSE,
            // The next reading tells: the sequence has risen, or the same order is given again,
            // planned on the same sequence, so that at most one of the two takes effect.
            Some(Reply::Holds) => {}
            None if planned.load && planned.adapter.is_none() => {
                self.unconfirmed.push(UnconfirmedOrder {
                    model: planned.model.clone(),
                    planned_on: planned.planned_on,
                    until: now + UNCONFIRMED_ORDER_TTL,
                })
            }
            None => {}
            Some(Reply::Fenced | Reply::OtherInstance) => self.reading = None,
            Some(Reply::Refused(_)) => self.fail(planned),
        }
    }

    fn fail(&mut self, planned: &PlannedOrder) {
        for p in &mut self.load_requests {
            p.failed |= p.req.model == planned.model;
        }
    }

    /// Answers the load requests that can be answered by what is known now.
    pub fn resolve(&mut self, control: bool, now: Duration) -> Vec<(LoadRequestId, Outcome)> {
        let mut out = Vec::new();
        let load_requests = std::mem::take(&mut self.load_requests);
        for p in load_requests {
            match self.outcome(&p, control, now) {
                Some(outcome) => {
                    if outcome == Outcome::Ready {
                        // The request that asked is only now on its way.
                        self.usage.record_request(&p.req, now);
                    }
                    out.push((p.id, outcome));
                }
                None => self.load_requests.push(p),
            }
        }
        if self.load_requests.is_empty() {
            self.evicting.clear();
        }
        out
    }

    fn outcome(&self, p: &Pending, control: bool, now: Duration) -> Option<Outcome> {
        if self.ready(&p.req) {
            return Some(Outcome::Ready);
        }
        if p.failed || now.saturating_sub(p.since) > p.req.timeout {
            return Some(Outcome::Failed);
        }
        if !control || !self.alive || self.reading.is_none() || self.decl.is_none() {
            // The agent itself waits until it is told the engine's new life.
            let own = p.id.link == LinkKey::AGENT;
            return (!own).then_some(Outcome::NoControl);
        }
        if self.is_loading(&p.req.model) {
            return None;
        }
        if p.req.fetch.is_none()
            && !self.is_loaded(&p.req.model)
            && self.copy_location(&p.req.model) == CopyLocation::Store
        {
            return Some(Outcome::StoreBusy);
        }
        None
    }

    fn ready(&self, req: &LoadRequest) -> bool {
        let held = self
            .reading
            .as_ref()
            .and_then(|r| r.holds.model(&req.model));
        let evicting = self.is_evicting(&req.model);
        match (held, &req.adapter) {
            (Some(_), None) => !evicting,
            (Some(held), Some(a)) => !evicting && held.adapters.iter().any(|x| x == a),
            (None, _) => false,
        }
    }

    fn is_loaded(&self, model: &str) -> bool {
        self.reading
            .as_ref()
            .is_some_and(|r| r.holds.model(model).is_some())
    }

    fn is_loading(&self, model: &str) -> bool {
        let in_progress = self.in_progress.as_ref();
        in_progress.is_some_and(|d| d.load && *d.model == *model)
    }

    fn copy_location(&self, model: &str) -> CopyLocation {
        let reading = self.reading.as_ref();
        reading.map_or(CopyLocation::Store, |r| r.holds.copy(model))
    }

    fn load_time(&self, model: &str, from: CopyLocation) -> Duration {
        let decl = self.decl.as_ref().and_then(|d| d.model(model));
        decl.map_or(Duration::ZERO, |m| m.load_time(from))
    }

    /// How many times its declared time a load has taken.
    fn times(&self, in_progress: &OrderInProgress, now: Duration) -> f32 {
        let declared = self.load_time(&in_progress.model, in_progress.from);
        let taken = now.saturating_sub(in_progress.since);
        match declared.is_zero() {
            true => 0.0,
            false => taken.div_duration_f32(declared),
        }
    }
}
