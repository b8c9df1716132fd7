//! Recent crashes of targets, and the requests that were on them.

use std::time::Duration;

use stair_types::Fingerprint;

use super::{
    BLAME_TTL,
    CONTESTED_DELAY,
    Crash,
    Run, //
};

/// Blame for a crash.
const FULL_BLAME: u32 = 2;

/// Blame of a request that had run for some time without a trial, or for a crash that may share its
/// cause with others.
const REDUCED_BLAME: u32 = 1;

/// Time between crashes of targets up to which they may share a cause.
const COINCIDENCE_WINDOW: Duration = Duration::from_millis(50);

/// Time around a crash in which other targets that crash together show that targets end for other
/// reasons, too.
const UNREST_WINDOW: Duration = Duration::from_secs(10);

/// Time for which the crash of a trial is judged again, as later crashes may explain it.
const REVIEW_WINDOW: Duration = Duration::from_secs(5);

/// Limit of remembered crashes.
const MAX_CRASHES: usize = 512;

/// Limit of remembered requests of one crash.
const MAX_RUNS: usize = 1024;

/// Limit of remembered requests of all crashes together.
const MAX_ALL_RUNS: usize = 16_384;

/// The crashes, in the order of their first reports.
#[derive(Debug, Clone, Default)]
pub(super) struct Crashes {
    list: Vec<CrashRecord>,
}

/// The crash of one target.
#[derive(Debug, Clone)]
pub(super) struct CrashRecord {
    incarnation: Box<str>,
    at: Duration,
    /// Sorted by request.
    runs: Vec<Run>,
    /// The request that caused the crash, if known.
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

    /// Whether a request has more blame than each other request that was on the target, by more than
    /// one crash.
    fn is_most_blamed<F>(&self, run: &Fingerprint, blame: F) -> bool
    where
        F: Fn(&Fingerprint) -> u32,
    {
        let blame_of_run = blame(run);
        let mut others = self.runs.iter().map(|r| &r.fingerprint);
        others.all(|other| other == run || blame(other) + FULL_BLAME < blame_of_run)
    }

    /// Whether the crash has been known for long enough. If other requests were on the target, their
    /// next runs may show that one of them is the cause.
    fn is_decided(&self, now: Duration) -> bool {
        let is_contested = self.attributed_to.is_none() && self.runs.len() > 1;
        !is_contested || now.saturating_sub(self.at) >= CONTESTED_DELAY
    }

    fn trial(&self) -> Option<Fingerprint> {
        let run = self.runs.iter().find(|r| r.on_trial)?;
        Some(run.fingerprint)
    }

    fn counts_for(&self, run: &Fingerprint) -> bool {
        self.attributed_to.is_none_or(|e| e == *run) && self.has(run)
    }
}

impl Crashes {
    /// Records an entry's report of a crash.
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
                // The request was sent twice, so its second run is a recent one.
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

    /// Takes the requests of the unjudged crashes whose first reports are at least `after` old. The
    /// requests of recent trials are judged again.
    pub(super) fn take_unjudged(&mut self, after: Duration, now: Duration) -> Vec<Fingerprint> {
        let due = |e: &&mut CrashRecord| e.unjudged && now.saturating_sub(e.at) >= after;
        let mut runs = Vec::new();
        for crash in self.list.iter_mut().filter(due) {
            crash.unjudged = false;
            runs.extend(crash.runs.iter().map(|r| r.fingerprint));
        }
        let is_recent = |e: &&CrashRecord| now.saturating_sub(e.at) < REVIEW_WINDOW;
        let recent = self.list.iter().filter(is_recent);
        runs.extend(recent.filter_map(CrashRecord::trial));
        runs.sort_unstable();
        runs.dedup();
        runs
    }

    /// The blame of a request by all crashes.
    pub(super) fn blame(&self, run: &Fingerprint) -> u32 {
        let on = self.list.iter().filter(|e| e.counts_for(run));
        on.map(|e| self.blame_for(e, run)).sum()
    }

    /// Whether crashes during trials of a request have no other visible cause, and no other request
    /// on the same targets has as much blame. In unrest two such crashes are needed, but one is
    /// enough after an earlier quarantine, whose crashes do not count.
    pub(super) fn convict<F>(
        &self,
        run: &Fingerprint,
        quarantined_at: Option<Duration>,
        now: Duration,
        blame: F,
    ) -> bool
    where
        F: Fn(&Fingerprint) -> u32,
    {
        let on = self.list.iter().filter(|e| e.counts_for(run));
        let on = on.filter(|e| quarantined_at.is_none_or(|t| e.at > t));
        let on_trial = on.filter(|e| e.find(run).is_ok_and(|i| e.runs[i].on_trial));
        let decided = on_trial.filter(|e| e.is_decided(now) && !self.coincides(e, run));
        let convicting: Vec<_> = decided.filter(|e| e.is_most_blamed(run, &blame)).collect();
        let needed = if quarantined_at.is_some() { 1 } else { 2 };
        convicting.len() >= needed || convicting.iter().any(|e| !self.is_in_unrest(e, run))
    }

    fn blame_for(&self, crash: &CrashRecord, run: &Fingerprint) -> u32 {
        // The other suspects run elsewhere during a trial, however long it lasts.
        let is_discounted = |r: &Run| r.established && !r.on_trial;
        let discounted = crash.find(run).is_ok_and(|i| is_discounted(&crash.runs[i]));
        match discounted || self.coincides(crash, run) {
            true => REDUCED_BLAME,
            false => FULL_BLAME,
        }
    }

    /// Whether another target crashed at about the same time on which neither the request nor any
    /// trial ran. A trial there would explain that crash.
    fn coincides(&self, crash: &CrashRecord, run: &Fingerprint) -> bool {
        let at_same_time = |other: &&CrashRecord| other.at.abs_diff(crash.at) <= COINCIDENCE_WINDOW;
        let others = self.list.iter().filter(at_same_time);
        let mut others = others.filter(|other| other.incarnation != crash.incarnation);
        others.any(|other| !other.has(run) && !other.runs.iter().any(|r| r.on_trial))
    }

    /// Whether targets without the request crashed together some time before or after a crash, for
    /// no known cause.
    fn is_in_unrest(&self, crash: &CrashRecord, run: &Fingerprint) -> bool {
        let is_unexplained = |e: &&CrashRecord| e.attributed_to.is_none() && !e.has(run);
        let others = self.list.iter().filter(is_unexplained).map(|e| e.at);
        let mut near: Vec<_> = others
            .filter(|at| at.abs_diff(crash.at) < UNREST_WINDOW)
            .collect();
        near.sort_unstable();
        near.windows(2)
            .any(|pair| pair[1] - pair[0] <= COINCIDENCE_WINDOW)
    }

    /// Attributes the crashes that a request was on to it.
    pub(super) fn attribute_to(&mut self, run: &Fingerprint) {
        for crash in &mut self.list {
            if crash.attributed_to.is_none() && crash.has(run) {
                crash.attributed_to = Some(*run);
            }
        }
    }

    /// Takes a request off all crashes, because it has survived a run.
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
