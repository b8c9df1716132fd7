//! Recent crashes of targets, and the requests and parts of prompts that were on them.

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

/// Limit of remembered causes of one crash.
const MAX_RUNS: usize = 2048;

/// Limit of remembered causes of all crashes together.
const MAX_ALL_RUNS: usize = 65_536;

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
    /// Sorted by cause.
    runs: Vec<Run>,
    /// The cause of the crash, or all that it may be and that have not been told apart; empty if it is
    /// not known.
    attributed_to: Vec<Fingerprint>,
    /// Whether there are causes that have not been judged.
    unjudged: bool,
    /// Whether there are causes that have not been considered as suspects.
    unsuspected: bool,
}

impl CrashRecord {
    fn find(&self, run: &Fingerprint) -> Result<usize, usize> {
        self.runs.binary_search_by_key(run, |r| r.fingerprint)
    }

    fn has(&self, run: &Fingerprint) -> bool {
        self.find(run).is_ok()
    }

    /// The causes that the crash of a trial leaves possible beside `cause`, itself included. `None` if
    /// it was not on trial, or if another one has as much blame: of another request within one crash,
    /// or of the same request by more than one crash.
    fn possible_causes<F>(&self, cause: &Fingerprint, blame: F) -> Option<Vec<Fingerprint>>
    where
        F: Fn(&Fingerprint) -> u32,
    {
        let own = blame(cause);
        let mut possible = Vec::new();
        for run in &self.runs {
            let others = blame(&run.fingerprint);
            match run.on_trial {
                true if others > own + FULL_BLAME => return None,
                true if others + FULL_BLAME >= own => possible.push(run.fingerprint),
                true => {}
                false if others + FULL_BLAME >= own => return None,
                false => {}
            }
        }
        possible.contains(cause).then_some(possible)
    }

    /// Whether the crash has been known for long enough. If other requests were on the target, their
    /// next runs may show that one of them is the cause.
    fn is_decided(&self, now: Duration) -> bool {
        let is_contested = self.attributed_to.is_empty() && self.runs.len() > 1;
        !is_contested || now.saturating_sub(self.at) >= CONTESTED_DELAY
    }

    fn on_trial(&self) -> impl Iterator<Item = Fingerprint> {
        let on_trial = self.runs.iter().filter(|r| r.on_trial);
        on_trial.map(|r| r.fingerprint)
    }

    fn counts_for(&self, run: &Fingerprint) -> bool {
        (self.attributed_to.is_empty() || self.attributed_to.contains(run)) && self.has(run)
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
                attributed_to: Vec::new(),
                unjudged: false,
                unsuspected: false,
            });
            self.list.len() - 1
        });
        let record = &mut self.list[i];
        record.unjudged = true;
        record.unsuspected = true;
        for run in &crash.runs {
            merge_run(&mut record.runs, run, MAX_RUNS);
        }
    }

    fn expire(&mut self, now: Duration) {
        self.list.retain(|e| now.saturating_sub(e.at) < BLAME_TTL);
        let mut runs: usize = self.list.iter().map(|e| e.runs.len()).sum();
        while self.list.len() >= MAX_CRASHES || runs > MAX_ALL_RUNS {
            runs -= self.list.remove(0).runs.len();
        }
    }

    /// Takes the causes of crashes whose first reports are at least `after` old, and that have not been
    /// considered as suspects.
    pub(super) fn take_unsuspected(&mut self, after: Duration, now: Duration) -> Vec<Fingerprint> {
        let due = |e: &&mut CrashRecord| e.unsuspected && now.saturating_sub(e.at) >= after;
        let mut runs = Vec::new();
        for crash in self.list.iter_mut().filter(due) {
            crash.unsuspected = false;
            runs.extend(crash.runs.iter().map(|r| r.fingerprint));
        }
        runs.sort_unstable();
        runs.dedup();
        runs
    }

    /// Takes the causes of the unjudged crashes whose first reports are at least `after` old. Those of recent
    /// trials are judged again.
    pub(super) fn take_unjudged(&mut self, after: Duration, now: Duration) -> Vec<Fingerprint> {
        let due = |e: &&mut CrashRecord| e.unjudged && now.saturating_sub(e.at) >= after;
        let mut runs = Vec::new();
        for crash in self.list.iter_mut().filter(due) {
            crash.unjudged = false;
            runs.extend(crash.runs.iter().map(|r| r.fingerprint));
        }
        let is_recent = |e: &&CrashRecord| now.saturating_sub(e.at) < REVIEW_WINDOW;
        let recent = self.list.iter().filter(is_recent);
        runs.extend(recent.flat_map(CrashRecord::on_trial));
        runs.sort_unstable();
        runs.dedup();
        runs
    }

    /// The blame of a request by all crashes.
    pub(super) fn blame(&self, run: &Fingerprint) -> u32 {
        let on = self.list.iter().filter(|e| e.counts_for(run));
        on.map(|e| self.blame_for(e, run)).sum()
    }

    /// The causes among which the crashes during trials of `run` do not tell, itself included. `None`
    /// if the crashes have another visible cause, or another request on the same targets has as much
    /// blame. At least `trials` crashes are needed; in unrest two, but one after an earlier quarantine,
    /// whose crashes do not count.
    pub(super) fn convict<F>(
        &self,
        run: &Fingerprint,
        quarantined_at: Option<Duration>,
        trials: usize,
        now: Duration,
        blame: F,
    ) -> Option<Vec<Fingerprint>>
    where
        F: Fn(&Fingerprint) -> u32,
    {
        let on = self.list.iter().filter(|e| e.counts_for(run));
        let on = on.filter(|e| quarantined_at.is_none_or(|t| e.at > t));
        let on_trial = on.filter(|e| e.find(run).is_ok_and(|i| e.runs[i].on_trial));
        let decided = on_trial.filter(|e| e.is_decided(now) && !self.coincides(e, run));
        let possible = |e| Some((e, CrashRecord::possible_causes(e, run, &blame)?));
        let convicting: Vec<_> = decided.filter_map(possible).collect();
        let needed = if quarantined_at.is_some() { 1 } else { 2 };
        let is_enough = convicting.len() >= trials
            && (convicting.len() >= needed
                || convicting.iter().any(|(e, _)| !self.is_in_unrest(e, run)));
        // The cause is on each of the crashes.
        let mut all = convicting.into_iter().map(|(_, possible)| possible);
        let first = all.next().filter(|_| is_enough)?;
        Some(all.fold(first, |mut common, possible| {
            common.retain(|c| possible.contains(c));
            common
        }))
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
        // The crashes are in the order of their times.
        let from = crash.at.saturating_sub(COINCIDENCE_WINDOW);
        let first = self.list.partition_point(|e| e.at < from);
        let until = crash.at + COINCIDENCE_WINDOW;
        let others = self.list[first..].iter().take_while(|e| e.at <= until);
        let mut others = others.filter(|other| other.incarnation != crash.incarnation);
        others.any(|other| !other.has(run) && !other.runs.iter().any(|r| r.on_trial))
    }

    /// Whether targets without the request crashed together some time before or after a crash, for
    /// no known cause.
    fn is_in_unrest(&self, crash: &CrashRecord, run: &Fingerprint) -> bool {
        let is_unexplained = |e: &&CrashRecord| e.attributed_to.is_empty() && !e.has(run);
        let others = self.list.iter().filter(is_unexplained).map(|e| e.at);
        let mut near: Vec<_> = others
            .filter(|at| at.abs_diff(crash.at) < UNREST_WINDOW)
            .collect();
        near.sort_unstable();
        near.windows(2)
            .any(|pair| pair[1] - pair[0] <= COINCIDENCE_WINDOW)
    }

    /// The incarnations of the targets whose crashes are blamed on a cause.
    pub(super) fn of(&self, cause: &Fingerprint) -> Vec<Box<str>> {
        let blamed = self.list.iter().filter(|e| e.counts_for(cause));
        blamed.map(|e| e.incarnation.clone()).collect()
    }

    /// Attributes the crashes that one of these causes was on to all of them.
    pub(super) fn attribute_to(&mut self, causes: &[Fingerprint]) {
        for crash in &mut self.list {
            if crash.attributed_to.is_empty() && causes.iter().any(|c| crash.has(c)) {
                crash.attributed_to = causes.to_vec();
            }
        }
    }

    /// Takes a cause off the crashes until `until`, because it survived a run then.
    pub(super) fn clear(&mut self, run: &Fingerprint, until: Duration) {
        for crash in self.list.iter_mut().filter(|e| e.at <= until) {
            if let Ok(i) = crash.find(run) {
                crash.runs.remove(i);
            }
            crash.attributed_to.retain(|c| c != run);
        }
    }
}

/// Adds a run to a list that is sorted by cause and has at most `limit` runs.
pub fn merge_run(runs: &mut Vec<Run>, run: &Run, limit: usize) {
    match runs.binary_search_by_key(&run.fingerprint, |r| r.fingerprint) {
        // The cause was on the target twice, so its second run is a recent one.
        Ok(i) => {
            runs[i].established &= run.established;
            runs[i].on_trial |= run.on_trial;
        }
        Err(i) if runs.len() < limit => runs.insert(i, *run),
        Err(_) => {}
    }
}
