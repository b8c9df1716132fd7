//! Counts the quotas of workspaces for all entries.
//!
//! Entries choose the agent that counts a workspace; see [`quota`](stair_fleet::quota) for the
//! limits that hold while they disagree.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use stair_fleet::{
    msg::Features,
    quota::{
        Crossing,
        Ledger,
        OrderedReply,
        OrderedRequest,
        PassedOver,
        Reply,
        Request,
        order::Counts, //
    },
};
use stair_telemetry::{
    event::Line,
    page::Page, //
};
use tokio::time::Instant;

use crate::usage::LinkKey;

/// Workspaces whose gauges are shown. The dump shows all.
const MAX_SHOWN: usize = 64;

/// The quotas that this agent counts.
pub struct Quotas {
    started: Instant,
    page: Arc<Page>,
    ledger: Mutex<Ledger>,
}

impl Quotas {
    /// Creates an empty ledger for quotas with a `slack`, 0 for none; outcomes are counted on `page`.
    pub fn new(page: Arc<Page>, slack: f64) -> Self {
        Self {
            started: Instant::now(),
            page,
            ledger: Mutex::new(Ledger::new(slack)),
        }
    }

    /// What this agent can do. Without a slack, entries send requests as to agents without an order.
    pub fn features(&self) -> Features {
        Features {
            quota_order: self.lock().slack() > 0.0,
            ..Features::CURRENT
        }
    }

    /// Changes the slack. Links keep the features that they began with.
    pub fn set_slack(&self, slack: f64) {
        self.lock().set_slack(slack);
    }

    /// Charges a request of a workspace to its quota, and returns whether it was granted. Logs when the
    /// workspace exceeds its quota or is within it again.
    pub fn request(&self, request: &Request) -> Reply {
        let now = self.now();
        let (reply, crossing) = self.lock().handle(request, now);
        self.report(request, &reply, crossing);
        reply
    }

    /// As [`Quotas::request`], by the order of the workspace.
    pub fn request_ordered(&self, link: LinkKey, request: &OrderedRequest) -> OrderedReply {
        let now = self.now();
        let (reply, crossing) = {
            let mut ledger = self.lock();
            let coverage = ledger.coverage();
            coverage.observe(link.0, request.entries, &request.passed_over, now);
            ledger.handle_ordered(request, now)
        };
        self.report(&request.request, &reply.reply, crossing);
        reply
    }

    /// Counts an entry, which uses this agent unless it states otherwise.
    pub fn opened(&self, link: LinkKey) {
        self.passed_over(link, PassedOver::default());
    }

    /// Records which agents an entry passes over.
    pub fn passed_over(&self, link: LinkKey, passed_over: PassedOver) {
        self.lock().coverage().state(link.0, passed_over);
    }

    /// Forgets an entry whose link has ended.
    pub fn closed(&self, link: LinkKey) {
        self.lock().coverage().closed(link.0);
    }

    fn report(&self, request: &Request, reply: &Reply, crossing: Option<Crossing>) {
        if let Some(crossing) = crossing {
            let event = match crossing {
                Crossing::Over => "allowance.over",
                Crossing::Under => "allowance.under",
            };
            Line::failure(event)
                .text("workspace", &request.workspace)
                .num("catalogue", request.version)
                .num("per_s", request.quota.per_s as i64)
                .num("burst", request.quota.burst as i64)
                .ms("wait_ms", reply.wait)
                .flag("stand_in", request.stand_in)
                .write();
        }
        let outcome = if reply.granted { "granted" } else { "refused" };
        let labels = [("outcome", outcome)];
        self.page.count("allowances_total", &labels, 1);
    }

    /// Returns the text of the metrics page, with the present state of the quotas.
    pub fn page(&self) -> String {
        self.gauges();
        self.page.text()
    }

    /// Sets the gauges of the workspaces with an order, by rank.
    fn gauges(&self) {
        let now = self.now();
        let mut ledger = self.ledger();
        ledger.estimate(now);
        let gauge = |name, labels: &[(&'static str, &str)], to: f64| {
            self.page.gauge(name, labels, to as i64);
        };
        let ordered = ledger.accounts().iter().filter(|a| a.order.is_some());
        for account in ordered.take(MAX_SHOWN) {
            let workspace = ("workspace", &*account.workspace);
            let counted = now.saturating_sub(account.since);
            gauge("quota_level", &[workspace], account.bucket.level());
            gauge(
                "quota_counted_ms",
                &[workspace],
                counted.as_secs_f64() * 1e3,
            );
            let Some(order) = &account.order else {
                continue;
            };
            gauge(
                "quota_short",
                &[workspace],
                f64::from(u8::from(order.is_short())),
            );
            gauge("quota_reserved", &[workspace], order.reserved() as f64);
            for rank in order.classes().chunk_by(|a, b| a.rank == b.rank) {
                let number = rank[0].rank.to_string();
                let labels = [workspace, ("rank", &*number)];
                gauge("quota_demand", &labels, rank.iter().map(|c| c.demand).sum());
                let of = |count: fn(&Counts) -> u64| -> u64 {
                    rank.iter().map(|c| count(&c.counts)).sum()
                };
                for (outcome, n) in [
                    ("granted", of(|c| c.admitted)),
                    ("refused", of(|c| c.refused)),
                    ("refused_again", of(|c| c.refused_again)),
                ] {
                    let labels = [workspace, ("rank", &*number), ("outcome", outcome)];
                    gauge("quota_requests_total", &labels, n as f64);
                }
            }
        }
    }

    /// Refunds the cost of a request that was not run.
    pub fn refund(&self, workspace: &str, cost: f64) {
        let now = self.now();
        self.lock().refund(workspace, cost, now);
    }

    /// Returns a copy of the ledger.
    pub fn ledger(&self) -> Ledger {
        self.lock().clone()
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
