//! Counts the allowances of workspaces for all entries.
//!
//! Which agent counts a workspace is the entries' choice; see [`allowance`](stair_fleet::allowance) for what
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

use stair_fleet::allowance::{
    Answer,
    Ask,
    Crossing,
    Ledger, //
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
    pub fn request(&self, ask: &Ask) -> Answer {
        let now = self.now();
        let (reply, crossing) = self.lock().ask(ask, now);
        if let Some(crossing) = crossing {
            let event = match crossing {
                Crossing::Over => "allowance.over",
                Crossing::Under => "allowance.under",
            };
            Line::failure(event)
                .text("workspace", &ask.workspace)
                .num("catalogue", ask.version)
                .num("per_s", ask.allowance.per_s as i64)
                .num("burst", ask.allowance.burst as i64)
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
        self.lock().give_back(workspace, cost, now);
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
