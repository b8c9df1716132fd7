//! The quotas that one process counts.

use std::time::Duration;

use serde::Serialize;

use super::{
    Bucket,
    Coverage,
    Order,
    OrderedReply,
    OrderedRequest,
    Reply,
    Request,
    starting_credit, //
};
use crate::workspace::Quota;

/// Time for which the fraction of the entries that use this process is kept.
const FRACTION_TTL: Duration = Duration::from_millis(100);

/// Time whose rate a stand-in may save beyond its starting credit. The bound allows an excess of 0.8 s.
const STAND_IN_CREDIT_S: f64 = 0.4;

/// Entries change to another agent with their next requests, most of them within this time of the first one.
const BEGIN: Duration = Duration::from_millis(1250);

/// After this time without a request, entries have used another agent or none.
const UNUSED: Duration = Duration::from_secs(8);

/// The time within which the platform bounds what runs.
const BOUND_WINDOW: Duration = Duration::from_secs(8);

/// A workspace exceeds its quota, or has recovered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Crossing {
    /// A request was refused.
    Over,
    /// Half of the burst has accumulated again.
    Under,
}

/// The buckets of the workspaces that one process counts.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Ledger {
    /// Units that all processes together may admit beyond the quotas; 0 for none.
    slack: f64,
    /// Sorted by workspace.
    accounts: Vec<Account>,
    /// The entries that use this process.
    coverage: Coverage,
}

/// The account of one workspace.
#[derive(Debug, Clone, Serialize)]
pub struct Account {
    /// The workspace.
    pub workspace: Box<str>,
    /// The version of the catalogue that the quota is from.
    pub version: u64,
    /// The quota in force.
    pub quota: Quota,
    /// The fraction of the entries that use this process for the workspace.
    pub fraction: f64,
    /// When the process began to count for entries that used another one before.
    begun_at: Duration,
    /// The time of the last request.
    #[serde(skip)]
    used_at: Duration,
    /// When the fraction is computed again.
    #[serde(skip)]
    fraction_until: Duration,
    /// The remaining units.
    pub bucket: Bucket,
    /// Whether a request was refused and the bucket has not recovered since.
    pub over: bool,
    /// When the process began to count the quota.
    pub since: Duration,
    /// Units that were charged and not refunded, so that refunds of another process's charges add none.
    #[serde(skip)]
    refundable: f64,
    /// Decides while the quota is short; missing until an entry requests it.
    pub order: Option<Box<Order>>,
}

impl Ledger {
    /// Creates a ledger whose accounts begin with half of `slack`, or with the burst if that is less.
    pub fn new(slack: f64) -> Self {
        Self {
            slack,
            accounts: Vec::new(),
            coverage: Coverage::default(),
        }
    }

    /// The entries that use this process.
    pub fn coverage(&mut self) -> &mut Coverage {
        &mut self.coverage
    }

    /// Units that all processes together may admit beyond the quotas.
    pub fn slack(&self) -> f64 {
        self.slack
    }

    /// Changes the slack, for accounts that begin later.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Brings the estimates of demand that are shown up to date.
    pub fn estimate(&mut self, now: Duration) {
        let orders = self.accounts.iter_mut().filter_map(|a| a.order.as_mut());
        orders.for_each(|order| order.estimate(now));
    }

    /// Handles a request of an entry. Also returns whether the workspace has exceeded its quota or
    /// recovered with it.
    pub fn handle(&mut self, req: &Request, now: Duration) -> (Reply, Option<Crossing>) {
        let i = self.account(req, now);
        let account = &mut self.accounts[i];
        let reply = match req.admitted {
            true => account.bucket.charge(req.cost, now),
            false => account.bucket.spend(req.cost, req.max_wait, now),
        };
        account.note(req, reply.granted);
        if let Some(order) = &mut account.order {
            order.charge(req.cost, now);
        }
        (reply, account.crossing(reply.granted))
    }

    /// Handles a request of an entry by the order of the workspace.
    pub fn handle_ordered(
        &mut self,
        req: &OrderedRequest,
        now: Duration,
    ) -> (OrderedReply, Option<Crossing>) {
        let i = self.account(&req.request, now);
        let account = &mut self.accounts[i];
        if now >= account.used_at + UNUSED {
            account.begun_at = now;
        }
        account.used_at = now;
        if now >= account.fraction_until {
            account.fraction_until = now + FRACTION_TTL;
            let fraction = self.coverage.fraction(&req.passed_over, now);
            // The slack covers this much of the rate for that time.
            let time = match now < account.begun_at + BEGIN {
                true => BEGIN,
                false => BOUND_WINDOW,
            };
            let least = self.slack / 2.0 / (account.quota.per_s * time.as_secs_f64());
            account.fraction = fraction.max(least).min(1.0);
            account.set(now);
        }
        let bucket = &mut account.bucket;
        let order = account
            .order
            .get_or_insert_with(|| Box::new(Order::new(bucket, now)));
        let reply = order.decide(bucket, req, now);
        account.note(&req.request, reply.reply.granted);
        (reply, account.crossing(reply.reply.granted))
    }

    /// Refunds the cost of a request that was not run.
    pub fn refund(&mut self, workspace: &str, cost: f64, now: Duration) {
        if let Ok(i) = self.find(workspace) {
            let account = &mut self.accounts[i];
            let cost = account.bucket.quota().bounded(cost).min(account.refundable);
            account.refundable -= cost;
            account.bucket.refund(cost, now);
            if let Some(order) = &mut account.order {
                order.refund(cost, now);
            }
        }
    }

    /// The accounts, sorted by workspace.
    pub fn accounts(&self) -> &[Account] {
        &self.accounts
    }

    fn find(&self, workspace: &str) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|a| (*a.workspace).cmp(workspace))
    }

    /// Index of the account of a workspace, under the quota in force.
    fn account(&mut self, req: &Request, now: Duration) -> usize {
        let credit = starting_credit(req.quota, self.slack);
        let i = self.find(&req.workspace).unwrap_or_else(|i| {
            let account = Account {
                workspace: req.workspace.clone(),
                version: req.version,
                quota: req.quota,
                fraction: 1.0,
                begun_at: now,
                used_at: now,
                fraction_until: now,
                bucket: Bucket::with_credit(req.quota, credit, now),
                over: false,
                since: now,
                refundable: 0.0,
                order: None,
            };
            self.accounts.insert(i, account);
            i
        });
        let account = &mut self.accounts[i];
        if req.version >= account.version {
            account.version = req.version;
            if account.quota != req.quota {
                account.quota = req.quota;
                account.set(now);
            }
        }
        if req.stand_in {
            let more = match self.slack > 0.0 {
                true => req.quota.per_s * STAND_IN_CREDIT_S,
                false => 0.0,
            };
            account.bucket.limit_credit(credit + more, now);
        }
        i
    }
}

impl Account {
    /// Applies the quota and the fraction.
    fn set(&mut self, now: Duration) {
        let quota = self.quota.for_fraction(self.fraction);
        self.bucket.set(quota, now);
        if let Some(order) = &mut self.order {
            order.set(quota, now);
        }
    }

    fn note(&mut self, req: &Request, granted: bool) {
        if granted {
            self.refundable += self.bucket.quota().bounded(req.cost);
        }
    }

    fn crossing(&mut self, granted: bool) -> Option<Crossing> {
        let recovered = match &self.order {
            Some(order) => !order.is_short(),
            None => self.bucket.level() >= self.bucket.quota().burst / 2.0,
        };
        match (granted, self.over) {
            (false, false) => {
                self.over = true;
                Some(Crossing::Over)
            }
            (true, true) if recovered => {
                self.over = false;
                Some(Crossing::Under)
            }
            _ => None,
        }
    }
}
