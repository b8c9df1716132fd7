//! The blame of requests, as it adds up.

use std::time::Duration;

use serde::Serialize;
use stair_types::Fingerprint;

use super::{
    BLAME_TIME, Crash, HOLD_TIMES, Notice, QUARANTINE_BLAME, SETTLE_TIME, SUSPECT_BLAME, Standing,
    blame::{
        self,
        blame, //
    },
    trials::Trials,
};

/// Time between the ends of targets up to which they may have a cause in common.
const COINCIDENCE: Duration = Duration::from_millis(300);

/// Time for which the end of a target is kept, for reports that are late.
const CRASH_TIME: Duration = Duration::from_secs(10);

/// Requests that are remembered at most; the least blamed and oldest make way.
const MAX_RECORDS: usize = 4096;

/// Ends of targets that are kept at most.
const MAX_CRASHES: usize = 512;

/// Requests that are kept of one end.
const MAX_RUNS: usize = 1024;

/// What one agent knows of the requests that were on targets when they ended.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// Sorted by request.
    records: Vec<Record>,
    /// In the order of their first reports.
    crashes: Vec<Ended>,
    trials: Trials,
}

/// One request.
#[derive(Debug, Clone, Serialize)]
pub struct Record {
    #[serde(serialize_with = "as_text")]
    fingerprint: Fingerprint,
    blame: u32,
    /// When it was blamed last.
    at: Duration,
    /// Until when it is not run.
    held_until: Option<Duration>,
    /// How often it has been quarantined.
    holds: usize,
}

#[derive(Debug, Clone)]
struct Ended {
    life: Box<str>,
    at: Duration,
    runs: Vec<Fingerprint>,
    /// Those among them that have had their blame.
    judged: usize,
}

impl Ledger {
    /// Takes in what an entry says of a target's end.
    pub fn report(&mut self, crash: &Crash, now: Duration) {
        self.crashes
            .retain(|e| now.saturating_sub(e.at) < CRASH_TIME);
        let known = self.crashes.iter().position(|e| e.life == crash.life);
        let i = known.unwrap_or_else(|| {
            if self.crashes.len() == MAX_CRASHES {
                self.crashes.remove(0);
            }
            self.crashes.push(Ended {
                life: crash.life.clone(),
                at: now,
                runs: Vec::new(),
                judged: 0,
            });
            self.crashes.len() - 1
        });
        let runs = &mut self.crashes[i].runs;
        for run in &crash.runs {
            if runs.len() < MAX_RUNS && !runs.contains(run) {
                runs.push(*run);
            }
        }
    }

    /// Gives blame for all crashes whose time to be reported is over, and returns whose standing has changed.
    pub fn settle(&mut self, now: Duration) -> Vec<Notice> {
        self.records
            .retain(|r| now.saturating_sub(r.at) < BLAME_TIME || r.held(now));
        let mut changed = Vec::new();
        for i in 0..self.crashes.len() {
            if now.saturating_sub(self.crashes[i].at) >= SETTLE_TIME {
                self.judge(i, now, &mut changed);
            }
        }
        changed
    }

    fn judge(&mut self, i: usize, now: Duration, changed: &mut Vec<Notice>) {
        let ended = &self.crashes[i];
        let new: Vec<Fingerprint> = ended.runs[ended.judged..].to_vec();
        if new.is_empty() {
            return;
        }
        let was_blamed = |run: &Fingerprint| self.find(run).is_ok();
        let blamed = ended.runs.iter().filter(|r| was_blamed(r)).count();
        let runs = ended.runs.len();
        let shares: Vec<u32> = new
            .iter()
            .map(|run| {
                blame(&blame::Options {
                    runs,
                    blamed,
                    was_blamed: was_blamed(run),
                    coincides: self.coincides(ended, run),
                })
            })
            .collect();
        self.crashes[i].judged = runs;
        for (run, share) in new.into_iter().zip(shares) {
            if share > 0 {
                changed.extend(self.add(run, share, now));
            }
        }
    }

    /// Whether another target ended about then on which the request was not.
    fn coincides(&self, ended: &Ended, run: &Fingerprint) -> bool {
        self.crashes.iter().any(|other| {
            other.life != ended.life
                && other.at.abs_diff(ended.at) <= COINCIDENCE
                && !other.runs.contains(run)
        })
    }

    fn add(&mut self, run: Fingerprint, share: u32, now: Duration) -> Option<Notice> {
        let i = self.record(run, now);
        let record = &mut self.records[i];
        // It ran when it was quarantined; that says nothing new.
        if record.held(now) {
            return None;
        }
        record.blame = record.blame.saturating_add(share);
        record.at = now;
        if record.blame >= QUARANTINE_BLAME {
            let hold = HOLD_TIMES[record.holds.min(HOLD_TIMES.len() - 1)];
            record.held_until = Some(now + hold);
            record.holds += 1;
        }
        record.notice(now)
    }

    /// Notes that a request has survived a run. Whether anything was known against it.
    pub fn survived(&mut self, run: Fingerprint) -> bool {
        self.trials.survived(run);
        let found = self.find(&run);
        found.map(|i| self.records.remove(i)).is_ok()
    }

    /// Takes in what another process knows, and returns what was not known here.
    pub fn merge(&mut self, notice: &Notice, now: Duration) -> Option<Notice> {
        let least = match notice.standing {
            Standing::Suspect => SUSPECT_BLAME,
            Standing::Quarantined(_) => QUARANTINE_BLAME,
            Standing::Cleared => return None,
        };
        let i = self.record(notice.fingerprint, now);
        let record = &mut self.records[i];
        let before = record.notice(now);
        record.blame = record.blame.max(least);
        if let Standing::Quarantined(left) = notice.standing {
            let until = now + left;
            record.held_until = Some(record.held_until.map_or(until, |t| t.max(until)));
            record.holds = record.holds.max(1);
        }
        let after = record.notice(now);
        let kind = |n: &Option<Notice>| n.map(|n| std::mem::discriminant(&n.standing));
        after.filter(|_| kind(&before) != kind(&after))
    }

    /// Begins a run of a suspect at a target for the entry of a link, unless another is in the way.
    pub fn begin_trial(
        &mut self,
        run: Fingerprint,
        target: &str,
        owner: u64,
        now: Duration,
    ) -> bool {
        let held = self.find(&run).is_ok_and(|i| self.records[i].held(now));
        !held && self.trials.begin(run, target, owner, now)
    }

    /// Notes that such a run has ended.
    pub fn end_trial(&mut self, run: Fingerprint, now: Duration) {
        self.trials.end(run, now);
    }

    /// Notes that the entry of a link has gone.
    pub fn owner_gone(&mut self, owner: u64, now: Duration) {
        self.trials.owner_gone(owner, now);
    }

    /// The standing of all requests that have one.
    pub fn notices(&self, now: Duration) -> Vec<Notice> {
        self.records.iter().filter_map(|r| r.notice(now)).collect()
    }

    /// All requests that were blamed.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    fn find(&self, run: &Fingerprint) -> Result<usize, usize> {
        self.records.binary_search_by_key(run, |r| r.fingerprint)
    }

    /// Finds the record of a request, or makes one.
    fn record(&mut self, run: Fingerprint, now: Duration) -> usize {
        if let Ok(i) = self.find(&run) {
            return i;
        }
        if self.records.len() >= MAX_RECORDS {
            self.evict(now);
        }
        let i = self.find(&run).unwrap_or_else(|i| i);
        self.records.insert(
            i,
            Record {
                fingerprint: run,
                blame: 0,
                at: now,
                held_until: None,
                holds: 0,
            },
        );
        i
    }

    fn evict(&mut self, now: Duration) {
        let weight = |r: &Record| (r.held(now), r.blame, r.at);
        let least = (0..self.records.len()).min_by_key(|i| weight(&self.records[*i]));
        least.map(|i| self.records.remove(i));
    }
}

impl Record {
    fn held(&self, now: Duration) -> bool {
        self.held_until.is_some_and(|t| now < t)
    }

    fn notice(&self, now: Duration) -> Option<Notice> {
        let left = self.held_until.map(|t| t.saturating_sub(now));
        let standing = match left {
            Some(left) if !left.is_zero() => Standing::Quarantined(left),
            _ if self.blame >= SUSPECT_BLAME => Standing::Suspect,
            _ => return None,
        };
        Some(Notice {
            fingerprint: self.fingerprint,
            standing,
        })
    }
}

fn as_text<S>(fingerprint: &Fingerprint, s: S) -> Result<S::Ok, S::Error>
where
    S: serde::Serializer,
{
    s.collect_str(fingerprint)
}
