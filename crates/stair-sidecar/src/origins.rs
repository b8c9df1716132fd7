//! Keeps origins of streams for all entries, and the versions that they have seen.
//!
//! [`origin`](stair_fleet::origin) defines the decisions.

use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use serde::Serialize;
use stair_fleet::{
    msg::ToEntry,
    origin::{
        Answer,
        FromKeeper,
        History,
        Records,
        Report,
        ToKeeper, //
    },
};
use tokio::{
    sync::mpsc,
    time::Instant, //
};

use crate::usage::LinkKey;

/// Time without a reporting entry after which it is not known any more since when the versions are known. A
/// target that comes and leaves is listed for longer.
const MAX_GAP: Duration = Duration::from_secs(3);

/// The records of this agent.
pub struct Origins {
    started: Instant,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    records: Records,
    history: History,
    /// Links of entries that have reported their versions.
    reporting: Vec<LinkKey>,
    /// When the last of them ended.
    silent_since: Option<Duration>,
}

/// The records as operators see them.
#[derive(Debug, Clone, Serialize)]
pub struct Dump {
    /// Service, version and number of records.
    records: Vec<(Box<str>, Box<str>, usize)>,
    /// The versions that entries have seen.
    versions: Report,
}

impl Default for Origins {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            inner: Mutex::default(),
        }
    }
}

impl Origins {
    /// Removes the link of an entry.
    pub fn closed(&self, key: LinkKey) {
        let mut inner = self.lock();
        inner.reporting.retain(|k| *k != key);
        if inner.reporting.is_empty() {
            inner.silent_since.get_or_insert(self.started.elapsed());
        }
    }

    /// Handles a message of an entry.
    pub fn receive(&self, key: LinkKey, msg: ToKeeper, tx: &mpsc::Sender<ToEntry>) {
        let now = self.started.elapsed();
        let mut inner = self.lock();
        match msg {
            ToKeeper::Record(record) => inner.records.put(&record, now),
            ToKeeper::Versions(report) => inner.report(key, &report, now),
            ToKeeper::Ask {
                seq,
                stream,
                service,
            } => {
                let known = stream.map(|s| inner.records.get(s, now));
                let reply = FromKeeper::Reply {
                    seq,
                    answer: known.unwrap_or(Answer::Unknown),
                    versions: inner.history.report(Some(&service), now),
                };
                // An entry that does not read asks other agents too.
                let _ = tx.try_send(ToEntry::Origin(reply));
            }
        }
    }

    /// The records as operators see them.
    pub fn dump(&self) -> Dump {
        let inner = self.lock();
        let counts = inner.records.counts().into_iter();
        Dump {
            records: counts
                .map(|(o, n)| (o.service.clone(), o.version.clone(), n))
                .collect(),
            versions: inner.history.report(None, self.started.elapsed()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn report(&mut self, key: LinkKey, report: &Report, now: Duration) {
        let silent_for = self.silent_since.take().map(|t| now.saturating_sub(t));
        if silent_for.is_some_and(|t| t > MAX_GAP) {
            self.history.interrupt();
        }
        if !self.reporting.contains(&key) {
            self.reporting.push(key);
        }
        self.history.merge(report, now);
    }
}
