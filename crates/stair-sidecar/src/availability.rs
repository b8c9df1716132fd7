//! Records what the engine states about the requests that it takes.
//!
//! [`availability`](stair_fleet::availability) defines the decisions.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use platform_adapter::response::Stated;
use stair_fleet::{
    availability::{
        Registry,
        Statement, //
    },
    rate_limit::Source,
    target::Incarnation,
};
use stair_telemetry::{
    event::Line,
    page::Page, //
};
use tokio::time::Instant;

/// The states of the incarnations that this agent knows.
pub struct Availabilities {
    started: Instant,
    page: Arc<Page>,
    registry: Mutex<Registry>,
}

impl Availabilities {
    /// Creates an empty registry; changes are counted on `page`.
    pub fn new(page: Arc<Page>) -> Self {
        Self {
            started: Instant::now(),
            page,
            registry: Mutex::default(),
        }
    }

    /// Applies what the engine states in its response to a call of the agent.
    pub fn observe(&self, incarnation: &Incarnation, stated: &Stated) {
        for e in stated.malformed() {
            Line::failure("availability.malformed")
                .text("target", &incarnation.id)
                .show("error", e)
                .write();
            self.count("malformed", Source::AgentCall);
        }
        self.apply(incarnation, &stated.availability(), Source::AgentCall);
    }

    fn apply(&self, incarnation: &Incarnation, statement: &Statement, source: Source) {
        let now = self.now();
        let changes = self.lock().apply(incarnation, statement, source, now);
        for change in changes {
            Line::failure("availability")
                .text("target", &incarnation.id)
                .text("change", change.as_str())
                .text("source", source.as_str())
                .ms("time_ms", change.time())
                .write();
            self.count(change.as_str(), source);
        }
    }

    fn count(&self, change: &str, source: Source) {
        let labels = [("change", change), ("source", source.as_str())];
        self.page.count("availability_total", &labels, 1);
    }

    /// Returns a copy of the registry.
    pub fn registry(&self) -> Registry {
        self.lock().clone()
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
