//! The quotas that one process counts.

use std::time::Duration;

use serde::Serialize;

use super::{
    Bucket,
    Order,
    OrderedReply,
    OrderedRequest,
    Reply,
    Request,
    starting_credit, //
};

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
}

/// The account of one workspace.
#[derive(Debug, Clone, Serialize)]
pub struct Account {
    /// The workspace.
    pub workspace: Box<str>,
    /// The version of the catalogue that the quota is from.
    pub version: u64,
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
        }
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
        let account = self.account(req, now);
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
        let account = self.account(&req.request, now);
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

    /// The account of a workspace under the quota in force.
    fn account(&mut self, req: &Request, now: Duration) -> &mut Account {
        let credit = starting_credit(req.quota, self.slack);
        let i = self.find(&req.workspace).unwrap_or_else(|i| {
            let account = Account {
                workspace: req.workspace.clone(),
                version: req.version,
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
            account.bucket.set(req.quota, now);
            if let Some(order) = &mut account.order {
                order.set(req.quota, now);
            }
        }
        if req.stand_in {
            account.bucket.limit_credit(credit, now);
        }
        account
    }
}

impl Account {
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
