//! Serves the links that agents and other entries open: control streams, snapshots, load slots.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use ractor::ActorRef;
use stair_link::{
    Link,
    Listener,
    RecvStream,
    SendStream, //
};
use stair_telemetry::{
    Part,
    warn, //
};
use stair_wire::{
    control::{
        AgentControl,
        EntryControl,
        Hello,
        LoadSlotReply,
        LoadSlotRequest,
        Opening,
        PeerRequest, //
    },
    frame,
};
use tokio::sync::{
    oneshot,
    watch, //
};

use crate::control::{
    load_slots::LoadSlotScheduler,
    msg::{
        AgentConnected,
        Msg,
        Outbox,
        StreamId, //
    },
};

/// Time for the first message of a stream, after which the stream is reset.
const OPENING_TIMEOUT: Duration = Duration::from_secs(5);

static NEXT_STREAM: AtomicU64 = AtomicU64::new(0);

/// Accepts links until the listener is closed.
pub async fn serve(listener: Listener, actor: ActorRef<Msg>, scheduler: LoadSlotScheduler) {
    while let Some(link) = listener.accept().await {
        tokio::spawn(serve_link(link, actor.clone(), scheduler.clone()));
    }
}

async fn serve_link(link: Link, actor: ActorRef<Msg>, scheduler: LoadSlotScheduler) {
    while let Ok((tx, rx)) = link.accept().await {
        let actor = actor.clone();
        let scheduler = scheduler.clone();
        let peer = link.peer();
        tokio::spawn(async move {
            if let Err(e) = serve_stream(tx, rx, actor, scheduler).await {
                warn!(Part::Links, "A stream of {peer} ended: {e}.");
            }
        });
    }
}

async fn serve_stream(
    tx: SendStream,
    mut rx: RecvStream,
    actor: ActorRef<Msg>,
    scheduler: LoadSlotScheduler,
) -> anyhow::Result<()> {
    let opening = frame::read_message(&mut rx);
    match tokio::time::timeout(OPENING_TIMEOUT, opening).await?? {
        Opening::Agent(hello) => serve_agent(tx, rx, actor, hello).await,
        Opening::Peer(PeerRequest::Snapshot) => serve_snapshot(tx, actor).await,
        Opening::LoadSlot(req) => serve_load_slot(tx, rx, &scheduler, req).await,
    }
}

async fn serve_agent(
    tx: SendStream,
    mut rx: RecvStream,
    actor: ActorRef<Msg>,
    hello: Hello,
) -> anyhow::Result<()> {
    let stream = StreamId(NEXT_STREAM.fetch_add(1, Ordering::Relaxed));
    let (outbox, sent) = watch::channel(Outbox::default());
    let connected = AgentConnected {
        stream,
        hello,
        outbox,
    };
    actor.send_message(Msg::AgentConnected(Box::new(connected)))?;
    let reading = async {
        loop {
            let msg: AgentControl = frame::read_message(&mut rx).await?;
            actor.send_message(Msg::AgentMessage(stream, msg))?;
        }
    };
    let result = tokio::select! {
        result = reading => result,
        result = send_outbox(tx, sent) => result,
    };
    actor.send_message(Msg::AgentDisconnected(stream))?;
    result
}

/// Sends the latest value of whatever changed. An agent that reads slowly skips outdated values, so
/// it never takes more memory than one assignment.
async fn send_outbox(mut tx: SendStream, mut sent: watch::Receiver<Outbox>) -> anyhow::Result<()> {
    let mut last = Outbox::default();
    while sent.changed().await.is_ok() {
        let next = sent.borrow_and_update().clone();
        if !Arc::ptr_eq(&last.entries, &next.entries) {
            let entries = next.entries.to_vec();
            frame::write_message(&mut tx, &EntryControl::Entries { entries }).await?;
        }
        if last.vm != next.vm {
            frame::write_message(&mut tx, &EntryControl::Vm(next.vm)).await?;
        }
        if let Some(revision) = next.lost_record.filter(|r| last.lost_record != Some(*r)) {
            frame::write_message(&mut tx, &EntryControl::RecordLost(revision)).await?;
        }
        let assignment = next.assignment.as_ref();
        let is_last = |a: &Arc<_>| last.assignment.as_ref().is_some_and(|l| Arc::ptr_eq(l, a));
        if let Some(assignment) = assignment.filter(|a| !is_last(a)) {
            let assignment = EntryControl::Assignment((**assignment).clone());
            frame::write_message(&mut tx, &assignment).await?;
        }
        last = next;
    }
    Ok(())
}

async fn serve_snapshot(mut tx: SendStream, actor: ActorRef<Msg>) -> anyhow::Result<()> {
    let (reply, snapshot) = oneshot::channel();
    actor.send_message(Msg::Snapshot(reply))?;
    let body = serde_json::to_vec(&snapshot.await?)?;
    frame::write_body(&mut tx, &body).await?;
    tx.finish()?;
    // The stream must not be dropped before the peer has received everything.
    let _ = tx.stopped().await;
    Ok(())
}

async fn serve_load_slot(
    mut tx: SendStream,
    mut rx: RecvStream,
    scheduler: &LoadSlotScheduler,
    req: LoadSlotRequest,
) -> anyhow::Result<()> {
    let time_left = Duration::from_millis(u64::from(req.time_left_ms));
    let mut lease = scheduler.request(req.rank, time_left);
    frame::write_message(&mut tx, &LoadSlotReply::Queued).await?;
    let mut ended = [0; 1];
    tokio::select! {
        () = lease.granted() => {}
        _ = rx.read(&mut ended) => return Ok(()),
    }
    frame::write_message(&mut tx, &LoadSlotReply::Granted).await?;
    // The agent ends the stream after the load; if the agent dies, its link ends.
    let _ = rx.read(&mut ended).await;
    Ok(())
}
