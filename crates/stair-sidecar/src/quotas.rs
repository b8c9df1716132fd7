//! Counts the allowances of workspaces for all entries.
//!
//! Which agent counts a workspace is the entries' choice; see [`quota`](stair_fleet::quota) for what
//! holds when they do not agree.

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
    Ledger, //
    Reply,
    Request,
};
use stair_telemetry::{
    event::Line,
    page::Page, //
};
use tokio::time::Instant;

/// The allowances that this agent counts.
pub struct Quotas {
    started: Instant,
    page: Arc<Page>,
    ledger: Mutex<Ledger>,
}

impl Quotas {
    /// Makes it with nothing counted yet.
    pub fn new(page: Arc<Page>) -> Self {
        Self {
            started: Instant::now(),
            page,
            ledger: Mutex::default(),
        }
    }

    /// Answers an entry.
    pub fn request(&self, ask: &Request) -> Reply {
        let now = self.now();
        let (reply, crossing) = self.lock().handle(ask, now);
        if let Some(crossing) = crossing {
            let event = match crossing {
                Crossing::Over => "allowance.over",
                Crossing::Under => "allowance.under",
            };
            Line::failure(event)
                .text("workspace", &ask.workspace)
                .num("catalogue", ask.version)
                .num("per_s", ask.quota.per_s as i64)
                .num("burst", ask.quota.burst as i64)
                .ms("wait_ms", reply.wait)
                .flag("stand_in", ask.stand_in)
                .write();
        }
        let outcome = if reply.granted { "granted" } else { "refused" };
        let labels = [("outcome", outcome)];
        self.page.count("allowances_total", &labels, 1);
        reply
    }

    /// Gives back what a request has cost that was not run.
    pub fn refund(&self, workspace: &str, cost: f64) {
        let now = self.now();
        self.lock().refund(workspace, cost, now);
    }

    /// What is left of each.
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
