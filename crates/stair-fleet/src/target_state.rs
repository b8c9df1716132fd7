//! The state that an entry keeps of one target.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    availability::{
        Availability,
        Statement, //
    },
    engine_estimate::{
        ESTIMATE_TTL,
        Estimator, //
    },
    rate_limit::{
        Rate,
        Source, //
    },
    target::{
        Incarnation,
        Inventory,
        LoadedModel,
        Report,
        State,
        Target, //
    },
};

/// Age below which a report takes precedence over the list: three heartbeats of an agent.
pub const REPORT_TTL: Duration = Duration::from_secs(3);

/// Time for which a target is left out after a failed connection or a missed heartbeat.
pub const SUSPECT_DURATION: Duration = Duration::from_millis(1500);

/// Time for which announcements of a stale incarnation are dropped while none of the current one
/// arrives: three heartbeats of a target. If they still arrive after it, the target's clock was set
/// back between the two incarnations, and the one with the earlier start is the current one.
pub const STALE_ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(3600);

/// Time without a message of a target's agent after which its VM counts as unresponsive. An agent
/// process that ends closes its connections, so silence points to the VM.
pub const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(1250);

/// Time after which an agent's heartbeat is overdue. A request to the agent that also gets no reply
/// then marks the VM as unresponsive at once.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1000);

/// The least limit, in requests per second, under which a target loads adapters: a load takes an order
/// and some readings while a request waits for it.
const MIN_LOAD_RATE: f64 = 10.0;

/// Weight of the newest sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;

/// A limit that a target has named.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetLimit {
    /// Requests per second of all entries and agents together.
    pub rate: Rate,
    /// The epoch of the process that stated it last; `None` if this entry has learnt it by itself.
    pub epoch: Option<u64>,
    /// Where it was learnt.
    pub source: Source,
    /// When it was learnt.
    pub since: Duration,
    /// When the target may get its next request, by the last reply.
    pub free_at: Duration,
}

/// The bit of a model in a set of models.
pub(crate) fn model_bit(model: &str) -> u64 {
    1 << (xxh3_64(model.as_bytes()) % u64::from(u64::BITS))
}

fn bits_of(inventory: &Inventory) -> u64 {
    let bits = inventory.models.iter().map(|m| model_bit(&m.name));
    bits.fold(0, |all, bit| all | bit)
}

/// How fast an engine runs a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Prefill rate, if it is known.
    pub tokens_per_ms: Option<f64>,
    /// Speed as a fraction of the engine's full one.
    pub speed: f64,
    /// Time of an event beside the running streams, in milliseconds; 0 if unknown.
    pub event_ms: f64,
    /// Time of an event of a stream that runs alone, in milliseconds.
    pub least_event_ms: f64,
}

/// What an entry knows of one incarnation of a target.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// The last announcement.
    pub target: Target,
    /// Whether the target is on the list. A removed target gets no new requests.
    pub listed: bool,
    /// Set when the newest list lacks the target: the time from which it counts as removed.
    pub missing_until: Option<Duration>,
    /// Set when the store has come back from a copy from before the target's removal: the time from
    /// which the target is used if it is not removed again.
    pub suppressed_until: Option<Duration>,
    /// Whether its software version is the one from before the store's return, and not that of the list.
    pub(crate) keeps_version: bool,
    /// The last report of the target's agent, and its time of arrival.
    pub report: Option<(Report, Duration)>,
    /// Arrival of the agent's last message; `None` when no agent is connected.
    pub last_message: Option<Duration>,
    /// Whether the target's VM counts as unresponsive.
    pub unresponsive: bool,
    /// The target is left out until this time.
    pub suspect_until: Duration,
    /// Requests of this entry in flight at the target.
    pub in_flight: u32,
    /// Prompt tokens of those requests that have had no event yet.
    pub unread_tokens: u64,
    /// End of the engine's prefill backlog, by the agent's last message.
    pub prefill_until: Duration,
    /// Moving average of failed attempts, 0 to 1.
    pub failing: f64,
    /// Moving average of the time to the response's head or first event beyond the expected time,
    /// in milliseconds.
    pub delay_ms: f64,
    /// The limit that the target has named.
    pub limit: Option<TargetLimit>,
    /// A bit for each model that may be loaded, by its hash: a superset of both inventories. The choice
    /// skips most engines by it, without a look at their inventories.
    model_bits: u64,
    /// The engine's speed by this entry's own streams, for the time without reports.
    pub own_estimator: Estimator,
    /// What the target's responses state about the requests that it takes.
    pub availability: Availability,
    /// The inventory of a target that was removed without draining, and the time of its last
    /// report.
    pub(crate) last_inventory: Option<(Inventory, Duration)>,
    /// Whether the target's service is declared. An announcement of an undeclared service comes
    /// from an unknown writer, and its address can be that of a healthy target.
    pub(crate) declared: bool,
    /// Time since which only announcements of stale incarnations have arrived.
    pub(crate) stale_since: Option<Duration>,
    /// Increases with each incarnation seen for the first time.
    pub(crate) serial: u64,
}

impl TargetState {
    pub(crate) fn new(target: Target, serial: u64) -> Self {
        Self {
            model_bits: bits_of(&target.inventory),
            target,
            serial,
            last_inventory: None,
            listed: true,
            declared: true,
            stale_since: None,
            missing_until: None,
            suppressed_until: None,
            keeps_version: false,
            report: None,
            last_message: None,
            unresponsive: false,
            suspect_until: Duration::ZERO,
            in_flight: 0,
            unread_tokens: 0,
            prefill_until: Duration::ZERO,
            failing: 0.0,
            delay_ms: 0.0,
            limit: None,
            own_estimator: Estimator::default(),
            availability: Availability::default(),
        }
    }

    /// A placeholder that is not listed.
    pub(crate) fn removed() -> Self {
        let target = Target {
            id: "".into(),
            service: "".into(),
            version: None,
            addr: SocketAddr::from(([0, 0, 0, 0], 0)),
            data_centre: "".into(),
            started: None,
            slots: 0,
            state: State::Draining(None),
            cold: Duration::ZERO,
            inventory: Inventory::default(),
        };
        Self {
            listed: false,
            ..Self::new(target, 0)
        }
    }

    /// Whether the target shuts down, by the list or by a response. Such an incarnation gets no new
    /// requests, whatever is learnt of it later.
    pub fn is_draining(&self) -> bool {
        self.target.state != State::Ready || self.availability.drain().is_some()
    }

    /// Whether the target runs and stays, by all that is known: it is listed as ready, and not draining,
    /// missing, unresponsive, suspect or reported dead.
    pub fn is_up(&self, now: Duration) -> bool {
        let missing = self.missing_until.is_some_and(|t| now >= t);
        let dead = self.fresh_report(now).is_some_and(|r| !r.load.alive);
        let ready = self.listed && !self.is_draining() && !self.is_suppressed(now);
        ready && !missing && !self.unresponsive && now >= self.suspect_until && !dead
    }

    /// Whether the target is up and accepts a further request of this process.
    pub fn is_available(&self, now: Duration) -> bool {
        self.is_up(now) && self.availability.may_send(now)
    }

    /// Whether the target accepts a further request. With `suspects`, being listed as ready is enough.
    pub fn accepts(&self, suspects: bool, now: Duration) -> bool {
        self.is_available(now)
            || (suspects && self.listed_ready(now) && self.availability.may_send(now))
    }

    /// Whether the target still accepts a request that it was selected for.
    pub fn takes(&self, now: Duration) -> bool {
        (self.is_up(now) || self.listed_ready(now)) && self.availability.withheld(now).is_none()
    }

    fn listed_ready(&self, now: Duration) -> bool {
        let listed = self.listed && self.missing_until.is_none();
        listed && !self.is_suppressed(now) && !self.is_draining()
    }

    fn is_suppressed(&self, now: Duration) -> bool {
        self.suppressed_until.is_some_and(|t| now < t)
    }

    /// Makes an announced drain last as long as the incarnation, whatever is announced later. Returns
    /// whether that is new.
    pub(crate) fn retain_drain(&mut self, now: Duration) -> bool {
        if self.target.state == State::Ready {
            return false;
        }
        let drains = Statement {
            draining: true,
            backoff: None,
        };
        let changes = self.availability.apply(&drains, Source::Announcement, now);
        !changes.is_empty()
    }

    /// Returns the agent's report if it is younger than [`REPORT_TTL`].
    pub fn fresh_report(&self, now: Duration) -> Option<&Report> {
        let (report, at) = self.report.as_ref()?;
        (now.saturating_sub(*at) < REPORT_TTL).then_some(report)
    }

    /// Returns the engine's inventory: the reported one if the report is fresh and the engine
    /// alive, else the announced one.
    pub fn inventory(&self, now: Duration) -> &Inventory {
        match self.fresh_report(now) {
            Some(report) if report.load.alive => &report.inventory,
            _ => &self.target.inventory,
        }
    }

    /// How fast the engine runs a model beside a number of other streams: by a fresh report, or by this
    /// entry's own streams without one. `None` if no events were measured recently.
    pub fn pace(&self, model: &str, streams: u32, now: Duration) -> Option<Pace> {
        let Some((report, at)) = self
            .report
            .as_ref()
            .filter(|_| self.fresh_report(now).is_some())
        else {
            let estimator = &self.own_estimator;
            return estimator
                .age(now)
                .filter(|a| *a < ESTIMATE_TTL)
                .map(|_| Pace {
                    tokens_per_ms: None,
                    speed: estimator.speed(now),
                    event_ms: estimator.event_ms(streams + 1, now),
                    least_event_ms: estimator.event_ms(0, now),
                });
        };
        let estimate = report.load.estimate.as_ref()?;
        let age = estimate.age + now.saturating_sub(*at);
        (age < ESTIMATE_TTL).then(|| Pace {
            tokens_per_ms: estimate.rate(model),
            speed: f64::from(estimate.speed),
            event_ms: estimate.event_ms(streams + 1),
            least_event_ms: estimate.event_ms(0),
        })
    }

    /// Time until the target may get another request under its limit.
    pub fn limit_wait(&self, now: Duration) -> Duration {
        let limit = self.limit.as_ref();
        limit.map_or(Duration::ZERO, |l| l.free_at.saturating_sub(now))
    }

    /// Whether the target's limit leaves room for the orders and readings of an adapter's load.
    pub fn may_load(&self) -> bool {
        self.limit.is_none_or(|l| l.rate.per_s() >= MIN_LOAD_RATE)
    }

    /// Whether the target has the adapter of a model loaded.
    pub fn has_adapter(&self, model: &str, adapter: &str, now: Duration) -> bool {
        let loaded = self.inventory(now).model(model);
        loaded.is_some_and(|l| l.adapters.iter().any(|a| **a == *adapter))
    }

    /// Whether the model is loaded at the target and is not about to be unloaded.
    pub fn can_run(&self, model: &str, now: Duration) -> bool {
        let report = self.fresh_report(now);
        let draining = report.is_some_and(|r| r.load.draining.iter().any(|m| **m == *model));
        !draining && self.inventory(now).model(model).is_some()
    }

    /// Whether the target is loading the model.
    pub fn is_loading(&self, model: &str, now: Duration) -> bool {
        let loading = self.fresh_report(now).and_then(|r| r.load.loading.as_ref());
        loading.is_some_and(|l| *l.model == *model)
    }

    /// Replaces the announcement.
    pub(crate) fn set_target(&mut self, target: Target) {
        self.target = target;
        self.update_model_bits();
    }

    /// Replaces the inventory of the agent's report.
    pub(crate) fn set_inventory(&mut self, inventory: Inventory, now: Duration) {
        self.fresh_report_mut(now).inventory = inventory;
        self.update_model_bits();
    }

    /// The agent's report, as of now.
    pub(crate) fn fresh_report_mut(&mut self, now: Duration) -> &mut Report {
        let (report, at) = self.report.get_or_insert_with(|| (Report::default(), now));
        *at = now;
        report
    }

    /// Adds a model to the reported inventory before the agent reports it.
    pub fn mark_loaded(&mut self, model: &str) {
        if let Some((report, _)) = &mut self.report {
            if report.inventory.model(model).is_none() {
                report.inventory.models.push(LoadedModel {
                    name: model.into(),
                    adapters: Vec::new(),
                });
                report.inventory.sort();
            }
            report.load.loading = None;
        }
        self.update_model_bits();
    }

    fn update_model_bits(&mut self) {
        let reported = self
            .report
            .as_ref()
            .map_or(0, |(r, _)| bits_of(&r.inventory));
        self.model_bits = reported | bits_of(&self.target.inventory);
    }

    /// Whether a model with this [`model_bit`] may be loaded.
    pub(crate) fn may_have(&self, bit: u64) -> bool {
        self.model_bits & bit != 0
    }

    /// Removes a model that the target has just reported as not loaded, before the next report
    /// shows it.
    pub fn mark_not_loaded(&mut self, model: &str) {
        let lists = [
            Some(&mut self.target.inventory),
            self.report.as_mut().map(|(r, _)| &mut r.inventory),
        ];
        for inventory in lists.into_iter().flatten() {
            inventory.models.retain(|h| *h.name != *model);
        }
    }

    /// Whether this state is about an incarnation.
    pub fn is_of(&self, incarnation: &Incarnation) -> bool {
        self.target.id == incarnation.id && self.target.started == incarnation.started
    }

    /// Whether an announcement is of the known incarnation.
    pub(crate) fn is_same_incarnation(&self, announced: &Target) -> bool {
        let (known, new) = (&self.target.version, &announced.version);
        let is_other_version = known.is_some() && new.is_some() && known != new;
        let same = self.target.id == announced.id && self.target.started == announced.started;
        same && !is_other_version
    }

    /// Whether an announcement is of a stale incarnation and has to be dropped; see
    /// [`STALE_ANNOUNCEMENT_TIMEOUT`].
    pub(crate) fn is_stale(&mut self, announced: &Target, now: Duration) -> bool {
        let is_stale = match (announced.started, self.target.started) {
            (Some(announced), Some(known)) => announced < known,
            // A target that announces its start always does, so this comes from another writer.
            (None, Some(_)) => true,
            (_, None) => false,
        };
        if !is_stale {
            return false;
        }
        let since = *self.stale_since.get_or_insert(now);
        now.saturating_sub(since) < STALE_ANNOUNCEMENT_TIMEOUT
    }

    /// The announcement as peers get it.
    pub(crate) fn published(&self) -> Target {
        let mut target = self.target.clone();
        if target.state == State::Ready && self.is_draining() {
            target.state = State::Draining(None);
        }
        target
    }

    /// Takes the target off the list.
    pub fn mark_removed(&mut self) {
        self.listed = false;
        self.suppressed_until = None;
        let report = self.report.take();
        if !self.is_draining() {
            self.last_inventory = report.map(|(r, at)| (r.inventory, at));
        }
    }

    /// Whether the target is down and has a copy of a model, so that the model may soon be
    /// available there again.
    pub(crate) fn is_down_with_copy(&self, model: &str, now: Duration) -> bool {
        let inventory = match &self.report {
            Some((report, _)) => &report.inventory,
            None => &self.target.inventory,
        };
        !self.is_draining() && !self.is_up(now) && inventory.has_copy(model)
    }

    /// Records a message of the target's agent.
    pub fn record_message(&mut self, now: Duration) {
        self.last_message = Some(now);
        self.unresponsive = false;
    }

    /// Records that the agent's process has ended while its VM runs: the connection was closed or
    /// refused.
    pub fn agent_disconnected(&mut self) {
        self.last_message = None;
        self.unresponsive = false;
    }

    /// Marks the VM as unresponsive if its agent has sent nothing for `after`. Returns whether the
    /// mark is new.
    pub fn mark_unresponsive(&mut self, after: Duration, now: Duration) -> bool {
        let is_silent = |at: Duration| now.saturating_sub(at) >= after;
        let is_new = self.listed && !self.unresponsive && self.last_message.is_some_and(is_silent);
        self.unresponsive |= is_new;
        is_new
    }

    /// Adds the result of an attempt to the average.
    pub fn record_attempt(&mut self, ok: bool) {
        let sample = if ok { 0.0 } else { 1.0 };
        self.failing += SAMPLE_WEIGHT * (sample - self.failing);
    }

    /// Adds a delay beyond the expected time to the average.
    pub fn record_delay(&mut self, ms: f64) {
        self.delay_ms += SAMPLE_WEIGHT * (ms - self.delay_ms);
    }
}
