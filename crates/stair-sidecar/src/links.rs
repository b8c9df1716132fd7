//! The connections of entries.
//!
//! They are in the clear: VMs have neither disk nor keys, and what comes over them can at most make
//! the engine load or drop models. docs/design/on-platform.md weighs the ways.
//!
//! Allowances and quarantine are answered here: a question about them must not wait for the engine.

use std::{
    sync::Arc,
    time::Duration, //
};

use stair_fleet::msg::{
    ToAgent,
    ToEntry, //
};
use stair_wire::frame;
use tokio::{
    net::{
        TcpListener, TcpStream,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
    },
    sync::{
        mpsc,
        oneshot, //
    },
    time::timeout,
};

use crate::{
    process::dump::Dump,
    quarantine::Quarantine,
    quotas::Quotas,
    usage::LinkKey, //
};

/// Messages waiting for one entry. A report replaces the ones before it, so an entry that reads
/// slowly loses nothing by a dropped one.
const QUEUE_CAPACITY: usize = 32;

/// Time without a message after which a link is taken for dead; entries speak every second.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time to write a message. An entry that stands still would otherwise hold its messages for ever.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);

/// What comes from the links.
pub enum Event {
    /// A link was opened; messages for its entry go into the channel.
    Opened(LinkKey, mpsc::Sender<ToEntry>),
    /// A message came.
    Message(LinkKey, ToAgent),
    /// The link is gone.
    Closed(LinkKey),
    /// The operator asks for the state.
    Dump(oneshot::Sender<Dump>),
}

/// What is answered without the main loop.
#[derive(Clone)]
pub struct Ledgers {
    /// Allowances of workspaces.
    pub quotas: Arc<Quotas>,
    /// Requests that end their targets.
    pub quarantine: Arc<Quarantine>,
}

/// Accepts links until the receiver of events is gone.
pub async fn accept(listener: TcpListener, events: mpsc::Sender<Event>, ledgers: Ledgers) {
    let mut next = 0;
    while !events.is_closed() {
        match listener.accept().await {
            Ok((stream, _)) => {
                next += 1;
                let key = LinkKey(next);
                tokio::spawn(serve(stream, key, events.clone(), ledgers.clone()));
            }
            // Out of descriptors, for instance: accepting again at once would spin.
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn serve(stream: TcpStream, key: LinkKey, events: mpsc::Sender<Event>, ledgers: Ledgers) {
    // Without it a message waits for the acknowledgement of the one before; it still arrives.
    let _ = stream.set_nodelay(true);
    let (r, w) = stream.into_split();
    let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
    if events.send(Event::Opened(key, tx.clone())).await.is_err() {
        return;
    }
    ledgers.quarantine.opened(key, tx.clone());
    tokio::select! {
        () = read(r, key, &events, &ledgers, &tx) => {}
        () = write(w, rx) => {}
    }
    ledgers.quarantine.closed(key);
    // The main loop is gone when this fails, and with it all that the link was for.
    let _ = events.send(Event::Closed(key)).await;
}

async fn read(
    mut r: OwnedReadHalf,
    key: LinkKey,
    events: &mpsc::Sender<Event>,
    ledgers: &Ledgers,
    tx: &mpsc::Sender<ToEntry>,
) {
    while let Ok(Ok(msg)) = timeout(SILENCE_TIMEOUT, frame::read_message(&mut r)).await {
        let msg = match msg {
            ToAgent::QuotaRequest { seq, request: ask } => {
                let answer = ledgers.quotas.request(&ask);
                // An entry that does not read asks another agent.
                let _ = tx.try_send(ToEntry::QuotaReply { seq, reply: answer });
                continue;
            }
            ToAgent::QuotaRefund { workspace, cost } => {
                ledgers.quotas.refund(&workspace, cost);
                continue;
            }
            ToAgent::Quarantine(msg) => {
                ledgers.quarantine.receive(key, msg, tx);
                continue;
            }
            msg => msg,
        };
        if events.send(Event::Message(key, msg)).await.is_err() {
            return;
        }
    }
}

async fn write(mut w: OwnedWriteHalf, mut rx: mpsc::Receiver<ToEntry>) {
    while let Some(msg) = rx.recv().await {
        let written = timeout(WRITE_TIMEOUT, frame::write_message(&mut w, &msg)).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}
