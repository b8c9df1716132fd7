//! The ends of targets of late, and the requests that were there.

use std::time::Duration;

use stair_types::Fingerprint;

use super::{
    BLAME_TIME,
    Crash,
    Run, //
};

/// Blame for a crash.
const FULL: u32 = 2;

/// Blame of a request that had run for some time, or for a crash that may have a cause in common with others.
const LESS: u32 = 1;

/// Time between the ends of targets up to which they may have a cause in common.
const COINCIDENCE: Duration = Duration::from_millis(50);

/// Crashes that are kept at most.
const MAX_CRASHES: usize = 512;

/// Requests that are kept of one crash.
const MAX_RUNS: usize = 1024;

/// Requests that are kept of all crashes together.
const MAX_ALL_RUNS: usize = 16_384;

/// The crashes, in the order of their first reports.
#[derive(Debug, Clone, Default)]
pub(super) struct Crashes {
    list: Vec<Ended>,
}

/// The end of one target.
#[derive(Debug, Clone)]
pub(super) struct Ended {
    life: Box<str>,
    at: Duration,
    /// Sorted by request.
    runs: Vec<Run>,
    /// The request that it is put down to.
    explained_by: Option<Fingerprint>,
    /// Whether there are requests that have not been judged.
    open: bool,
}

impl Ended {
    fn find(&self, run: &Fingerprint) -> Result<usize, usize> {
        self.runs.binary_search_by_key(run, |r| r.fingerprint)
    }

    fn has(&self, run: &Fingerprint) -> bool {
        self.find(run).is_ok()
    }

    /// Whether a request is blamed for more than all others that were there.
    pub(super) fn is_led_by<F>(&self, run: &Fingerprint, blame: F) -> bool
    where
        F: Fn(&Fingerprint) -> u32,
    {
        let most = blame(run);
        let mut others = self.runs.iter().map(|r| &r.fingerprint);
        others.all(|other| other == run || blame(other) < most)
    }

    fn counts_for(&self, run: &Fingerprint) -> bool {
        self.explained_by.is_none_or(|e| e == *run) && self.has(run)
    }
}

impl Crashes {
    /// Takes in what an entry says of a target's end.
    pub(super) fn report(&mut self, crash: &Crash, now: Duration) {
        self.forget_old(now);
        let known = self.list.iter().position(|e| e.life == crash.life);
        let i = known.unwrap_or_else(|| {
            self.list.push(Ended {
                life: crash.life.clone(),
                at: now,
                runs: Vec::new(),
                explained_by: None,
                open: false,
            });
            self.list.len() - 1
        });
        let ended = &mut self.list[i];
        ended.open = true;
        for run in &crash.runs {
            match ended.find(&run.fingerprint) {
                // Sent twice, it has begun again.
                Ok(i) => {
                    ended.runs[i].established &= run.established;
                    ended.runs[i].on_trial |= run.on_trial;
                }
                Err(i) if ended.runs.len() < MAX_RUNS => ended.runs.insert(i, *run),
                Err(_) => {}
            }
        }
    }

    fn forget_old(&mut self, now: Duration) {
        self.list.retain(|e| now.saturating_sub(e.at) < BLAME_TIME);
        let mut runs: usize = self.list.iter().map(|e| e.runs.len()).sum();
        while self.list.len() >= MAX_CRASHES || runs > MAX_ALL_RUNS {
            runs -= self.list.remove(0).runs.len();
        }
    }

    /// Takes the requests of the crashes that were first reported so long ago, and have not been judged since.
    pub(super) fn take_open(&mut self, after: Duration, now: Duration) -> Vec<Fingerprint> {
        let due = |e: &&mut Ended| e.open && now.saturating_sub(e.at) >= after;
        let mut runs = Vec::new();
        for ended in self.list.iter_mut().filter(due) {
            ended.open = false;
            runs.extend(ended.runs.iter().map(|r| r.fingerprint));
        }
        runs.sort_unstable();
        runs.dedup();
        runs
    }

    /// What the crashes say against a request.
    pub(super) fn blame(&self, run: &Fingerprint) -> u32 {
        let on = self.list.iter().filter(|e| e.counts_for(run));
        on.map(|e| self.share(e, run)).sum()
    }

    /// The crashes during trials of a request that have no other cause in sight.
    pub(super) fn on_trial<'a>(&'a self, run: &'a Fingerprint) -> impl Iterator<Item = &'a Ended> {
        let on = self.list.iter().filter(|e| e.counts_for(run));
        let apart = on.filter(|e| e.find(run).is_ok_and(|i| e.runs[i].on_trial));
        apart.filter(|e| !self.coincides(e, run))
    }

    fn share(&self, ended: &Ended, run: &Fingerprint) -> u32 {
        let established = ended.find(run).is_ok_and(|i| ended.runs[i].established);
        match established || self.coincides(ended, run) {
            true => LESS,
            false => FULL,
        }
    }

    /// Whether another target ended about then on which the request was not, nor any trial, which would explain it.
    fn coincides(&self, ended: &Ended, run: &Fingerprint) -> bool {
        let near = |other: &&Ended| other.at.abs_diff(ended.at) <= COINCIDENCE;
        let others = self.list.iter().filter(near);
        let mut others = others.filter(|other| other.life != ended.life);
        others.any(|other| !other.has(run) && !other.runs.iter().any(|r| r.on_trial))
    }

    /// Puts the crashes that a request was on down to it.
    pub(super) fn explain(&mut self, run: &Fingerprint) {
        for ended in &mut self.list {
            if ended.explained_by.is_none() && ended.has(run) {
                ended.explained_by = Some(*run);
            }
        }
    }

    /// Takes a request off all crashes: it has survived a run.
    pub(super) fn clear(&mut self, run: &Fingerprint) {
        for ended in &mut self.list {
            if let Ok(i) = ended.find(run) {
                ended.runs.remove(i);
            }
            if ended.explained_by == Some(*run) {
                ended.explained_by = None;
            }
        }
    }
}
