//! Keeps a ledger of requests, and parts of prompts, that crash the targets that run them, for all
//! entries.
//!
//! Each entry has a stream to a few agents, on which it reports crashes and receives the standings of
//! requests; see [`quarantine`](stair_fleet::quarantine) for the rules of the ledger.

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
    quarantine::{
        Ledger,
        Notice,
        Record,
        SETTLE_DELAYS,
        ToLedger,
        ToWatchlist, //
    },
};
use stair_link::{
    RecvStream,
    SendStream, //
};
use stair_telemetry::{
    Metrics,
    Part,
    warn, //
};
use stair_wire::frame;
use tokio::{
    sync::mpsc,
    time::{
        Instant,
        sleep_until, //
    },
};

/// Messages that may wait for an entry to read. One that falls behind further is disconnected, and
/// receives all standings when it connects again.
const MAX_QUEUED: usize = 256;

/// The ledger of this agent, and the streams that its notices go to.
pub(crate) struct LedgerKeeper {
    started: Instant,
    metrics: Metrics,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    ledger: Ledger,
    streams: Vec<Stream>,
    next_stream: u64,
}

/// The stream of one entry.
struct Stream {
    id: u64,
    tx: mpsc::Sender<ToWatchlist>,
}

impl LedgerKeeper {
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            started: Instant::now(),
            metrics,
            inner: Mutex::default(),
        }
    }

    /// Returns the suspects and the quarantined requests.
    pub(crate) fn records(&self) -> Vec<Record> {
        self.lock().ledger.records().to_vec()
    }

    /// Serves the stream of an entry until it ends.
    pub(crate) async fn serve(
        self: &Arc<Self>,
        mut tx: SendStream,
        mut rx: RecvStream,
    ) -> Result<(), frame::Error> {
        let (id, mut notices) = self.open();
        let reading = async {
            loop {
                let msg: ToLedger = frame::read_message(&mut rx).await?;
                self.receive(id, msg);
            }
        };
        let writing = async {
            // Only the first message names the features.
            if let Some(first) = notices.recv().await {
                frame::write_extended(&mut tx, &first, &Features::CURRENT).await?;
            }
            while let Some(msg) = notices.recv().await {
                frame::write_message(&mut tx, &msg).await?;
            }
            Ok(())
        };
        let result = tokio::select! {
            result = reading => result,
            result = writing => result,
        };
        self.close(id);
        result
    }

    /// Adds a stream, whose first message is all that is known.
    fn open(&self) -> (u64, mpsc::Receiver<ToWatchlist>) {
        let (tx, rx) = mpsc::channel(MAX_QUEUED);
        let now = self.now();
        let mut inner = self.lock();
        let known = ToWatchlist::Known(inner.ledger.notices(now));
        // The channel is empty.
        let _ = tx.try_send(known);
        inner.next_stream += 1;
        let id = inner.next_stream;
        inner.streams.push(Stream { id, tx });
        (id, rx)
    }

    fn close(&self, id: u64) {
        let now = self.now();
        let mut inner = self.lock();
        inner.streams.retain(|s| s.id != id);
        inner.ledger.owner_disconnected(id, now);
    }

    fn receive(self: &Arc<Self>, id: u64, msg: ToLedger) {
        let now = self.now();
        let mut inner = self.lock();
        let effects = inner.ledger.receive(id, msg, now);
        self.publish(&mut inner, &effects.notices);
        if let Some(reply) = effects.reply {
            inner.send(id, reply);
        }
        drop(inner);
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

    /// Judges the crashes whose delay has passed.
    fn settle(&self) {
        let now = self.now();
        let mut inner = self.lock();
        let notices = inner.ledger.settle(now);
        self.publish(&mut inner, &notices);
    }

    /// Logs and counts changed standings, and sends them to all entries.
    fn publish(&self, inner: &mut Inner, notices: &[Notice]) {
        if notices.is_empty() {
            return;
        }
        for notice in notices {
            let (fingerprint, standing) = (notice.fingerprint, notice.standing);
            let crashes = inner.ledger.crashes(&fingerprint).join(" ");
            warn!(
                Part::Agent,
                "{fingerprint} is now {standing:?}, blamed for the crashes of: {crashes}"
            );
            self.metrics.quarantine(standing.as_str());
        }
        let ids: Vec<u64> = inner.streams.iter().map(|s| s.id).collect();
        for id in ids {
            inner.send(id, ToWatchlist::Known(notices.to_vec()));
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Sends a message to an entry, and disconnects one that does not read.
    fn send(&mut self, id: u64, msg: ToWatchlist) {
        let Some(i) = self.streams.iter().position(|s| s.id == id) else {
            return;
        };
        if self.streams[i].tx.try_send(msg).is_err() {
            warn!(Part::Links, "an entry does not read the ledger's notices");
            self.streams.swap_remove(i);
        }
    }
}
