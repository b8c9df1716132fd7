//! Token buckets for the allowances of workspaces, shared by all entries.
//!
//! Load: one workspace sends several times its usual rate through many entries, each of which sees a few requests a
//! second, so that equal shares per entry would reject requests within the allowance.
//!
//! Invariant: within any time `t` a [`Bucket`] admits at most `per_s * t + burst` and one request.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::workspace::Quota;

/// The longest time over which clients that are refused are spread.
const RETURN_SPREAD_WINDOW: Duration = Duration::from_secs(2);

/// Asks for a part of an allowance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The workspace.
    pub workspace: Box<str>,
    /// The version of the catalogue that says so.
    pub version: u64,
    /// What the workspace may ask for.
    #[serde(rename = "allowance")]
    pub quota: Quota,
    /// The units that the request costs.
    pub cost: f64,
    /// The longest wait that is of use.
    #[serde(rename = "limit")]
    pub max_wait: Duration,
    /// Whether the request has been let through already, so that its cost is only counted.
    #[serde(rename = "passed")]
    pub admitted: bool,
    /// Whether the one that is asked stands in for another that does not answer.
    pub stand_in: bool,
}

/// The answer to an [`Request`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Whether the request may be sent, after the wait.
    pub granted: bool,
    /// How long to wait: before it is sent, or before the client comes back.
    pub wait: Duration,
}

/// What is left of one allowance.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Bucket {
    #[serde(rename = "allowance")]
    quota: Quota,
    /// Units that may be spent at once; below 0 after a request that cost more than there was.
    level: f64,
    at: Duration,
    /// When the next client that is refused comes back.
    #[serde(rename = "returns_at")]
    next_return_at: Duration,
}

impl Bucket {
    /// Makes one with nothing saved: what was let through before it was made is not known.
    pub fn new(quota: Quota, now: Duration) -> Self {
        Self {
            quota,
            level: 0.0,
            at: now,
            next_return_at: now,
        }
    }

    /// Puts another allowance in force.
    pub fn set(&mut self, quota: Quota, now: Duration) {
        if quota == self.quota {
            return;
        }
        self.refill(now);
        if std::mem::discriminant(&quota.unit) != std::mem::discriminant(&self.quota.unit) {
            self.level = 0.0;
        }
        self.quota = quota;
        self.level = self.level.min(quota.burst);
    }

    /// Drops what was saved.
    pub fn discard_credit(&mut self, now: Duration) {
        self.refill(now);
        self.level = self.level.min(0.0);
    }

    /// Lets a request through, now or after a wait, or tells when its client should come back.
    pub fn spend(&mut self, cost: f64, max_wait: Duration, now: Duration) -> Reply {
        self.refill(now);
        let wait = self.time_to_zero();
        if wait <= max_wait {
            self.level -= cost;
            return Reply {
                granted: true,
                wait,
            };
        }
        let earliest = now + wait;
        let back = self
            .next_return_at
            .clamp(earliest, earliest + RETURN_SPREAD_WINDOW);
        self.next_return_at = back + self.refill_time(cost);
        Reply {
            granted: false,
            wait: back - now,
        }
    }

    /// Counts a request that has been let through.
    pub fn charge(&mut self, cost: f64, now: Duration) -> Reply {
        self.refill(now);
        self.level -= cost;
        Reply {
            granted: true,
            wait: self.time_to_zero(),
        }
    }

    /// Gives back what a request has cost that was not run.
    pub fn refund(&mut self, cost: f64, now: Duration) {
        self.refill(now);
        self.level = (self.level + cost).min(self.quota.burst);
    }

    /// Units that may be spent at once.
    pub fn level(&self) -> f64 {
        self.level
    }

    fn refill(&mut self, now: Duration) {
        let admitted = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        let more = self.quota.per_s * admitted.as_secs_f64();
        self.level = (self.level + more).min(self.quota.burst);
    }

    /// The time until nothing is owed.
    fn time_to_zero(&self) -> Duration {
        self.refill_time(-self.level)
    }

    /// The time in which so many units come.
    fn refill_time(&self, units: f64) -> Duration {
        /// Longer than any client waits.
        const MAX_REFILL_TIME: Duration = Duration::from_secs(3600);
        let time = Duration::try_from_secs_f64(units.max(0.0) / self.quota.per_s);
        time.unwrap_or(MAX_REFILL_TIME).min(MAX_REFILL_TIME)
    }
}

/// A workspace that has used its allowance up, or is back under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Crossing {
    /// A request was refused.
    Over,
    /// Half of what may come at once has been saved again.
    Under,
}

/// The allowances that one process counts.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Ledger {
    /// Sorted by workspace.
    accounts: Vec<Account>,
}

/// What is left to one workspace.
#[derive(Debug, Clone, Serialize)]
pub struct Account {
    /// The workspace.
    pub workspace: Box<str>,
    /// The version of the catalogue that its allowance is from.
    pub version: u64,
    /// What is left.
    pub bucket: Bucket,
    /// Whether a request was refused and the allowance has not recovered since.
    pub over: bool,
}

impl Ledger {
    /// Answers an entry.
    pub fn handle(&mut self, req: &Request, now: Duration) -> (Reply, Option<Crossing>) {
        let account = self.account(req, now);
        if req.version >= account.version {
            account.version = req.version;
            account.bucket.set(req.quota, now);
        }
        if req.stand_in {
            account.bucket.discard_credit(now);
        }
        let reply = match req.admitted {
            true => account.bucket.charge(req.cost, now),
            false => account.bucket.spend(req.cost, req.max_wait, now),
        };
        (reply, account.crossing(reply.granted))
    }

    /// Gives back what a request has cost that was not run.
    pub fn refund(&mut self, workspace: &str, cost: f64, now: Duration) {
        if let Ok(i) = self.find(workspace) {
            self.accounts[i].bucket.refund(cost, now);
        }
    }

    /// The accounts, by workspace.
    pub fn accounts(&self) -> &[Account] {
        &self.accounts
    }

    fn find(&self, workspace: &str) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|a| (*a.workspace).cmp(workspace))
    }

    fn account(&mut self, req: &Request, now: Duration) -> &mut Account {
        let i = self.find(&req.workspace).unwrap_or_else(|i| {
            let account = Account {
                workspace: req.workspace.clone(),
                version: req.version,
                bucket: Bucket::new(req.quota, now),
                over: false,
            };
            self.accounts.insert(i, account);
            i
        });
        &mut self.accounts[i]
    }
}

impl Account {
    fn crossing(&mut self, granted: bool) -> Option<Crossing> {
        let full = self.bucket.level >= self.bucket.quota.burst / 2.0;
        match (granted, self.over) {
            (false, false) => {
                self.over = true;
                Some(Crossing::Over)
            }
            (true, true) if full => {
                self.over = false;
                Some(Crossing::Under)
            }
            _ => None,
        }
    }
}

/// One entry's part of an allowance, for when nobody who counts it answers.
pub fn share(quota: Quota, entries: u32) -> Quota {
    let share = |amount: f64| amount / f64::from(entries.max(1));
    Quota {
        per_s: share(quota.per_s),
        burst: share(quota.burst),
        unit: quota.unit,
    }
}
