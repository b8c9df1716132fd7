//! Judges the requests that were on crashed targets.

use std::time::Duration;

use serde::Serialize;
use stair_types::Fingerprint;

use super::{
    BLAME_TTL,
    Crash,
    Notice,
    QUARANTINE_BLAME,
    QUARANTINE_DURATIONS,
    SETTLE_DELAY,
    SUSPECT_BLAME,
    Standing,
    crashes::Crashes,
    trials::Trials, //
};

/// Limit of remembered requests. Suspects are evicted first, the oldest first.
const MAX_RECORDS: usize = 4096;

/// Blame that a request keeps after its quarantine, so that one more crash suffices.
const RETAINED_BLAME: u32 = QUARANTINE_BLAME - 1;

/// One agent's knowledge of the requests that were on crashed targets.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// Sorted by request.
    records: Vec<Record>,
    crashes: Crashes,
    trials: Trials,
    /// Changed standings that have not been returned yet.
    changed: Vec<Notice>,
}

/// A request that is a suspect or quarantined.
#[derive(Debug, Clone, Serialize)]
pub struct Record {
    #[serde(serialize_with = "as_text")]
    fingerprint: Fingerprint,
    /// Blame that the request has in addition to its blame for the remembered crashes.
    #[serde(rename = "kept_blame")]
    retained_blame: u32,
    /// When it was last judged a suspect.
    at: Duration,
    /// When it was last quarantined.
    #[serde(skip)]
    quarantined_at: Option<Duration>,
    /// End of the quarantine.
    #[serde(rename = "held_until")]
    quarantined_until: Option<Duration>,
    /// Number of quarantines so far.
    #[serde(rename = "holds")]
    quarantine_count: usize,
}

impl Ledger {
    /// Records an entry's report of a target's crash.
    pub fn report(&mut self, crash: &Crash, now: Duration) {
        self.crashes.report(crash, now);
    }

    /// Judges the requests of all crashes that every entry has had the time to report. Returns the
    /// changed standings. It has to be called after each of [`SETTLE_DELAYS`](super::SETTLE_DELAYS).
    pub fn settle(&mut self, now: Duration) -> Vec<Notice> {
        self.records.retain(|r| r.is_current(now));
        let runs = self.crashes.take_unjudged(SETTLE_DELAY, now);
        let (quarantined, mut others): (Vec<_>, Vec<_>) = runs
            .into_iter()
            .partition(|run| self.is_quarantined(run, now));
        quarantined
            .iter()
            .for_each(|run| self.crashes.attribute_to(run));
        // The most blamed first: the crashes that are attributed to it do not count against the
        // others.
        others.sort_by_cached_key(|run| std::cmp::Reverse(self.blame(run)));
        for run in others {
            self.judge(run, now);
        }
        self.take_changed()
    }

    /// Takes the standings that have changed.
    pub(super) fn take_changed(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.changed)
    }

    fn judge(&mut self, run: Fingerprint, now: Duration) {
        let blame = self.blame(&run);
        if blame < SUSPECT_BLAME {
            return;
        }
        let convicted = blame >= QUARANTINE_BLAME && self.is_convicted(&run, now);
        let known = self.find(&run).is_ok();
        let i = self.record(run, now);
        let record = &mut self.records[i];
        record.at = now;
        if !convicted {
            let notice = record.notice(now);
            self.changed.extend((!known).then_some(notice));
            return;
        }
        let duration =
            QUARANTINE_DURATIONS[record.quarantine_count.min(QUARANTINE_DURATIONS.len() - 1)];
        record.quarantined_at = Some(now);
        record.quarantined_until = Some(now + duration);
        record.quarantine_count += 1;
        record.retained_blame = RETAINED_BLAME;
        let notice = record.notice(now);
        self.changed.push(notice);
        self.crashes.attribute_to(&run);
    }

    /// The total blame of a request.
    fn blame(&self, run: &Fingerprint) -> u32 {
        let retained = self.find(run).map_or(0, |i| self.records[i].retained_blame);
        retained + self.crashes.blame(run)
    }

    /// Whether the crashes during trials of the request suffice for a quarantine.
    fn is_convicted(&self, run: &Fingerprint, now: Duration) -> bool {
        let record = self.find(run).ok().map(|i| &self.records[i]);
        let quarantined_at = record.and_then(|r| r.quarantined_at);
        let blame = |other: &Fingerprint| self.blame(other);
        self.crashes.convict(run, quarantined_at, now, blame)
    }

    /// Records that a request has survived a run. Returns whether it had a record.
    pub fn survived(&mut self, run: Fingerprint) -> bool {
        self.trials.survived(run);
        self.crashes.clear(&run);
        let found = self.find(&run);
        found.map(|i| self.records.remove(i)).is_ok()
    }

    /// Applies what another process knows, and returns the notice if it was not known here.
    pub fn merge(&mut self, notice: &Notice, now: Duration) -> Option<Notice> {
        let known = self.find(&notice.fingerprint).is_ok();
        let was_quarantined = self.is_quarantined(&notice.fingerprint, now);
        if notice.standing == Standing::Cleared {
            return None;
        }
        let i = self.record(notice.fingerprint, now);
        let record = &mut self.records[i];
        let Standing::Quarantined(left) = notice.standing else {
            return (!known).then_some(*notice);
        };
        record.quarantined_at = Some(now);
        record.quarantined_until = record.quarantined_until.max(Some(now + left));
        record.quarantine_count = record.quarantine_count.max(1);
        record.retained_blame = RETAINED_BLAME;
        (!was_quarantined).then_some(*notice)
    }

    /// Begins a trial of a suspect at a target for the entry of connection `owner`. Returns false
    /// if the request is quarantined or another trial prevents it.
    pub fn begin_trial(
        &mut self,
        run: Fingerprint,
        target: &str,
        owner: u64,
        now: Duration,
    ) -> bool {
        if !self.trials.is_free(&run, target, now) {
            return false;
        }
        // Its last trial may have been contested until now.
        self.judge(run, now);
        if self.is_quarantined(&run, now) {
            return false;
        }
        self.trials.begin(run, target, owner, now);
        true
    }

    /// Records that a trial has ended.
    pub fn end_trial(&mut self, run: Fingerprint, now: Duration) {
        self.trials.end(run, now);
    }

    /// Records that the entry of a connection has disconnected.
    pub fn owner_disconnected(&mut self, owner: u64, now: Duration) {
        self.trials.owner_disconnected(owner, now);
    }

    /// The standings of all suspects and quarantined requests.
    pub fn notices(&self, now: Duration) -> Vec<Notice> {
        let lasting = self.records.iter().filter(|r| r.is_current(now));
        lasting.map(|r| r.notice(now)).collect()
    }

    /// The records of all suspects and quarantined requests.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    fn is_quarantined(&self, run: &Fingerprint, now: Duration) -> bool {
        self.find(run)
            .is_ok_and(|i| self.records[i].is_quarantined(now))
    }

    fn find(&self, run: &Fingerprint) -> Result<usize, usize> {
        self.records.binary_search_by_key(run, |r| r.fingerprint)
    }

    /// Finds or creates the record of a request.
    fn record(&mut self, run: Fingerprint, now: Duration) -> usize {
        if let Ok(i) = self.find(&run) {
            return i;
        }
        if self.records.len() >= MAX_RECORDS {
            self.evict(now);
        }
        let i = self.find(&run).unwrap_or_else(|i| i);
        let record = Record {
            fingerprint: run,
            retained_blame: 0,
            at: now,
            quarantined_at: None,
            quarantined_until: None,
            quarantine_count: 0,
        };
        self.records.insert(i, record);
        i
    }

    fn evict(&mut self, now: Duration) {
        let weight = |r: &Record| (r.is_quarantined(now), r.at);
        let least = (0..self.records.len()).min_by_key(|i| weight(&self.records[*i]));
        least.map(|i| self.records.remove(i));
    }
}

impl Record {
    fn is_quarantined(&self, now: Duration) -> bool {
        self.quarantined_until.is_some_and(|t| now < t)
    }

    fn is_current(&self, now: Duration) -> bool {
        self.is_quarantined(now) || now.saturating_sub(self.at) < BLAME_TTL
    }

    fn notice(&self, now: Duration) -> Notice {
        let left = self.quarantined_until.map(|t| t.saturating_sub(now));
        let standing = match left {
            Some(left) if !left.is_zero() => Standing::Quarantined(left),
            _ => Standing::Suspect,
        };
        Notice {
            fingerprint: self.fingerprint,
            standing,
        }
    }
}

fn as_text<S>(fingerprint: &Fingerprint, s: S) -> Result<S::Ok, S::Error>
where
    S: serde::Serializer,
{
    s.collect_str(fingerprint)
}
