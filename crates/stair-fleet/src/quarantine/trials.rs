//! Trials of suspects: one of each cause at a time, and one at each target.

use std::time::Duration;

use stair_types::Fingerprint;

/// Time after which a trial counts as ended; longer than clients wait.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after a trial's end during which the same causes wait, so that a crash can be reported
/// and judged, also a contested one.
const VERDICT_DELAY: Duration = Duration::from_millis(1200);

/// Limit of concurrent trials; further suspects wait.
const MAX_TRIALS: usize = 256;

/// One run of a request with suspects among its causes.
#[derive(Debug, Clone)]
struct Trial {
    causes: Vec<Fingerprint>,
    target: Box<str>,
    /// The connection of the entry that runs it.
    owner: u64,
    until: Duration,
}

/// The trials in progress.
#[derive(Debug, Clone, Default)]
pub(super) struct Trials {
    list: Vec<Trial>,
}

impl Trials {
    /// Whether a trial may begin: its suspects are in no other one, and the target has no other one.
    pub(super) fn is_free(&mut self, causes: &[Fingerprint], target: &str, now: Duration) -> bool {
        self.list.retain(|t| now < t.until);
        let taken = |t: &Trial| *t.target == *target || causes.iter().any(|c| t.causes.contains(c));
        self.list.len() < MAX_TRIALS && !self.list.iter().any(taken)
    }

    /// Begins a trial that is free.
    pub(super) fn begin(
        &mut self,
        causes: &[Fingerprint],
        target: &str,
        owner: u64,
        now: Duration,
    ) {
        self.list.push(Trial {
            causes: causes.to_vec(),
            target: target.into(),
            owner,
            until: now + TRIAL_TIMEOUT,
        });
    }

    /// Records the end of the trial of a suspect, whatever its result.
    pub(super) fn end(&mut self, fingerprint: Fingerprint, now: Duration) {
        let of = self
            .list
            .iter_mut()
            .filter(|t| t.causes.contains(&fingerprint));
        of.for_each(|t| t.until = t.until.min(now + VERDICT_DELAY));
    }

    /// Forgets a cause that has survived a run, and a trial that has no other one.
    pub(super) fn survived(&mut self, fingerprint: Fingerprint) {
        for trial in &mut self.list {
            trial.causes.retain(|c| *c != fingerprint);
        }
        self.list.retain(|t| !t.causes.is_empty());
    }

    /// Records that the entry of a connection has disconnected, which ends its trials.
    pub(super) fn owner_disconnected(&mut self, owner: u64, now: Duration) {
        let of = self.list.iter_mut().filter(|t| t.owner == owner);
        of.for_each(|t| t.until = t.until.min(now + VERDICT_DELAY));
    }
}
