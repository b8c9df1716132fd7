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

use crate::workspace::Allowance;

/// The longest time over which clients that are refused are spread.
const SPREAD_TIME: Duration = Duration::from_secs(2);

/// Asks for a part of an allowance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The workspace.
    pub workspace: Box<str>,
    /// The version of the catalogue that says so.
    pub version: u64,
    /// What the workspace may ask for.
    pub allowance: Allowance,
    /// The units that the request costs.
    pub cost: f64,
    /// The longest wait that is of use.
    pub limit: Duration,
    /// Whether the request has been let through already, so that its cost is only counted.
    pub passed: bool,
    /// Whether the one that is asked stands in for another that does not answer.
    pub stand_in: bool,
}

/// The answer to an [`Ask`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Whether the request may be sent, after the wait.
    pub granted: bool,
    /// How long to wait: before it is sent, or before the client comes back.
    pub wait: Duration,
}

/// What is left of one allowance.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Bucket {
    allowance: Allowance,
    /// Units that may be spent at once; below 0 after a request that cost more than there was.
    level: f64,
    at: Duration,
    /// When the next client that is refused comes back.
    returns_at: Duration,
}

impl Bucket {
    /// Makes one with nothing saved: what was let through before it was made is not known.
    pub fn new(allowance: Allowance, now: Duration) -> Self {
        Self {
            allowance,
            level: 0.0,
            at: now,
            returns_at: now,
        }
    }

    /// Puts another allowance in force.
    pub fn set(&mut self, allowance: Allowance, now: Duration) {
        if allowance == self.allowance {
            return;
        }
        self.refill(now);
        if std::mem::discriminant(&allowance.unit) != std::mem::discriminant(&self.allowance.unit) {
            self.level = 0.0;
        }
        self.allowance = allowance;
        self.level = self.level.min(allowance.burst);
    }

    /// Drops what was saved.
    pub fn forget_saved(&mut self, now: Duration) {
        self.refill(now);
        self.level = self.level.min(0.0);
    }

    /// Lets a request through, now or after a wait, or tells when its client should come back.
    pub fn spend(&mut self, cost: f64, limit: Duration, now: Duration) -> Answer {
        self.refill(now);
        let wait = self.debt_time();
        if wait <= limit {
            self.level -= cost;
            return Answer {
                granted: true,
                wait,
            };
        }
        let earliest = now + wait;
        let back = self.returns_at.clamp(earliest, earliest + SPREAD_TIME);
        self.returns_at = back + self.time_of(cost);
        Answer {
            granted: false,
            wait: back - now,
        }
    }

    /// Counts a request that has been let through.
    pub fn count(&mut self, cost: f64, now: Duration) -> Answer {
        self.refill(now);
        self.level -= cost;
        Answer {
            granted: true,
            wait: self.debt_time(),
        }
    }

    /// Gives back what a request has cost that was not run.
    pub fn give_back(&mut self, cost: f64, now: Duration) {
        self.refill(now);
        self.level = (self.level + cost).min(self.allowance.burst);
    }

    /// Units that may be spent at once.
    pub fn level(&self) -> f64 {
        self.level
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        let more = self.allowance.per_s * passed.as_secs_f64();
        self.level = (self.level + more).min(self.allowance.burst);
    }

    /// The time until nothing is owed.
    fn debt_time(&self) -> Duration {
        self.time_of(-self.level)
    }

    /// The time in which so many units come.
    fn time_of(&self, units: f64) -> Duration {
        /// Longer than any client waits.
        const LONGEST: Duration = Duration::from_secs(3600);
        let time = Duration::try_from_secs_f64(units.max(0.0) / self.allowance.per_s);
        time.unwrap_or(LONGEST).min(LONGEST)
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
    pub fn ask(&mut self, ask: &Ask, now: Duration) -> (Answer, Option<Crossing>) {
        let account = self.account(ask, now);
        if ask.version >= account.version {
            account.version = ask.version;
            account.bucket.set(ask.allowance, now);
        }
        if ask.stand_in {
            account.bucket.forget_saved(now);
        }
        let answer = match ask.passed {
            true => account.bucket.count(ask.cost, now),
            false => account.bucket.spend(ask.cost, ask.limit, now),
        };
        (answer, account.crossing(answer.granted))
    }

    /// Gives back what a request has cost that was not run.
    pub fn give_back(&mut self, workspace: &str, cost: f64, now: Duration) {
        if let Ok(i) = self.find(workspace) {
            self.accounts[i].bucket.give_back(cost, now);
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

    fn account(&mut self, ask: &Ask, now: Duration) -> &mut Account {
        let i = self.find(&ask.workspace).unwrap_or_else(|i| {
            let account = Account {
                workspace: ask.workspace.clone(),
                version: ask.version,
                bucket: Bucket::new(ask.allowance, now),
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
        let full = self.bucket.level >= self.bucket.allowance.burst / 2.0;
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
pub fn share(allowance: Allowance, entries: u32) -> Allowance {
    let part = |amount: f64| amount / f64::from(entries.max(1));
    Allowance {
        per_s: part(allowance.per_s),
        burst: part(allowance.burst),
        unit: allowance.unit,
    }
}
