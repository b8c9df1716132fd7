//! One target as an entry knows it.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use crate::target::{
    Holds,
    Report,
    State,
    Target, //
};

/// Age up to which a report goes before the list: three heartbeats of an agent.
pub const REPORT_FRESH: Duration = Duration::from_secs(3);

/// Time for which a target that failed a connection or fell silent is left out.
pub const SUSPECT_TIME: Duration = Duration::from_millis(1500);

/// Time for which announcements of an earlier life are dropped while none of the later one comes: three heartbeats
/// of a target. After it the clock was set back between the lives.
pub const OLD_WORDS_TIME: Duration = Duration::from_millis(3600);

/// Time without a message of a target's agent after which its VM is taken to stand still. An agent that ends closes
/// its connections.
pub const QUIET_TIME: Duration = Duration::from_millis(1250);

/// Time after which an agent's heartbeat is overdue; an unanswered request then marks the VM at once.
pub const OVERDUE_TIME: Duration = Duration::from_millis(1000);

/// Weight of the newest sample in the averages.
const SMOOTH: f64 = 0.2;

/// One target as an entry knows it.
#[derive(Debug, Clone)]
pub struct Seen {
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
    pub quiet: bool,
    /// Left out until then.
    pub suspect_until: Duration,
    /// Requests of this entry in flight there.
    pub in_flight: u32,
    /// Prompt tokens of this entry's requests there that have had no event yet.
    pub unread_tokens: u64,
    /// Until when the engine has prompts to read, by its agent's last word.
    pub reads_until: Duration,
    /// Share of attempts that failed lately, 0 to 1.
    pub failing: f64,
    /// Time to the answer's head or first event lately beyond what was expected, in milliseconds.
    pub delay_ms: f64,
    /// What it held when it left without a word, and when its agent last spoke.
    pub(crate) left_with: Option<(Holds, Duration)>,
    /// Whether its service is declared. An announcement of another one was written by a stranger, and
    /// its address can be that of a sound target.
    pub(crate) declared: bool,
    /// Since when only words of an earlier life have come.
    pub(crate) old_words_since: Option<Duration>,
    /// Rises with each life that was seen for the first time.
    pub(crate) serial: u64,
}

impl Seen {
    pub(crate) fn new(target: Target, serial: u64) -> Self {
        Self {
            target,
            serial,
            left_with: None,
            listed: true,
            declared: true,
            old_words_since: None,
            missing_until: None,
            report: None,
            last_message: None,
            quiet: false,
            suspect_until: Duration::ZERO,
            in_flight: 0,
            unread_tokens: 0,
            reads_until: Duration::ZERO,
            failing: 0.0,
            delay_ms: 0.0,
        }
    }

    /// One that is not listed.
    pub(crate) fn gone() -> Self {
        let target = Target {
            id: "".into(),
            service: "".into(),
            addr: SocketAddr::from(([0, 0, 0, 0], 0)),
            data_centre: "".into(),
            started: None,
            slots: 0,
            state: State::Draining(None),
            cold: Duration::ZERO,
            holds: Holds::default(),
        };
        Self {
            listed: false,
            ..Self::new(target, 0)
        }
    }

    /// Whether the target takes new requests as far as is known.
    pub fn open(&self, now: Duration) -> bool {
        let missing = self.missing_until.is_some_and(|t| now >= t);
        let dead = self.fresh(now).is_some_and(|r| !r.load.alive);
        let ready = self.listed && self.target.state == State::Ready;
        ready && !missing && !self.quiet && now >= self.suspect_until && !dead
    }

    /// Whether the target takes new requests, by its own word alone where suspicion is left aside.
    pub fn takes(&self, suspects: bool, now: Duration) -> bool {
        self.open(now) || (suspects && self.listed_ready())
    }

    fn listed_ready(&self) -> bool {
        self.listed && self.missing_until.is_none() && self.target.state == State::Ready
    }

    /// Returns the agent's report if it is fresh.
    pub fn fresh(&self, now: Duration) -> Option<&Report> {
        let (report, at) = self.report.as_ref()?;
        (now.saturating_sub(*at) < REPORT_FRESH).then_some(report)
    }

    /// Returns what the target holds, by the report if it is fresh, else by the list.
    pub fn holds(&self, now: Duration) -> &Holds {
        match self.fresh(now) {
            Some(report) if report.load.alive => &report.holds,
            _ => &self.target.holds,
        }
    }

    /// Whether the model can run there now, and is not about to be dropped.
    pub fn has(&self, model: &str, now: Duration) -> bool {
        let report = self.fresh(now);
        let leaving = report.is_some_and(|r| r.load.leaving.iter().any(|m| **m == *model));
        !leaving && self.holds(now).model(model).is_some()
    }

    /// Whether the model is being loaded there.
    pub fn coming(&self, model: &str, now: Duration) -> bool {
        let loading = self.fresh(now).and_then(|r| r.load.loading.as_ref());
        loading.is_some_and(|l| *l.model == *model)
    }

    /// Notes that the target has said it does not hold a model, ahead of the report that says so.
    pub fn lacks(&mut self, model: &str) {
        let lists = [
            Some(&mut self.target.holds),
            self.report.as_mut().map(|(r, _)| &mut r.holds),
        ];
        for holds in lists.into_iter().flatten() {
            holds.models.retain(|h| *h.name != *model);
        }
    }

    /// Whether a word about the target is one of the life that is known.
    pub(crate) fn is_life(&self, word: &Target) -> bool {
        self.target.id == word.id && self.target.started == word.started
    }

    /// Whether a word is one of an earlier life, which changes nothing.
    pub(crate) fn is_older(&mut self, word: &Target, now: Duration) -> bool {
        let older = match (word.started, self.target.started) {
            (Some(word), Some(known)) => word < known,
            // Who says when its life started always does: another writer has written this.
            (None, Some(_)) => true,
            (_, None) => false,
        };
        if !older {
            return false;
        }
        let since = *self.old_words_since.get_or_insert(now);
        now.saturating_sub(since) < OLD_WORDS_TIME
    }

    /// Notes that the target is gone.
    pub fn leave(&mut self) {
        self.listed = false;
        let report = self.report.take();
        if self.target.state == State::Ready {
            self.left_with = report.map(|(r, at)| (r.holds, at));
        }
    }

    /// Whether it is down with a copy of a model, so that the model may soon be there again.
    pub(crate) fn is_down_with(&self, model: &str, now: Duration) -> bool {
        let holds = match &self.report {
            Some((report, _)) => &report.holds,
            None => &self.target.holds,
        };
        self.target.state == State::Ready && !self.open(now) && holds.has_copy(model)
    }

    /// Takes in that its agent has said something.
    pub fn note_message(&mut self, now: Duration) {
        self.last_message = Some(now);
        self.quiet = false;
    }

    /// Takes in that its agent has gone and its VM has not: the connection was closed or refused.
    pub fn agent_gone(&mut self) {
        self.last_message = None;
        self.quiet = false;
    }

    /// Takes its VM to stand still if its agent has said nothing for so long; whether that is new.
    pub fn mark_quiet(&mut self, after: Duration, now: Duration) -> bool {
        let silent = |at: Duration| now.saturating_sub(at) >= after;
        let falls = self.listed && !self.quiet && self.last_message.is_some_and(silent);
        self.quiet |= falls;
        falls
    }

    /// Takes the outcome of an attempt into the averages.
    pub fn learn(&mut self, ok: bool) {
        let sample = if ok { 0.0 } else { 1.0 };
        self.failing += SMOOTH * (sample - self.failing);
    }

    /// Takes a delay beyond the expected into the averages.
    pub fn learn_delay(&mut self, ms: f64) {
        self.delay_ms += SMOOTH * (ms - self.delay_ms);
    }
}
