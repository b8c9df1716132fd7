//! Runs of suspects: one of each request at a time, and one at each target.

use std::time::Duration;

use stair_types::Fingerprint;

/// Time after which a run is taken to have ended: longer than clients wait.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after a run's end in which the same request waits, for a crash to be reported and judged.
const VERDICT_DELAY: Duration = Duration::from_millis(1200);

/// Runs that are kept at most; more suspects wait.
const MAX_TRIALS: usize = 256;

/// One run of a suspect.
#[derive(Debug, Clone)]
struct Trial {
    fingerprint: Fingerprint,
    target: Box<str>,
    /// The link of the entry that runs it.
    owner: u64,
    until: Duration,
}

/// The runs of suspects that are under way.
#[derive(Debug, Clone, Default)]
pub(super) struct Trials {
    list: Vec<Trial>,
}

impl Trials {
    /// Begins a run, unless the request runs or another suspect is at the target.
    pub(super) fn begin(
        &mut self,
        fingerprint: Fingerprint,
        target: &str,
        owner: u64,
        now: Duration,
    ) -> bool {
        self.list.retain(|t| now < t.until);
        let taken = |t: &Trial| t.fingerprint == fingerprint || *t.target == *target;
        if self.list.len() >= MAX_TRIALS || self.list.iter().any(taken) {
            return false;
        }
        self.list.push(Trial {
            fingerprint,
            target: target.into(),
            owner,
            until: now + TRIAL_TIMEOUT,
        });
        true
    }

    /// Notes that a run has ended, in whatever way.
    pub(super) fn end(&mut self, fingerprint: Fingerprint, now: Duration) {
        let of = self
            .list
            .iter_mut()
            .filter(|t| t.fingerprint == fingerprint);
        of.for_each(|t| t.until = t.until.min(now + VERDICT_DELAY));
    }

    /// Forgets a request that has survived its run.
    pub(super) fn survived(&mut self, fingerprint: Fingerprint) {
        self.list.retain(|t| t.fingerprint != fingerprint);
    }

    /// Notes that the entry of a link has gone, and its runs with it.
    pub(super) fn owner_disconnected(&mut self, owner: u64, now: Duration) {
        let of = self.list.iter_mut().filter(|t| t.owner == owner);
        of.for_each(|t| t.until = t.until.min(now + VERDICT_DELAY));
    }
}
