//! The ends of targets of late, and the requests that were there.

use std::time::Duration;

use stair_types::Fingerprint;

use super::{
    BLAME_TTL,
    Crash,
    Run, //
};

/// Blame for a crash.
const FULL_BLAME: u32 = 2;

/// Blame of a request that had run for some time, or for a crash that may have a cause in common with others.
const REDUCED_BLAME: u32 = 1;

/// Time between the ends of targets up to which they may have a cause in common.
const COINCIDENCE_WINDOW: Duration = Duration::from_millis(50);

/// Crashes that are kept at most.
const MAX_CRASHES: usize = 512;

/// Requests that are kept of one crash.
const MAX_RUNS: usize = 1024;

/// Requests that are kept of all crashes together.
const MAX_ALL_RUNS: usize = 16_384;

/// The crashes, in the order of their first reports.
#[derive(Debug, Clone, Default)]
pub(super) struct Crashes {
    list: Vec<CrashRecord>,
}

/// The end of one target.
#[derive(Debug, Clone)]
pub(super) struct CrashRecord {
    incarnation: Box<str>,
    at: Duration,
    /// Sorted by request.
    runs: Vec<Run>,
    /// The request that it is put down to.
    attributed_to: Option<Fingerprint>,
    /// Whether there are requests that have not been judged.
    unjudged: bool,
}

impl CrashRecord {
    fn find(&self, run: &Fingerprint) -> Result<usize, usize> {
        self.runs.binary_search_by_key(run, |r| r.fingerprint)
    }

    fn has(&self, run: &Fingerprint) -> bool {
        self.find(run).is_ok()
    }

    /// Whether a request is blamed for more than all others that were there.
    pub(super) fn is_most_blamed<F>(&self, run: &Fingerprint, blame: F) -> bool
    where
        F: Fn(&Fingerprint) -> u32,
    {
        let most = blame(run);
        let mut others = self.runs.iter().map(|r| &r.fingerprint);
        others.all(|other| other == run || blame(other) < most)
    }

    fn counts_for(&self, run: &Fingerprint) -> bool {
        self.attributed_to.is_none_or(|e| e == *run) && self.has(run)
    }
}

impl Crashes {
    /// Takes in what an entry says of a target's end.
    pub(super) fn report(&mut self, crash: &Crash, now: Duration) {
        self.expire(now);
        let known = self
            .list
            .iter()
            .position(|e| e.incarnation == crash.incarnation);
        let i = known.unwrap_or_else(|| {
            self.list.push(CrashRecord {
                incarnation: crash.incarnation.clone(),
                at: now,
                runs: Vec::new(),
                attributed_to: None,
                unjudged: false,
            });
            self.list.len() - 1
        });
        let record = &mut self.list[i];
        record.unjudged = true;
        for run in &crash.runs {
            match record.find(&run.fingerprint) {
                // Sent twice, it has begun again.
                Ok(i) => {
                    record.runs[i].established &= run.established;
                    record.runs[i].on_trial |= run.on_trial;
                }
                Err(i) if record.runs.len() < MAX_RUNS => record.runs.insert(i, *run),
                Err(_) => {}
            }
        }
    }

    fn expire(&mut self, now: Duration) {
        self.list.retain(|e| now.saturating_sub(e.at) < BLAME_TTL);
        let mut runs: usize = self.list.iter().map(|e| e.runs.len()).sum();
        while self.list.len() >= MAX_CRASHES || runs > MAX_ALL_RUNS {
            runs -= self.list.remove(0).runs.len();
        }
    }

    /// Takes the requests of the crashes that were first reported so long ago, and have not been judged since.
    pub(super) fn take_unjudged(&mut self, after: Duration, now: Duration) -> Vec<Fingerprint> {
        let due = |e: &&mut CrashRecord| e.unjudged && now.saturating_sub(e.at) >= after;
        let mut runs = Vec::new();
        for crash in self.list.iter_mut().filter(due) {
            crash.unjudged = false;
            runs.extend(crash.runs.iter().map(|r| r.fingerprint));
        }
        runs.sort_unstable();
        runs.dedup();
        runs
    }

    /// What the crashes say against a request.
    pub(super) fn blame(&self, run: &Fingerprint) -> u32 {
        let on = self.list.iter().filter(|e| e.counts_for(run));
        on.map(|e| self.blame_for(e, run)).sum()
    }

    /// The crashes during trials of a request that have no other cause in sight.
    pub(super) fn on_trial<'a>(
        &'a self,
        run: &'a Fingerprint,
    ) -> impl Iterator<Item = &'a CrashRecord> {
        let on = self.list.iter().filter(|e| e.counts_for(run));
        let apart = on.filter(|e| e.find(run).is_ok_and(|i| e.runs[i].on_trial));
        apart.filter(|e| !self.coincides(e, run))
    }

    fn blame_for(&self, crash: &CrashRecord, run: &Fingerprint) -> u32 {
        let established = crash.find(run).is_ok_and(|i| crash.runs[i].established);
        match established || self.coincides(crash, run) {
            true => REDUCED_BLAME,
            false => FULL_BLAME,
        }
    }

    /// Whether another target ended about then on which the request was not, nor any trial, which would explain it.
    fn coincides(&self, crash: &CrashRecord, run: &Fingerprint) -> bool {
        let near = |other: &&CrashRecord| other.at.abs_diff(crash.at) <= COINCIDENCE_WINDOW;
        let others = self.list.iter().filter(near);
        let mut others = others.filter(|other| other.incarnation != crash.incarnation);
        others.any(|other| !other.has(run) && !other.runs.iter().any(|r| r.on_trial))
    }

    /// Puts the crashes that a request was on down to it.
    pub(super) fn attribute_to(&mut self, run: &Fingerprint) {
        for crash in &mut self.list {
            if crash.attributed_to.is_none() && crash.has(run) {
                crash.attributed_to = Some(*run);
            }
        }
    }

    /// Takes a request off all crashes: it has survived a run.
    pub(super) fn clear(&mut self, run: &Fingerprint) {
        for crash in &mut self.list {
            if let Ok(i) = crash.find(run) {
                crash.runs.remove(i);
            }
            if crash.attributed_to == Some(*run) {
                crash.attributed_to = None;
            }
        }
    }
}
