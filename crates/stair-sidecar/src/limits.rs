//! Counts limited targets for all entries and for the agent's own calls.
//!
//! An agent counts its own engine, and plain targets that the entries assign to it; see
//! [`rate_limit`](stair_fleet::rate_limit) for the decisions.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use platform_adapter::Error;
use stair_fleet::{
    msg::ToEntry,
    rate_limit::{
        Addressed,
        Change,
        Ledger,
        Rate,
        Source,
        Stamp,
        Statement,
        ToLedger,
        ToSender, //
    },
};
use stair_telemetry::{
    event::Line,
    page::Page, //
};
use tokio::{
    sync::{
        Notify,
        mpsc, //
    },
    time::{
        Instant,
        sleep, //
    },
};

use crate::usage::LinkKey;

/// The ledger of this agent, and the links to the entries.
pub struct Limits {
    started: Instant,
    page: Arc<Page>,
    /// Notified when requests wait.
    queued: Notify,
    inner: Mutex<Inner>,
}

struct Inner {
    ledger: Ledger,
    links: Vec<(LinkKey, mpsc::Sender<ToEntry>)>,
}

/// A call of the agent itself to its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnCall {
    /// A reading.
    Read {
        /// Whether the engine carries out an order.
        busy: bool,
    },
    /// An order.
    Order,
}

impl Limits {
    /// Creates an empty ledger; changes are counted on `page`.
    pub fn new(page: Arc<Page>) -> Self {
        // Differs from earlier processes of this agent, whose stamps entries may still have.
        let epoch = rand::random();
        Self {
            started: Instant::now(),
            page,
            queued: Notify::new(),
            inner: Mutex::new(Inner {
                ledger: Ledger::new(epoch),
                links: Vec::new(),
            }),
        }
    }

    /// Replies to requests that wait, until it is dropped.
    pub async fn run(&self) {
        loop {
            let queued = self.queued.notified();
            let now = self.now();
            let next = self.lock().ledger.next_settle(now);
            match next {
                None => queued.await,
                Some(wait) => {
                    tokio::select! {
                        () = sleep(wait) => {}
                        () = queued => {}
                    }
                }
            }
            let now = self.now();
            let mut inner = self.lock();
            let replies = inner.ledger.settle(now);
            self.send(&inner, replies);
        }
    }

    /// Sends an entry all limits, and from then on the changes.
    pub fn opened(&self, key: LinkKey, tx: mpsc::Sender<ToEntry>) {
        let mut inner = self.lock();
        // The queue of a new link is empty.
        let _ = tx.try_send(ToEntry::Limit(inner.ledger.all()));
        inner.links.push((key, tx));
    }

    /// Removes the link of an entry that has ended, and its requests.
    pub fn closed(&self, key: LinkKey) {
        let mut inner = self.lock();
        inner.links.retain(|(k, _)| *k != key);
        inner.ledger.owner_disconnected(key.0);
    }

    /// Handles a message of an entry.
    pub fn receive(&self, key: LinkKey, msg: ToLedger) {
        let now = self.now();
        let mut inner = self.lock();
        let effects = inner.ledger.receive(key.0, msg, now);
        self.send(&inner, effects.replies);
        self.publish(&mut inner, &effects.changes);
    }

    /// Whether the agent may call its engine `target` now; if so, the call is counted.
    pub fn may_call(&self, target: &str, call: OwnCall) -> Option<Stamp> {
        let now = self.now();
        let mut inner = self.lock();
        let limiter = inner.ledger.limiter(target, now);
        let (allowed, kind) = match call {
            OwnCall::Read { busy } => (limiter.may_call(busy, now), "read"),
            OwnCall::Order => (limiter.may_order(now), "order"),
        };
        let stamp = limiter.stamp();
        if limiter.rate().is_some() {
            let outcome = if allowed { "made" } else { "withheld" };
            let labels = [("call", kind), ("outcome", outcome)];
            self.page.count("limited_calls_total", &labels, 1);
        }
        allowed.then_some(stamp)
    }

    /// Whether an order to the agent's engine `target` would be permitted now.
    pub fn has_permit(&self, target: &str) -> bool {
        let now = self.now();
        self.lock().ledger.limiter(target, now).has_permit(now)
    }

    /// Applies what the engine states in its response to a call of the agent.
    pub fn state(&self, target: &str, stated: &Result<Option<Rate>, Error>, stamp: Stamp) {
        let rate = match stated {
            Ok(rate) => *rate,
            Err(e) => {
                Line::failure("limit.malformed")
                    .text("target", target)
                    .show("error", e)
                    .write();
                self.page
                    .count("limits_total", &[("change", "malformed")], 1);
                return;
            }
        };
        let statement = Statement {
            rate,
            stamp: Some(stamp),
            source: Source::AgentCall,
        };
        let now = self.now();
        let mut inner = self.lock();
        let change = inner.ledger.state(target, &statement, now);
        self.publish(&mut inner, change.as_slice());
    }

    /// Returns a copy of the ledger.
    pub fn ledger(&self) -> Ledger {
        self.lock().ledger.clone()
    }

    fn publish(&self, inner: &mut Inner, changes: &[Change]) {
        for change in changes {
            let text = change.rate.map(|r| r.to_string());
            Line::failure("limit")
                .text("target", &change.target)
                .text("change", change.kind.as_str())
                .text("per_s", text.as_deref().unwrap_or("none"))
                .text("source", change.source.as_str())
                .ms("age_ms", change.age)
                .write();
            let labels = [("change", change.kind.as_str())];
            self.page.count("limits_total", &labels, 1);
            let notice = inner.ledger.notice(change);
            for (_, tx) in &inner.links {
                self.try_send(tx, notice.clone());
            }
        }
        let limited = inner.ledger.limits().count();
        let limited = i64::try_from(limited).unwrap_or(i64::MAX);
        self.page.gauge("targets_limited", &[], limited);
        if !changes.is_empty() {
            self.queued.notify_one();
        }
    }

    fn send(&self, inner: &Inner, replies: Vec<Addressed>) {
        for reply in replies {
            match reply.msg {
                ToSender::Queued { .. } => self.queued.notify_one(),
                ToSender::Reply { reply, .. } => {
                    let outcome = if reply.granted.is_some() {
                        "granted"
                    } else {
                        "refused"
                    };
                    self.page.count("permits_total", &[("outcome", outcome)], 1);
                }
                ToSender::All { .. } | ToSender::Changed { .. } => {}
            }
            let link = inner.links.iter().find(|(k, _)| k.0 == reply.owner);
            if let Some((_, tx)) = link {
                self.try_send(tx, reply.msg);
            }
        }
    }

    fn try_send(&self, tx: &mpsc::Sender<ToEntry>, msg: ToSender) {
        // An entry that does not read its messages gets no permit, and all limits when its next link
        // begins.
        if tx.try_send(ToEntry::Limit(msg)).is_err() {
            self.page.count("untold_total", &[], 1);
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
