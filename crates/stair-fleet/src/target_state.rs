//! One target as an entry knows it.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use crate::target::{
    Inventory,
    Report,
    State,
    Target, //
};

/// Age up to which a report goes before the list: three heartbeats of an agent.
pub const REPORT_TTL: Duration = Duration::from_secs(3);

/// Time for which a target that failed a connection or fell silent is left out.
pub const SUSPECT_DURATION: Duration = Duration::from_millis(1500);

/// Time for which announcements of an earlier life are dropped while none of the later one comes: three heartbeats
/// of a target. After it the clock was set back between the lives.
pub const STALE_ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(3600);

/// Time without a message of a target's agent after which its VM is taken to stand still. An agent that ends closes
/// its connections.
pub const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(1250);

/// Time after which an agent's heartbeat is overdue; an unanswered request then marks the VM at once.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Weight of the newest sample in the averages.
const SAMPLE_WEIGHT: f64 = 0.2;

/// One target as an entry knows it.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// What it announced.
    pub target: Target,
    /// Whether the list still has it; otherwise it has left and gets nothing new.
    pub listed: bool,
    /// Set when the newest list lacks it: it has left from then on.
    pub missing_until: Option<Duration>,
    /// Its agent's last report, and when it came.
    pub report: Option<(Report, Duration)>,
    /// When its agent was last heard; `None` when none is linked, or it has closed the link.
    pub last_message: Option<Duration>,
    /// Whether its VM is taken to stand still.
    pub unresponsive: bool,
    /// Left out until then.
    pub suspect_until: Duration,
    /// Requests of this entry in flight there.
    pub in_flight: u32,
    /// Prompt tokens of this entry's requests there that have had no event yet.
    pub unread_tokens: u64,
    /// Until when the engine has prompts to read, by its agent's last word.
    pub prefill_until: Duration,
    /// Share of attempts that failed lately, 0 to 1.
    pub failing: f64,
    /// Time to the answer's head or first event lately beyond what was expected, in milliseconds.
    pub delay_ms: f64,
    /// What it held when it left without a word, and when its agent last spoke.
    pub(crate) last_inventory: Option<(Inventory, Duration)>,
    /// Whether its service is declared. An announcement of another one was written by a stranger, and
    /// its address can be that of a sound target.
    pub(crate) declared: bool,
    /// Since when only words of an earlier life have come.
    pub(crate) stale_since: Option<Duration>,
    /// Rises with each life that was seen for the first time.
    pub(crate) serial: u64,
}

impl TargetState {
    pub(crate) fn new(target: Target, serial: u64) -> Self {
        Self {
            target,
            serial,
            last_inventory: None,
            listed: true,
            declared: true,
            stale_since: None,
            missing_until: None,
            report: None,
            last_message: None,
            unresponsive: false,
            suspect_until: Duration::ZERO,
            in_flight: 0,
            unread_tokens: 0,
            prefill_until: Duration::ZERO,
            failing: 0.0,
            delay_ms: 0.0,
        }
    }

    /// One that is not listed.
    pub(crate) fn removed() -> Self {
        let target = Target {
            id: "".into(),
            service: "".into(),
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

    /// Whether the target takes new requests as far as is known.
    pub fn is_available(&self, now: Duration) -> bool {
        let missing = self.missing_until.is_some_and(|t| now >= t);
        let dead = self.fresh_report(now).is_some_and(|r| !r.load.alive);
        let ready = self.listed && self.target.state == State::Ready;
        ready && !missing && !self.unresponsive && now >= self.suspect_until && !dead
    }

    /// Whether the target takes new requests, by its own word alone where suspicion is left aside.
    pub fn accepts(&self, suspects: bool, now: Duration) -> bool {
        self.is_available(now) || (suspects && self.listed_ready())
    }

    fn listed_ready(&self) -> bool {
        self.listed && self.missing_until.is_none() && self.target.state == State::Ready
    }

    /// Returns the agent's report if it is fresh.
    pub fn fresh_report(&self, now: Duration) -> Option<&Report> {
        let (report, at) = self.report.as_ref()?;
        (now.saturating_sub(*at) < REPORT_TTL).then_some(report)
    }

    /// Returns what the target holds, by the report if it is fresh, else by the list.
    pub fn inventory(&self, now: Duration) -> &Inventory {
        match self.fresh_report(now) {
            Some(report) if report.load.alive => &report.inventory,
            _ => &self.target.inventory,
        }
    }

    /// Whether the model can run there now, and is not about to be dropped.
    pub fn can_run(&self, model: &str, now: Duration) -> bool {
        let report = self.fresh_report(now);
        let leaving = report.is_some_and(|r| r.load.draining.iter().any(|m| **m == *model));
        !leaving && self.inventory(now).model(model).is_some()
    }

    /// Whether the model is being loaded there.
    pub fn is_loading(&self, model: &str, now: Duration) -> bool {
        let loading = self.fresh_report(now).and_then(|r| r.load.loading.as_ref());
        loading.is_some_and(|l| *l.model == *model)
    }

    /// Notes that the target has said it does not hold a model, ahead of the report that says so.
    pub fn mark_not_loaded(&mut self, model: &str) {
        let lists = [
            Some(&mut self.target.inventory),
            self.report.as_mut().map(|(r, _)| &mut r.inventory),
        ];
        for inventory in lists.into_iter().flatten() {
            inventory.models.retain(|h| *h.name != *model);
        }
    }

    /// Whether a word about the target is one of the life that is known.
    pub(crate) fn is_same_incarnation(&self, word: &Target) -> bool {
        self.target.id == word.id && self.target.started == word.started
    }

    /// Whether a word is one of an earlier life, which changes nothing.
    pub(crate) fn is_stale(&mut self, word: &Target, now: Duration) -> bool {
        let older = match (word.started, self.target.started) {
            (Some(word), Some(known)) => word < known,
            // Who says when its life started always does: another writer has written this.
            (None, Some(_)) => true,
            (_, None) => false,
        };
        if !older {
            return false;
        }
        let since = *self.stale_since.get_or_insert(now);
        now.saturating_sub(since) < STALE_ANNOUNCEMENT_TIMEOUT
    }

    /// Notes that the target is gone.
    pub fn mark_removed(&mut self) {
        self.listed = false;
        let report = self.report.take();
        if self.target.state == State::Ready {
            self.last_inventory = report.map(|(r, at)| (r.inventory, at));
        }
    }

    /// Whether it is down with a copy of a model, so that the model may soon be there again.
    pub(crate) fn is_down_with_copy(&self, model: &str, now: Duration) -> bool {
        let inventory = match &self.report {
            Some((report, _)) => &report.inventory,
            None => &self.target.inventory,
        };
        self.target.state == State::Ready && !self.is_available(now) && inventory.has_copy(model)
    }

    /// Takes in that its agent has said something.
    pub fn record_message(&mut self, now: Duration) {
        self.last_message = Some(now);
        self.unresponsive = false;
    }

    /// Takes in that its agent has gone and its VM has not: the connection was closed or refused.
    pub fn agent_disconnected(&mut self) {
        self.last_message = None;
        self.unresponsive = false;
    }

    /// Takes its VM to stand still if its agent has said nothing for so long; whether that is new.
    pub fn mark_unresponsive(&mut self, after: Duration, now: Duration) -> bool {
        let silent = |at: Duration| now.saturating_sub(at) >= after;
        let falls = self.listed && !self.unresponsive && self.last_message.is_some_and(silent);
        self.unresponsive |= falls;
        falls
    }

    /// Takes the outcome of an attempt into the averages.
    pub fn record_attempt(&mut self, ok: bool) {
        let sample = if ok { 0.0 } else { 1.0 };
        self.failing += SAMPLE_WEIGHT * (sample - self.failing);
    }

    /// Takes a delay beyond the expected into the averages.
    pub fn record_delay(&mut self, ms: f64) {
        self.delay_ms += SAMPLE_WEIGHT * (ms - self.delay_ms);
    }
}
