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

use stair_fleet::quota::{
    Crossing,
    Ledger,
    Reply,
    Request, //
};
use stair_telemetry::{
    event::Line,
    page::Page, //
};
use tokio::time::Instant;

/// The quotas that this agent counts.
pub struct Quotas {
    started: Instant,
    page: Arc<Page>,
    ledger: Mutex<Ledger>,
}

impl Quotas {
    /// Creates an empty ledger; outcomes are counted on `page`.
    pub fn new(page: Arc<Page>) -> Self {
        Self {
            started: Instant::now(),
            page,
            ledger: Mutex::default(),
        }
    }

    /// Charges a request of a workspace to its quota, and returns whether it was granted. Logs when the
    /// workspace exceeds its quota or is within it again.
    pub fn request(&self, request: &Request) -> Reply {
        let now = self.now();
        let (reply, crossing) = self.lock().handle(request, now);
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
        reply
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
