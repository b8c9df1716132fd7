//! Maintains the ledger of requests, and parts of prompts, that crash the targets that run them, for
//! all entries.
//!
//! Entries report to a few agents; see [`quarantine`](stair_fleet::quarantine) for the rules of the ledger.

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
    msg::ToEntry,
    quarantine::{
        Ledger,
        Notice,
        SETTLE_DELAYS,
        ToLedger,
        ToWatchlist, //
    },
};
use stair_telemetry::{
    event::Line,
    page::Page, //
};
use tokio::{
    sync::mpsc,
    time::{
        Instant,
        sleep_until, //
    },
};

use crate::usage::LinkKey;

/// The ledger of this agent, and the links that its notices go to.
pub struct Quarantine {
    started: Instant,
    page: Arc<Page>,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    ledger: Ledger,
    links: Vec<(LinkKey, mpsc::Sender<ToEntry>)>,
}

impl Quarantine {
    /// Creates an empty ledger; new standings are counted on `page`.
    pub fn new(page: Arc<Page>) -> Self {
        Self {
            started: Instant::now(),
            page,
            inner: Mutex::default(),
        }
    }

    /// Sends an entry all notices, and from then on the new ones.
    pub fn opened(&self, key: LinkKey, tx: mpsc::Sender<ToEntry>) {
        let now = self.now();
        let mut inner = self.lock();
        let known = inner.ledger.notices(now);
        if !known.is_empty() {
            self.send(&tx, &known);
        }
        inner.links.push((key, tx));
    }

    /// Removes the link of an entry that has ended. The ledger ends the entry's trials soon after.
    pub fn closed(&self, key: LinkKey) {
        let now = self.now();
        let mut inner = self.lock();
        inner.links.retain(|(k, _)| *k != key);
        inner.ledger.owner_disconnected(key.0, now);
    }

    /// Handles a message of an entry; `tx` sends to that entry.
    pub fn receive(self: &Arc<Self>, key: LinkKey, msg: ToLedger, tx: &mpsc::Sender<ToEntry>) {
        let now = self.now();
        let mut inner = self.lock();
        let effects = inner.ledger.receive(key.0, msg, now);
        self.publish(&inner, &effects.notices);
        drop(inner);
        if let Some(reply) = effects.reply {
            // An entry that does not read runs the request without the reply.
            let _ = tx.try_send(ToEntry::Quarantine(reply));
        }
        if effects.settle {
            let own = self.clone();
            tokio::spawn(async move {
                let reported = Instant::now();
                for delay in SETTLE_DELAYS {
                    sleep_until(reported + delay).await;
                    own.settle();
                }
            });
        }
    }

    /// Returns a copy of the ledger.
    pub fn ledger(&self) -> Ledger {
        self.lock().ledger.clone()
    }

    /// Applies the crash reports whose delay has passed, and sends the resulting notices.
    fn settle(&self) {
        let now = self.now();
        let mut inner = self.lock();
        let new = inner.ledger.settle(now);
        self.publish(&inner, &new);
    }

    /// Logs and counts new notices, and sends them to all entries.
    fn publish(&self, inner: &Inner, new: &[Notice]) {
        if new.is_empty() {
            return;
        }
        for notice in new {
            Line::failure("quarantine.judged")
                .show("fingerprint", notice.fingerprint)
                .show("standing", format_args!("{:?}", notice.standing))
                .text(
                    "crashes",
                    &inner.ledger.crashes(&notice.fingerprint).join(" "),
                )
                .write();
            let standing = notice.standing.as_str();
            self.page
                .count("quarantine_total", &[("standing", standing)], 1);
        }
        for (_, tx) in &inner.links {
            self.send(tx, new);
        }
    }

    fn send(&self, tx: &mpsc::Sender<ToEntry>, list: &[Notice]) {
        let msg = ToEntry::Quarantine(ToWatchlist::Known(list.to_vec()));
        // An entry that does not read receives all notices when its next link begins.
        if tx.try_send(msg).is_err() {
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
