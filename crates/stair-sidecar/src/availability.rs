//! Keeps what targets state about the requests that they take.
//!
//! An agent learns it from its engine's responses to its own calls, and passes on to all entries which targets
//! drain.
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
        Change,
        Registry,
        Shared,
        Statement,
        Withheld, //
    },
    msg::ToEntry,
    rate_limit::Source,
    target::Incarnation,
};
use stair_telemetry::{
    event::Line,
    page::Page, //
};
use tokio::{
    sync::mpsc,
    time::Instant, //
};

use crate::usage::LinkKey;

/// The states of the incarnations that this agent knows.
pub struct Availabilities {
    started: Instant,
    page: Arc<Page>,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    registry: Registry,
    links: Vec<(LinkKey, mpsc::Sender<ToEntry>)>,
}

impl Availabilities {
    /// Creates an empty registry; changes are counted on `page`.
    pub fn new(page: Arc<Page>) -> Self {
        Self {
            started: Instant::now(),
            page,
            inner: Mutex::default(),
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
        self.apply(incarnation, &stated.availability(), Source::AgentCall, None);
    }

    /// Handles what an entry has learnt.
    pub fn receive(&self, from: LinkKey, shared: &[Shared]) {
        for s in shared {
            self.apply(&s.incarnation, &s.statement, Source::Process, Some(from));
        }
    }

    /// Sends an entry all drains that are known, and from then on the new ones.
    pub fn opened(&self, key: LinkKey, tx: mpsc::Sender<ToEntry>) {
        let mut inner = self.lock();
        let drains: Vec<Shared> = inner
            .registry
            .drains()
            .cloned()
            .map(Shared::drain)
            .collect();
        if !drains.is_empty() {
            // The queue of a new link is empty.
            let _ = tx.try_send(ToEntry::Availability(drains));
        }
        inner.links.push((key, tx));
    }

    /// Removes the link of an entry that has ended.
    pub fn closed(&self, key: LinkKey) {
        self.lock().links.retain(|(k, _)| *k != key);
    }

    /// Why an incarnation gets no calls, if so.
    pub fn withheld(&self, incarnation: &Incarnation) -> Option<Withheld> {
        let now = self.now();
        self.lock().registry.get(incarnation).withheld(now)
    }

    fn apply(
        &self,
        incarnation: &Incarnation,
        statement: &Statement,
        source: Source,
        from: Option<LinkKey>,
    ) {
        let now = self.now();
        let changes = {
            let mut inner = self.lock();
            let changes = inner.registry.apply(incarnation, statement, source, now);
            if changes.contains(&Change::Drain) {
                self.publish(&inner, Shared::drain(incarnation.clone()), from);
            }
            changes
        };
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

    /// Sends a statement to all entries but the one that it comes from.
    fn publish(&self, inner: &Inner, shared: Shared, from: Option<LinkKey>) {
        for (_, tx) in inner.links.iter().filter(|(key, _)| Some(*key) != from) {
            // An entry that does not read learns it from its own responses or on its next link.
            if tx
                .try_send(ToEntry::Availability(vec![shared.clone()]))
                .is_err()
            {
                self.page.count("untold_total", &[], 1);
            }
        }
    }

    fn count(&self, change: &str, source: Source) {
        let labels = [("change", change), ("source", source.as_str())];
        self.page.count("availability_total", &labels, 1);
    }

    /// Returns a copy of the registry.
    pub fn registry(&self) -> Registry {
        self.lock().registry.clone()
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
