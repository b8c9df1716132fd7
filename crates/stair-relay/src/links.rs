//! Links to agents: receives their reports and sends them requests.
//!
//! There is one link to the agent of each listed engine. A link without messages is opened again, since its
//! connection may be dead without an error.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use stair_fleet::{
    engine_estimate::Estimate,
    msg::{
        Extension,
        Features,
        ReplicationState,
        ToAgent,
        ToEntry, //
    },
    quota::PassedOver,
    target::State,
    target_state::UNRESPONSIVE_TIMEOUT,
};
use stair_telemetry::event::Line;
use stair_wire::frame;
use tokio::{
    net::{
        TcpStream,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
    },
    sync::mpsc,
    time::{
        Instant,
        sleep,
        sleep_until,
        timeout, //
    },
};

use crate::{
    availability,
    context::{
        AgentLink,
        Context,
        SlotReply, //
    },
    limit,
    origin,
    quarantine,
    quota, //
};

/// Limit for opening a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause before a link is opened again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(400);

/// Time without a message after which a link is closed; agents report every second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Interval in which messages to an agent are collected.
const SEND_INTERVAL: Duration = Duration::from_millis(250);

/// Number of links up to which [`SEND_INTERVAL`] applies. Beyond, the interval grows in proportion, which
/// bounds the processor time on small VMs.
const SEND_INTERVAL_LINKS: u32 = 16;

/// Longest interval; agents count an entry as disconnected after several of them without a message.
const MAX_SEND_INTERVAL: Duration = Duration::from_millis(1000);

/// Longest time between two hello messages to an agent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);

/// Interval of the checks for unresponsive VMs.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time since the previous check that shows that this process was frozen itself.
const LATE_CHECK: Duration = Duration::from_millis(600);

/// Capacity of the queue of messages to one agent.
const QUEUE: usize = 64;

/// Keeps a link to the agent of each listed engine until the process ends.
pub async fn keep(cx: Arc<Context>) {
    loop {
        let changed = cx.changed.notified();
        for engine in unlinked_engines(&cx) {
            let (tx, rx) = mpsc::channel(QUEUE);
            let link = AgentLink {
                engine,
                name: engine.to_string().into(),
                linked: false,
                features: Features::default(),
                skipped_until: Duration::ZERO,
                tx,
                entries: 0,
                stale_incarnation: None,
                prefill_times: Vec::new(),
                event_times: Vec::new(),
                pending_loads: Vec::new(),
                pending_slots: Vec::new(),
            };
            let mut state = cx.state();
            if let Err(i) = state.agents.binary_search_by_key(&engine, |a| a.engine) {
                state.agents.insert(i, link);
                tokio::spawn(run(cx.clone(), engine, rx));
            }
        }
        changed.await;
    }
}

/// Detects unresponsive VMs until the process ends.
///
/// A target on an unresponsive VM accepts connections and sends no response. Its requests would wait until
/// their clients disconnect, and new requests would be sent there until the list drops it after three
/// heartbeats.
pub async fn detect_unresponsive(cx: Arc<Context>) {
    let mut checked_at = Instant::now();
    let mut trusted_from = Instant::now();
    loop {
        sleep(CHECK_INTERVAL).await;
        let late = checked_at.elapsed() >= LATE_CHECK;
        checked_at = Instant::now();
        if late {
            // Reports that arrived meanwhile have not been read yet.
            trusted_from = checked_at + UNRESPONSIVE_TIMEOUT;
        }
        if checked_at < trusted_from {
            continue;
        }
        let unresponsive = cx.state().view.mark_unresponsive(cx.now());
        cx.report_unresponsive(&unresponsive);
    }
}

/// The addresses of listed engines without a link.
fn unlinked_engines(cx: &Context) -> Vec<SocketAddr> {
    let state = cx.state();
    let Some(catalogue) = &state.catalogue else {
        return Vec::new();
    };
    let engines = state.view.all().filter(|(_, s)| {
        let service = catalogue.service(&s.target.service);
        service.is_some_and(|s| s.engine.is_some())
    });
    let mut addrs: Vec<SocketAddr> = engines
        .map(|(_, s)| s.target.addr)
        .filter(|a| state.agent(*a).is_none())
        .collect();
    addrs.sort();
    addrs.dedup();
    addrs
}

async fn run(cx: Arc<Context>, engine: SocketAddr, mut rx: mpsc::Receiver<ToAgent>) {
    let agent = SocketAddr::new(engine.ip(), cx.settings.agent_port);
    while is_listed(&cx, engine) {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(agent)).await {
            Ok(Ok(stream)) => {
                Line::new("agent.linked").show("engine", engine).write();
                mark_linked(&cx, engine);
                let ended = exchange(&cx, engine, stream, &mut rx).await;
                Line::failure("agent.lost")
                    .show("engine", engine)
                    .show("why", format_args!("{ended:?}"))
                    .write();
                if ended == Ended::Closed {
                    cx.state().view.agent_disconnected_at(engine);
                }
            }
            // The VM responds, but no agent runs there.
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                cx.state().view.agent_disconnected_at(engine);
            }
            // The VM does not respond, or this process has run out of file descriptors.
            Ok(Err(_)) | Err(_) => {}
        }
        // Needed also when no link was opened, since requests made meanwhile would wait for their whole
        // timeout.
        mark_unlinked(&cx, engine);
        while rx.try_recv().is_ok() {}
        sleep(RECONNECT_PAUSE).await;
    }
    let mut state = cx.state();
    if let Some(i) = state.agent(engine) {
        state.agents.remove(i);
    }
}

fn is_listed(cx: &Context, engine: SocketAddr) -> bool {
    let state = cx.state();
    state.view.all().any(|(_, s)| s.target.addr == engine)
}

fn mark_linked(cx: &Context, engine: SocketAddr) {
    let mut state = cx.state();
    if let Some(i) = state.agent(engine) {
        state.agents[i].linked = true;
    }
    state.owners.clear();
    drop(state);
    quarantine::link_began(cx, engine);
    availability::link_began(cx, engine);
}

/// Drops the agent's reports and the requests that wait for its replies.
fn mark_unlinked(cx: &Context, engine: SocketAddr) {
    let mut state = cx.state();
    if let Some(i) = state.agent(engine) {
        state.agents[i].linked = false;
        state.agents[i].features = Features::default();
        state.agents[i].pending_loads.clear();
        state.agents[i].pending_slots.clear();
        state.agents[i].prefill_times.clear();
        state.agents[i].event_times.clear();
    }
    state.owners.clear();
    state.quotas.link_ended(engine);
    state.quarantine.link_ended(engine);
    state.limits.link_ended(engine);
    state.origins.link_ended(engine);
    state.view.drop_report_at(engine);
}

/// Why a link ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
    /// The agent closed or reset the connection: its process has ended, and its VM runs.
    Closed,
    /// No message was received, or none could be written, in time.
    Silent,
}

async fn exchange(
    cx: &Arc<Context>,
    engine: SocketAddr,
    stream: TcpStream,
    rx: &mut mpsc::Receiver<ToAgent>,
) -> Ended {
    // Only a latency option: without it a message waits for the acknowledgement of the previous one.
    let _ = stream.set_nodelay(true);
    let (r, w) = stream.into_split();
    tokio::select! {
        ended = receive(cx, engine, r) => ended,
        () = transmit(cx, engine, w, rx) => Ended::Silent,
    }
}

async fn receive(cx: &Arc<Context>, engine: SocketAddr, mut r: OwnedReadHalf) -> Ended {
    loop {
        let read = timeout(SILENCE_TIMEOUT, frame::read_extended(&mut r)).await;
        let (msg, ext): (ToEntry, Extension) = match read {
            Ok(Ok(both)) => both,
            Ok(Err(_)) => return Ended::Closed,
            Err(_) => return Ended::Silent,
        };
        if ext.features != Features::default() {
            origin::keeper_found(cx, engine, ext.features);
        }
        let now = cx.now();
        cx.state().view.record_message_at(engine, now);
        match msg {
            ToEntry::Inventory(inventory) => {
                cx.state().view.set_inventory_at(engine, *inventory, now);
            }
            ToEntry::Load(mut load) => {
                load.estimate = ext.estimate.filter(Estimate::is_sound);
                cx.state().view.set_load_at(engine, *load, now);
            }
            ToEntry::LoadReply { seq, outcome } => {
                let waiter = {
                    let mut state = cx.state();
                    let Some(i) = state.agent(engine) else {
                        return Ended::Closed;
                    };
                    let list = &mut state.agents[i].pending_loads;
                    let found = list.iter().position(|(s, _)| *s == seq);
                    found.map(|i| list.swap_remove(i).1)
                };
                // The request that waited may have been dropped.
                waiter.map(|tx| tx.send(outcome));
            }
            ToEntry::Prefill { seq, reply } => {
                cx.receive_slot(engine, seq, SlotReply { reply, turn: None });
            }
            ToEntry::CallerPrefill { seq, reply, turn } => {
                cx.receive_slot(engine, seq, SlotReply { reply, turn });
            }
            ToEntry::QuotaReply { seq, reply } => {
                quota::receive_reply(cx, engine, seq, quota::unordered(reply));
            }
            ToEntry::OrderedQuotaReply { seq, reply } => {
                quota::receive_reply(cx, engine, seq, reply);
            }
            ToEntry::StaleIncarnation(id) => receive_stale_incarnation(cx, engine, id),
            ToEntry::DeclarationRequest => declare(cx, engine),
            ToEntry::Quarantine(msg) => quarantine::receive(cx, engine, msg),
            ToEntry::Limit(msg) => limit::receive(cx, engine, msg),
            ToEntry::Availability(shared) => availability::receive(cx, &shared),
            ToEntry::Origin(msg) => origin::receive(cx, engine, msg),
            ToEntry::Peers(peers) => {
                let mut state = cx.state();
                if let Some(i) = state.agent(engine) {
                    state.agents[i].entries = peers.entries;
                }
                state.peers = Some((*peers, now));
            }
        }
    }
}

/// Sends an agent the declaration of its engine's service.
fn declare(cx: &Context, engine: SocketAddr) {
    let state = cx.state();
    let (Some(i), Some(catalogue)) = (state.agent(engine), &state.catalogue) else {
        return;
    };
    let service = state.view.at(engine).map(|(_, s)| &*s.target.service);
    let decl = service.and_then(|s| catalogue.service(s)?.engine.clone());
    if let Some(engine) = decl {
        let msg = ToAgent::Declaration {
            version: catalogue.version,
            engine,
        };
        // With a full queue the link is stuck; the agent requests the declaration from another entry.
        let _ = state.agents[i].tx.try_send(msg);
    }
}

fn receive_stale_incarnation(cx: &Context, engine: SocketAddr, id: Box<str>) {
    Line::new("target.former")
        .text("target", &id)
        .show("engine", engine)
        .write();
    let mut state = cx.state();
    state.view.remove(&id);
    if let Some(i) = state.agent(engine) {
        state.agents[i].stale_incarnation = Some(id);
    }
}

/// The state that an agent was sent last on this link.
#[derive(Default)]
struct Sent {
    known: Option<ReplicationState>,
    /// The id of the target and the start of its incarnation.
    incarnation: Option<(Box<str>, Option<u64>)>,
    hello_at: Option<Instant>,
    passed_over: PassedOver,
}

async fn transmit(
    cx: &Arc<Context>,
    engine: SocketAddr,
    mut w: OwnedWriteHalf,
    rx: &mut mpsc::Receiver<ToAgent>,
) {
    let mut sent = Sent::default();
    let mut next = Instant::now();
    let whole = cx.state().take_used(engine, true);
    if !whole.is_empty() && !write(&mut w, &ToAgent::Used(whole)).await {
        return;
    }
    loop {
        tokio::select! {
            msg = rx.recv() => {
                let Some(msg) = msg else { return };
                if !write(&mut w, &msg).await {
                    return;
                }
            }
            () = sleep_until(next) => {
                next = Instant::now() + send_interval(cx);
                for msg in pending_messages(cx, engine, &mut sent) {
                    if !write(&mut w, &msg).await {
                        return;
                    }
                }
            }
        }
    }
}

fn send_interval(cx: &Context) -> Duration {
    let links = u32::try_from(cx.state().agents.len()).unwrap_or(u32::MAX);
    (SEND_INTERVAL * links / SEND_INTERVAL_LINKS).clamp(SEND_INTERVAL, MAX_SEND_INTERVAL)
}

fn pending_messages(cx: &Context, engine: SocketAddr, sent: &mut Sent) -> Vec<ToAgent> {
    let mut out = Vec::new();
    let known = cx.replication_state();
    let due = sent
        .hello_at
        .is_none_or(|t| t.elapsed() >= HEARTBEAT_INTERVAL);
    // The revision of the targets changes several times a second and is sent with the heartbeat.
    let is_new = sent.known.as_ref().map(|k| k.catalogue) != Some(known.catalogue);
    if is_new || due {
        sent.hello_at = Some(Instant::now());
        sent.known = Some(known.clone());
        out.push(ToAgent::Hello(known));
    }
    let mut state = cx.state();
    let target = state
        .view
        .at(engine)
        .filter(|(_, s)| s.target.state == State::Ready)
        .map(|(_, s)| (s.target.id.clone(), s.target.started));
    if let Some((id, started)) = target {
        let incarnation = Some((id.clone(), started));
        if sent.incarnation != incarnation {
            let revision = state.view.revision;
            out.push(ToAgent::Incarnation { id, revision });
            sent.incarnation = incarnation;
        }
    }
    if let Some(passed_over) = state.passed_over(engine, cx.now())
        && passed_over != sent.passed_over
    {
        sent.passed_over = passed_over.clone();
        out.push(ToAgent::PassedOver(passed_over));
    }
    let used = state.take_used(engine, false);
    if !used.is_empty() {
        out.push(ToAgent::Used(used));
    }
    let read = state.take_prefill_times(engine);
    if !read.is_empty() {
        out.push(ToAgent::PrefillTimes(read));
    }
    let times = state.take_event_times(engine);
    if !times.is_empty() {
        out.push(ToAgent::EventTimes(times));
    }
    out
}

async fn write(w: &mut OwnedWriteHalf, msg: &ToAgent) -> bool {
    matches!(
        timeout(SILENCE_TIMEOUT, frame::write_message(w, msg)).await,
        Ok(Ok(()))
    )
}
