//! Tracks what an engine has loaded and which loads are requested, and plans its next order.
//!
//! No I/O; time is passed in. Invariants:
//!
//! - An order names the sequence of the newest reading, so the engine rejects an order that arrives late or twice.
//! - The weights and adapters after an order never exceed what the engine holds. An unconfirmed load from before the
//!   engine's restart may still be carried out; its place stays reserved until that is impossible.

mod load_crashes;
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
    quarantine::LoadCrashes,
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

/// Time for which an adapter whose unload was accepted counts as unloading. The engine keeps it until
/// its requests end; repeating the order, or unloading another adapter meanwhile, gains nothing.
const ADAPTER_UNLOAD_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pause after the engine refused an order because of a concurrent order or a changed state. An
/// immediate retry would be refused as well.
const CONFLICT_PAUSE: Duration = Duration::from_millis(120);

/// Time after which an unconfirmed order is no longer carried out. Late ones are carried out up to 12 s later.
const UNCONFIRMED_ORDER_TTL: Duration = Duration::from_secs(15);

/// Time in which the models that were loaded before a crash are loaded again, one after another. By
/// then, entries have requested the models that are still needed.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(6);

/// Identifies a load request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadRequestId {
    /// The connection that the request came on.
    pub link: LinkKey,
    /// The request's number on that connection.
    pub seq: u64,
}

/// An order to send to the engine now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Whether to load or unload.
    pub load: bool,
    /// The model.
    pub model: Box<str>,
    /// The adapter of the model; none when the order is about the model itself.
    pub adapter: Option<Box<str>>,
    /// The sequence of the reading that the order is planned on.
    pub planned_on: u64,
}

/// An open load request.
struct Pending {
    id: LoadRequestId,
    req: LoadRequest,
    since: Duration,
    /// Whether the engine has refused the load.
    failed: bool,
}

/// An order that the engine is carrying out.
struct OrderInProgress {
    load: bool,
    model: Box<str>,
    from: CopyLocation,
    since: Duration,
    /// Expected end.
    until: Duration,
    /// Loads from the weight store that run at the same time, including this one.
    concurrent: u32,
}

/// A load that was ordered without a reply; the engine may still carry it out.
struct UnconfirmedOrder {
    model: Box<str>,
    /// The adapter of the model; none when the load is of the model itself.
    adapter: Option<Box<str>>,
    planned_on: u64,
    /// Time after which it is no longer carried out.
    until: Duration,
}

/// The state of one engine and the load requests for it.
#[derive(Default)]
pub struct Controller {
    decl: Option<Engine>,
    reading: Option<Reading>,
    /// Start of the engine's present incarnation by the engine's clock, where readings state it.
    started: Option<u64>,
    alive: bool,
    load_requests: Vec<Pending>,
    in_progress: Option<OrderInProgress>,
    usage: Usage,
    /// Rejected requests for models that no engine could load in time.
    unserved: Usage,
    /// Loads during which the engine crashed, by model.
    load_crashes: LoadCrashes<Box<str>>,
    /// Models whose quarantine has begun and has not been logged.
    new_quarantines: Vec<(Box<str>, Duration)>,
    /// Adapters, as `MODEL/NAME`, that the engine unloads once their requests have ended, and until
    /// when they count as unloading.
    unloading_adapters: Vec<(Box<str>, Duration)>,
    /// Models that get no new requests, to be unloaded once the requests in flight have ended.
    draining: Vec<Box<str>>,
    /// Time before which no order is planned.
    not_before: Duration,
    /// Loads ordered from the present incarnation of the engine, without a reply. It rejects them once its sequence
    /// is higher, but the incarnation after it begins anew.
    unconfirmed: Vec<UnconfirmedOrder>,
    /// Loads ordered from earlier incarnations, without a reply.
    unconfirmed_before_restart: Vec<UnconfirmedOrder>,
    /// The last load from the weight store that ended, and when.
    fetched: Option<(Fetched, Duration)>,
    /// When the last load from the weight store began.
    fetch_began: Option<Duration>,
    opts: Options,
}

/// Limits on orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Options {
    /// Least time between the starts of two loads of one engine from the weight store.
    ///
    /// The weight store limits the loads that begin in this time over all engines, also while agents
    /// cannot reach each other. Without it, an engine that crashes during a load, or loads faster,
    /// would begin the next one at once.
    pub fetch_window: Duration,
}

impl Controller {
    /// Creates a controller without a declaration or a reading.
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            ..Self::default()
        }
    }

    /// Replaces the declaration of the engine's service.
    pub fn declare(&mut self, decl: Engine) {
        self.decl = Some(decl);
    }

    /// Whether the engine is carrying out an order.
    pub fn busy(&self) -> bool {
        self.in_progress.is_some() || self.reading.as_ref().is_some_and(|r| r.busy)
    }

    /// Whether any load request is open.
    pub fn has_load_requests(&self) -> bool {
        !self.load_requests.is_empty()
    }

    /// Number of open load requests.
    pub fn load_requests(&self) -> usize {
        self.load_requests.len()
    }

    /// Adds a load request.
    pub fn request_load(&mut self, id: LoadRequestId, req: LoadRequest, now: Duration) {
        self.usage.record_request(&req, now);
        self.load_requests.push(Pending {
            id,
            req,
            since: now,
            failed: false,
        });
    }

    /// Withdraws a load request.
    ///
    /// A client's request that was served by another engine, or whose client disconnected, would
    /// otherwise still have its model loaded here, and a model in use evicted for it.
    pub fn cancel(&mut self, id: LoadRequestId) {
        self.load_requests.retain(|p| p.id != id);
    }

    /// Records what an entry has sent to the engine.
    pub fn record_use(&mut self, link: LinkKey, list: &[Used], now: Duration) {
        self.usage.record_sent(link, list, now);
    }

    /// Records a rejected request for a model that no engine could load in time.
    pub fn record_unserved(&mut self, model: &str, now: Duration) {
        self.unserved.count(model, now);
    }

    /// Whether a model is draining: it gets no new requests and is to be unloaded.
    pub fn is_draining(&self, model: &str) -> bool {
        let unloading = self.in_progress.as_ref().filter(|d| !d.load);
        let ordered = unloading.is_some_and(|d| *d.model == *model);
        ordered || self.draining.iter().any(|m| **m == *model)
    }

    /// Records a prompt whose prefill takes `work`, and whether it was admitted to a prefill slot.
    pub fn record_prompt(&mut self, model: &str, admitted: bool, work: Duration, now: Duration) {
        self.usage.record_prompt(model, admitted, work, now);
    }

    /// Drops the load requests and the requests in flight of a connection that has ended.
    pub fn disconnected(&mut self, link: LinkKey) {
        self.load_requests.retain(|p| p.id.link != link);
        self.usage.remove_link(link);
    }

    /// The start of the engine's incarnation, if it is reported.
    pub fn started(&self) -> Option<u64> {
        self.started
    }

    /// Updates the state from a reading of the engine, `None` when it could not be read.
    ///
    /// Returns whether the engine has restarted under the same id since the previous reading.
    pub fn read(&mut self, reading: Option<Reading>, now: Duration) -> bool {
        let was_alive = std::mem::replace(&mut self.alive, reading.is_some());
        let Some(reading) = reading else {
            if was_alive {
                self.record_load_crash(now);
            }
            // A crash loses the load in progress. If it were still reported, it would occupy one of
            // the few load slots of the weight store while the engine is down, and look as if
            // concurrent loads had slowed it. An engine that is still loading when it responds
            // again reports that it is busy.
            self.in_progress = None;
            return false;
        };
        let restarted = self.update_incarnation(&reading, was_alive, now);
        if restarted || !was_alive {
            self.restore(&reading, now);
        }
        if !reading.busy
            && let Some(in_progress) = self.in_progress.take()
        {
            let loaded = in_progress.load && reading.holds.model(&in_progress.model).is_some();
            if loaded {
                self.load_crashes.loaded(&in_progress.model);
            }
            if loaded && in_progress.from == CopyLocation::Store {
                let fetched = Fetched {
                    concurrent: in_progress.concurrent,
                    slowdown: self.slowdown(&in_progress, now),
                };
                self.fetched = Some((fetched, now));
            }
        }
        self.unloading_adapters.retain(|(name, until)| {
            let loaded = name.split_once('/').is_some_and(|(model, adapter)| {
                let loaded = reading.holds.model(model);
                loaded.is_some_and(|h| h.adapters.iter().any(|a| **a == *adapter))
            });
            loaded && now < *until
        });
        // A load that takes longer than expected still has some time left.
        if let Some(in_progress) = &mut self.in_progress
            && in_progress.until < now
        {
            in_progress.until = now + Duration::from_millis(100);
        }
        self.reading = Some(reading);
        restarted
    }

    /// Requests the models in use before a restart, if the engine has none loaded now.
    ///
    /// Entries request a model again only when the platform's list has the engine's new incarnation,
    /// seconds later, and then in the order in which their requests arrive. From the engine's own
    /// disk the model is loaded by then.
    fn restore(&mut self, reading: &Reading, now: Duration) {
        let Some(before) = &self.reading else { return };
        if !reading.holds.models.is_empty() {
            return;
        }
        let rate = |m: &str| self.usage.rate(m, now);
        let loaded = before.holds.models.iter().map(|h| &h.name);
        let mut lost: Vec<Box<str>> = loaded.filter(|m| rate(m) > 0.0).cloned().collect();
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

    /// Detects a restart, and drops the unconfirmed loads that can no longer be carried out. Returns
    /// whether the engine has restarted.
    fn update_incarnation(&mut self, reading: &Reading, was_alive: bool, now: Duration) -> bool {
        let before = self.started;
        self.started = reading.started.or(before);
        let restarted = before.is_some() && self.started != before;
        if restarted {
            // Otherwise recorded when the engine did not respond.
            if was_alive {
                self.record_load_crash(now);
            }
            self.in_progress = None;
            self.unloading_adapters.clear();
            self.not_before = Duration::ZERO;
            self.unconfirmed_before_restart
                .append(&mut self.unconfirmed);
        }
        self.unconfirmed.retain(|u| now < u.until);
        self.unconfirmed_before_restart.retain(|u| now < u.until);
        restarted
    }

    /// The loads from before the engine's restart that it may still carry out. It rejects an order once its sequence
    /// exceeds the one that the order names.
    fn late_loads(&self) -> impl Iterator<Item = &UnconfirmedOrder> {
        let sequence = self.reading.as_ref().map_or(0, |r| r.sequence);
        let all = self.unconfirmed_before_restart.iter();
        all.filter(move |u| u.planned_on >= sequence)
    }

    /// Handles the engine's reply to an order; `None` when there was none in time.
    pub fn replied(&mut self, planned: &PlannedOrder, reply: Option<Reply>, now: Duration) {
        match reply {
            Some(Reply::Accepted) if planned.adapter.is_none() => {
                let from = self.copy_location(&planned.model);
                if planned.load && from == CopyLocation::Store {
                    self.fetch_began = Some(now);
                }
                let mut load_requests = self
                    .load_requests
                    .iter()
                    .filter(|p| p.req.model == planned.model);
                self.in_progress = Some(OrderInProgress {
                    load: planned.load,
                    model: planned.model.clone(),
                    from,
                    since: now,
                    concurrent: load_requests.find_map(|p| p.req.fetch).unwrap_or(1),
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
            // The next reading decides: either the sequence has risen, or the order is repeated with
            // the same sequence, so that at most one of the two takes effect.
            Some(Reply::Holds) => {}
            None if planned.load => self.unconfirmed.push(UnconfirmedOrder {
                model: planned.model.clone(),
                adapter: planned.adapter.clone(),
                planned_on: planned.planned_on,
                until: now + UNCONFIRMED_ORDER_TTL,
            }),
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

    /// Removes the load requests whose outcome is known, and returns their outcomes. `control` is whether
    /// the agent may send orders now.
    pub fn resolve(&mut self, control: bool, now: Duration) -> Vec<(LoadRequestId, Outcome)> {
        let mut out = Vec::new();
        let load_requests = std::mem::take(&mut self.load_requests);
        for p in load_requests {
            match self.outcome(&p, control, now) {
                Some(outcome) => {
                    if outcome == Outcome::Ready {
                        // The client's request is sent to the engine only now.
                        self.usage.record_request(&p.req, now);
                    }
                    out.push((p.id, outcome));
                }
                None => self.load_requests.push(p),
            }
        }
        if self.load_requests.is_empty() {
            self.draining.clear();
        }
        out
    }

    fn outcome(&self, p: &Pending, control: bool, now: Duration) -> Option<Outcome> {
        if self.ready(&p.req) {
            return Some(Outcome::Ready);
        }
        if p.failed
            || now.saturating_sub(p.since) > p.req.timeout
            || self.is_quarantined(&p.req.model, now)
        {
            return Some(Outcome::Failed);
        }
        if !control || !self.alive || self.reading.is_none() || self.decl.is_none() {
            // The agent's own requests wait until the engine's new incarnation is known.
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
        let loaded = self
            .reading
            .as_ref()
            .and_then(|r| r.holds.model(&req.model));
        let draining = self.is_draining(&req.model);
        match (loaded, &req.adapter) {
            (Some(_), None) => !draining,
            (Some(loaded), Some(a)) => !draining && loaded.adapters.iter().any(|x| x == a),
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

    /// Ratio of the time that a load has taken to its declared time; 0 when none is declared.
    fn slowdown(&self, in_progress: &OrderInProgress, now: Duration) -> f32 {
        let declared = self.load_time(&in_progress.model, in_progress.from);
        let taken = now.saturating_sub(in_progress.since);
        match declared.is_zero() {
            true => 0.0,
            false => taken.div_duration_f32(declared),
        }
    }
}
