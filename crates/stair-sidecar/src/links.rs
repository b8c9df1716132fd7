//! Serves the connections of entries.
//!
//! Connections are not encrypted: VMs have neither disk nor keys, and a message can at most make the
//! engine load or unload models. docs/design/on-platform.md compares the alternatives.
//!
//! Messages about quotas, limits, quarantine and availability are handled here, so that they do not wait for the engine.

use std::{
    sync::Arc,
    time::Duration, //
};

use stair_fleet::msg::{
    Extension,
    Features,
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
    availability::Availabilities,
    limits::Limits,
    origins::Origins,
    process::dump::Dump,
    quarantine::Quarantine,
    quotas::Quotas,
    usage::LinkKey, //
};

/// Messages that may wait for one entry. Each report replaces the earlier ones, so an entry that reads
/// slowly loses nothing by a dropped report.
const QUEUE_CAPACITY: usize = 32;

/// Time without a message after which a link is closed; entries send one every second.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time to write a message. Without it, the messages to a frozen entry would be kept forever.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);

/// An event for the main loop.
pub enum Event {
    /// A link was opened; messages for its entry go into the channel.
    Opened(LinkKey, mpsc::Sender<ToEntry>),
    /// An entry has sent a message.
    Message(LinkKey, ToAgent),
    /// The link has ended.
    Closed(LinkKey),
    /// An operator requests the agent's state.
    Dump(oneshot::Sender<Dump>),
}

/// The ledgers that links use without the main loop.
#[derive(Clone)]
pub struct Ledgers {
    /// Quotas of workspaces.
    pub quotas: Arc<Quotas>,
    /// Requests that crash their targets.
    pub quarantine: Arc<Quarantine>,
    /// Limits that targets name.
    pub limits: Arc<Limits>,
    /// What targets state about the requests that they take.
    pub availability: Arc<Availabilities>,
    /// Origins of streams.
    pub origins: Arc<Origins>,
    /// Whether the agent estimates its engine's speed from the times of events.
    pub engine_estimates: bool,
}

impl Ledgers {
    /// What this agent can do, by its settings.
    fn features(&self) -> Features {
        Features {
            event_times: self.engine_estimates,
            ..self.quotas.features()
        }
    }
}

/// Accepts links until the receiver of events is closed.
pub async fn accept(listener: TcpListener, events: mpsc::Sender<Event>, ledgers: Ledgers) {
    let mut next = 0;
    while !events.is_closed() {
        match listener.accept().await {
            Ok((stream, _)) => {
                next += 1;
                let key = LinkKey(next);
                tokio::spawn(serve(stream, key, events.clone(), ledgers.clone()));
            }
            // For instance when no file descriptor is free: an immediate retry would spin.
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn serve(stream: TcpStream, key: LinkKey, events: mpsc::Sender<Event>, ledgers: Ledgers) {
    // On failure messages still arrive, but each waits for the acknowledgement of the previous one.
    let _ = stream.set_nodelay(true);
    let (r, w) = stream.into_split();
    let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
    if events.send(Event::Opened(key, tx.clone())).await.is_err() {
        return;
    }
    ledgers.quotas.opened(key);
    ledgers.quarantine.opened(key, tx.clone());
    ledgers.limits.opened(key, tx.clone());
    ledgers.availability.opened(key, tx.clone());
    tokio::select! {
        () = read(r, key, &events, &ledgers, &tx) => {}
        () = write(w, rx, ledgers.features()) => {}
    }
    ledgers.quotas.closed(key);
    ledgers.quarantine.closed(key);
    ledgers.limits.closed(key);
    ledgers.availability.closed(key);
    ledgers.origins.closed(key);
    // Fails only when the main loop has ended, and the state of this link with it.
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
            ToAgent::QuotaRequest { seq, request } => {
                let reply = ledgers.quotas.request(&request);
                // An entry that does not read sends its request to another agent.
                let _ = tx.try_send(ToEntry::QuotaReply { seq, reply });
                continue;
            }
            ToAgent::OrderedQuota { seq, request } => {
                let reply = ledgers.quotas.request_ordered(key, &request);
                let _ = tx.try_send(ToEntry::OrderedQuotaReply { seq, reply });
                continue;
            }
            ToAgent::PassedOver(passed_over) => {
                ledgers.quotas.passed_over(key, passed_over);
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
            ToAgent::Limit(msg) => {
                ledgers.limits.receive(key, msg);
                continue;
            }
            ToAgent::Availability(shared) => {
                ledgers.availability.receive(key, &shared);
                continue;
            }
            ToAgent::Origin(msg) => {
                ledgers.origins.receive(key, msg, tx);
                continue;
            }
            msg => msg,
        };
        if events.send(Event::Message(key, msg)).await.is_err() {
            return;
        }
    }
}

async fn write(mut w: OwnedWriteHalf, mut rx: mpsc::Receiver<ToEntry>, features: Features) {
    let mut is_first = true;
    while let Some(msg) = rx.recv().await {
        let features = match std::mem::take(&mut is_first) {
            true => features,
            false => Features::default(),
        };
        let estimate = match &msg {
            ToEntry::Load(load) => load.estimate.clone(),
            _ => None,
        };
        let ext = Extension { features, estimate };
        let written = async {
            match ext == Extension::default() {
                true => frame::write_message(&mut w, &msg).await,
                false => frame::write_extended(&mut w, &msg, &ext).await,
            }
        };
        let written = timeout(WRITE_TIMEOUT, written).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}
