//! Judges the requests and parts of prompts that were on crashed targets.

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
    SUSPECT_DELAY,
    Standing,
    TrialReply,
    crashes::Crashes,
    trials::Trials, //
};

/// Limit of remembered causes. Suspects are evicted first, the oldest first.
const MAX_RECORDS: usize = 4096;

/// Crashes during trials after which a cause is quarantined that had survived runs before. A cause
/// that has not needs one.
const PROVEN_TRIALS: usize = 3;

/// Limit of remembered ties.
const MAX_TIES: usize = 256;

/// Blame that a cause keeps after its quarantine, so that one more crash suffices.
const RETAINED_BLAME: u32 = QUARANTINE_BLAME - 1;

/// One agent's knowledge of the causes that were on crashed targets.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// Sorted by cause.
    records: Vec<Record>,
    ties: Vec<Tie>,
    crashes: Crashes,
    trials: Trials,
    /// Changed standings that have not been returned yet.
    changed: Vec<Notice>,
}

/// Parts that were together on each crash. One of them is the cause, so that a request with all of
/// them is quarantined. A request without some of them is run, and its run tells them apart.
#[derive(Debug, Clone)]
struct Tie {
    causes: Vec<Fingerprint>,
    until: Duration,
}

/// A request or a part that is a suspect or quarantined.
#[derive(Debug, Clone, Serialize)]
pub struct Record {
    #[serde(serialize_with = "as_text")]
    fingerprint: Fingerprint,
    /// Blame in addition to that for the remembered crashes.
    #[serde(rename = "kept_blame")]
    retained_blame: u32,
    /// When it was last judged a suspect.
    at: Duration,
    /// Whether it had survived a run before the crashes.
    proven: bool,
    /// When it was last quarantined, alone or in a tie.
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

    /// Judges the causes of all crashes that every entry has had the time to report. Returns the
    /// changed standings. It has to be called after each of [`SETTLE_DELAYS`](super::SETTLE_DELAYS).
    pub fn settle(&mut self, now: Duration) -> Vec<Notice> {
        self.records.retain(|r| r.is_current(now));
        self.ties.retain(|t| now < t.until);
        let causes = self.crashes.take_unjudged(SETTLE_DELAY, now);
        let (quarantined, mut others): (Vec<_>, Vec<_>) = causes
            .into_iter()
            .partition(|cause| self.is_quarantined(cause, now));
        quarantined
            .iter()
            .for_each(|cause| self.crashes.attribute_to(&[*cause]));
        // The most blamed first: the crashes that are attributed to it do not count against the
        // others.
        others.sort_by_cached_key(|cause| std::cmp::Reverse(self.blame(cause)));
        for cause in others {
            self.judge(cause, now);
        }
        for cause in self.crashes.take_unsuspected(SUSPECT_DELAY, now) {
            // Ordinary requests would become suspects before the crash is attributed to its cause, and
            // do not survive runs as often as parts do.
            if cause.part().is_some() && self.blame(&cause) >= SUSPECT_BLAME {
                self.suspect(cause, now);
            }
        }
        self.take_changed()
    }

    /// Takes the standings that have changed.
    pub(super) fn take_changed(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.changed)
    }

    fn judge(&mut self, cause: Fingerprint, now: Duration) {
        let blame = self.blame(&cause);
        if blame < SUSPECT_BLAME {
            return;
        }
        self.suspect(cause, now);
        let possible = match blame >= QUARANTINE_BLAME {
            true => self.possible_causes(&cause, now),
            false => None,
        };
        if let Some(possible) = possible {
            self.convict(&possible, now);
        }
    }

    fn suspect(&mut self, cause: Fingerprint, now: Duration) {
        let known = self.find(&cause).is_ok();
        let i = self.record(cause, now);
        self.records[i].at = now;
        let notice = self.records[i].notice(now);
        self.changed.extend((!known).then_some(notice));
    }

    /// Quarantines the cause of which each request has all the others, or else the causes together.
    fn convict(&mut self, possible: &[Fingerprint], now: Duration) {
        let mut count = 0;
        for cause in possible {
            let i = self.record(*cause, now);
            let record = &mut self.records[i];
            // The same crashes convict none of them again.
            record.quarantined_at = Some(now);
            count = count.max(record.quarantine_count);
            record.quarantine_count += 1;
        }
        let duration = QUARANTINE_DURATIONS[count.min(QUARANTINE_DURATIONS.len() - 1)];
        self.crashes.attribute_to(possible);
        let implies_all = |c: &&Fingerprint| possible.iter().all(|other| c.implies(other));
        match possible.iter().find(implies_all) {
            Some(cause) => self.quarantine(*cause, now + duration, now),
            None => {
                if self.ties.len() >= MAX_TIES {
                    self.ties.remove(0);
                }
                self.ties.push(Tie {
                    causes: possible.to_vec(),
                    until: now + duration,
                });
            }
        }
    }

    fn quarantine(&mut self, cause: Fingerprint, until: Duration, now: Duration) {
        let i = self.record(cause, now);
        let record = &mut self.records[i];
        record.quarantined_until = Some(until);
        record.retained_blame = RETAINED_BLAME;
        let notice = record.notice(now);
        self.changed.push(notice);
    }

    /// The total blame of a cause.
    fn blame(&self, run: &Fingerprint) -> u32 {
        let retained = self.find(run).map_or(0, |i| self.records[i].retained_blame);
        retained + self.crashes.blame(run)
    }

    /// The causes among which the crashes during trials of `cause` do not tell, if they suffice for a
    /// quarantine.
    fn possible_causes(&self, cause: &Fingerprint, now: Duration) -> Option<Vec<Fingerprint>> {
        let record = self.find(cause).ok().map(|i| &self.records[i]);
        let quarantined_at = record.and_then(|r| r.quarantined_at);
        let trials = match record.is_some_and(|r| r.proven) {
            true => PROVEN_TRIALS,
            false => 1,
        };
        // A cause that had survived runs before explains no crash unless it is the one judged.
        let blame = |other: &Fingerprint| match other == cause || !self.is_proven(other) {
            true => self.blame(other),
            false => 0,
        };
        self.crashes
            .convict(cause, quarantined_at, trials, now, blame)
    }

    fn is_proven(&self, cause: &Fingerprint) -> bool {
        self.find(cause).is_ok_and(|i| self.records[i].proven)
    }

    /// Records that a cause has survived a run. Returns whether it had a record.
    pub fn survived(&mut self, cause: Fingerprint, now: Duration) -> bool {
        self.survived_before(cause, Duration::ZERO, now)
    }

    /// Records that a cause survived a run this time ago. Returns whether it had a record that the
    /// survival refutes.
    pub fn survived_before(&mut self, cause: Fingerprint, age: Duration, now: Duration) -> bool {
        let at = now.saturating_sub(age);
        let found = self.find(&cause);
        let convicted_later = |i: usize| self.records[i].quarantined_at.is_some_and(|t| t > at);
        if found.is_ok_and(convicted_later) {
            return false;
        }
        if let Ok(i) = found {
            self.records[i].proven = true;
        }
        self.crashes.clear(&cause, at);
        let retained = found.map_or(0, |i| self.records[i].retained_blame);
        if !age.is_zero() && retained + self.crashes.blame(&cause) >= SUSPECT_BLAME {
            return false;
        }
        self.trials.survived(cause);
        self.untie(&cause, now);
        let found = self.find(&cause);
        found.map(|i| self.records.remove(i)).is_ok()
    }

    /// Takes a cause that has survived out of all ties. The last one of a tie is quarantined alone.
    fn untie(&mut self, cause: &Fingerprint, now: Duration) {
        let (of, ties): (Vec<_>, Vec<_>) = std::mem::take(&mut self.ties)
            .into_iter()
            .partition(|t| t.causes.contains(cause));
        self.ties = ties;
        for mut tie in of.into_iter().filter(|t| now < t.until) {
            tie.causes.retain(|c| c != cause);
            match &tie.causes[..] {
                [] => {}
                [last] => self.quarantine(*last, tie.until, now),
                _ => self.ties.push(tie),
            }
        }
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

    /// Begins a trial of a request with these suspects at a target, for the entry of connection
    /// `owner`.
    pub fn begin_trial(
        &mut self,
        causes: &[Fingerprint],
        target: &str,
        owner: u64,
        now: Duration,
    ) -> TrialReply {
        if !self.trials.is_free(causes, target, now) {
            return self.withheld(causes, now).unwrap_or(TrialReply::Busy);
        }
        // The last trial may have been contested until now.
        for cause in causes {
            self.judge(*cause, now);
        }
        if let Some(reply) = self.withheld(causes, now) {
            return reply;
        }
        self.trials.begin(causes, target, owner, now);
        TrialReply::Granted
    }

    /// Why a request with these causes is quarantined, if it is.
    fn withheld(&self, causes: &[Fingerprint], now: Duration) -> Option<TrialReply> {
        let alone = causes.iter().filter_map(|c| {
            let until = self.records[self.find(c).ok()?].quarantined_until?;
            Some((*c, until))
        });
        let holds_all = |t: &&Tie| t.causes.iter().all(|c| causes.contains(c));
        let tied = self.ties.iter().filter(holds_all);
        let tied = tied.filter_map(|t| Some((*t.causes.first()?, t.until)));
        let (cause, until) = alone.chain(tied).max_by_key(|(_, until)| *until)?;
        (now < until).then(|| TrialReply::Quarantined {
            cause,
            left: until - now,
        })
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

    /// The incarnations of the targets whose crashes are blamed on a cause.
    pub fn crashes(&self, cause: &Fingerprint) -> Vec<Box<str>> {
        self.crashes.of(cause)
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
            proven: false,
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
    /// The request, or the part of prompts.
    pub fn cause(&self) -> Fingerprint {
        self.fingerprint
    }

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
