//! Hears the agents and asks them.
//!
//! One link to the agent of each engine in the list. A link that hears nothing for a while is
//! opened anew: its connection may have fallen silent.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use stair_fleet::{
    msg::{
        ReplicationState,
        ToAgent,
        ToEntry, //
    },
    target::State as TargetState,
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
    allowance,
    context::{
        AgentLink,
        Context, //
    },
    quarantine,
};

/// Time to open a link.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// Pause before a link is opened anew.
const PAUSE: Duration = Duration::from_millis(400);

/// Time without a message after which a link is dead; agents report every second.
const SILENCE: Duration = Duration::from_millis(2500);

/// Pause between looks for what is to be sent to an agent.
const TICK: Duration = Duration::from_millis(250);

/// Links up to which that pause holds. It grows in proportion beyond, to bound the processor time of small VMs.
const TICK_LINKS: u32 = 16;

/// Longest pause; agents take an entry for gone after several of them.
const MAX_TICK: Duration = Duration::from_millis(1000);

/// Time between heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1000);

/// Pause between looks for VMs that stand still.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// A look that comes so late shows that this process has stood still itself.
const LATE_LOOK: Duration = Duration::from_millis(600);

/// Messages waiting for one agent.
const QUEUE: usize = 64;

/// Keeps a link to the agent of each listed engine, for as long as the process runs.
pub async fn keep(cx: Arc<Context>) {
    loop {
        let changed = cx.changed.notified();
        for engine in missing(&cx) {
            let (tx, rx) = mpsc::channel(QUEUE);
            let link = AgentLink {
                engine,
                name: engine.to_string().into(),
                linked: false,
                skipped_until: Duration::ZERO,
                tx,
                entries: 0,
                former: None,
                read: Vec::new(),
                waiting: Vec::new(),
                reservations: Vec::new(),
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

/// Finds out which VMs stand still, for as long as the process runs.
///
/// A target on such a VM takes connections and answers nothing. Its requests would wait until their clients
/// leave, and new ones would join them for as long as the list has it: three heartbeats.
pub async fn look_for_quiet(cx: Arc<Context>) {
    let mut looked = Instant::now();
    let mut trusted_from = Instant::now();
    loop {
        sleep(LOOK_EVERY).await;
        let late = looked.elapsed() >= LATE_LOOK;
        looked = Instant::now();
        if late {
            // What agents said meanwhile is still to be read.
            trusted_from = looked + UNRESPONSIVE_TIMEOUT;
        }
        if looked < trusted_from {
            continue;
        }
        let quiet = cx.state().view.mark_unresponsive(cx.now());
        cx.are_quiet(&quiet);
    }
}

/// Engines without a link.
fn missing(cx: &Context) -> Vec<SocketAddr> {
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
    while listed(&cx, engine) {
        match timeout(CONNECT_TIME, TcpStream::connect(agent)).await {
            Ok(Ok(stream)) => {
                Line::new("agent.linked").show("engine", engine).write();
                begin(&cx, engine);
                let ended = speak(&cx, engine, stream, &mut rx).await;
                Line::failure("agent.lost")
                    .show("engine", engine)
                    .show("why", format_args!("{ended:?}"))
                    .write();
                if ended == Ended::Closed {
                    cx.state().view.agent_disconnected_at(engine);
                }
            }
            // Its VM answers and no agent is there.
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                cx.state().view.agent_disconnected_at(engine);
            }
            // No sign of the VM, or this process is out of descriptors.
            Ok(Err(_)) | Err(_) => {}
        }
        // Also when no link came up: what was asked meanwhile would wait for its whole time.
        forget(&cx, engine);
        while rx.try_recv().is_ok() {}
        sleep(PAUSE).await;
    }
    let mut state = cx.state();
    if let Some(i) = state.agent(engine) {
        state.agents.remove(i);
    }
}

fn listed(cx: &Context, engine: SocketAddr) -> bool {
    let state = cx.state();
    state.view.all().any(|(_, s)| s.target.addr == engine)
}

fn begin(cx: &Context, engine: SocketAddr) {
    let mut state = cx.state();
    if let Some(i) = state.agent(engine) {
        state.agents[i].linked = true;
    }
    state.homes.clear();
    drop(state);
    quarantine::link_began(cx, engine);
}

/// Drops what the agent said and the questions that wait for it.
fn forget(cx: &Context, engine: SocketAddr) {
    let mut state = cx.state();
    if let Some(i) = state.agent(engine) {
        state.agents[i].linked = false;
        state.agents[i].waiting.clear();
        state.agents[i].reservations.clear();
        state.agents[i].read.clear();
    }
    state.homes.clear();
    state.allowances.link_ended(engine);
    state.quarantine.link_ended(engine);
    state.view.drop_report_at(engine);
}

/// How a link has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
    /// The agent's side was closed or reset: its process has ended, and its VM runs.
    Closed,
    /// Nothing came, or nothing could be written, for too long.
    Silent,
}

async fn speak(
    cx: &Arc<Context>,
    engine: SocketAddr,
    stream: TcpStream,
    rx: &mut mpsc::Receiver<ToAgent>,
) -> Ended {
    // Without it a message waits for the acknowledgement of the one before; it still arrives.
    let _ = stream.set_nodelay(true);
    let (r, w) = stream.into_split();
    tokio::select! {
        ended = receive(cx, engine, r) => ended,
        () = transmit(cx, engine, w, rx) => Ended::Silent,
    }
}

async fn receive(cx: &Arc<Context>, engine: SocketAddr, mut r: OwnedReadHalf) -> Ended {
    loop {
        let msg = match timeout(SILENCE, frame::read_message(&mut r)).await {
            Ok(Ok(msg)) => msg,
            Ok(Err(_)) => return Ended::Closed,
            Err(_) => return Ended::Silent,
        };
        let now = cx.now();
        cx.state().view.record_message_at(engine, now);
        match msg {
            ToEntry::Inventory(inventory) => {
                cx.state().view.set_inventory_at(engine, *inventory, now);
            }
            ToEntry::Load(load) => {
                cx.state().view.set_load_at(engine, *load, now);
            }
            ToEntry::LoadReply { seq, outcome } => {
                let waiting = {
                    let mut state = cx.state();
                    let Some(i) = state.agent(engine) else {
                        return Ended::Closed;
                    };
                    let list = &mut state.agents[i].waiting;
                    let found = list.iter().position(|(s, _)| *s == seq);
                    found.map(|i| list.swap_remove(i).1)
                };
                // The request that asked may have been given up.
                waiting.map(|tx| tx.send(outcome));
            }
            ToEntry::Prefill { seq, reply: answer } => {
                let mut state = cx.state();
                let Some(i) = state.agent(engine) else {
                    return Ended::Closed;
                };
                let list = &mut state.agents[i].reservations;
                let found = list.iter().position(|(s, _)| *s == seq);
                let asked = found.map(|i| list.swap_remove(i).1);
                let until = now + answer.backlog;
                state.view.set_prefill_until(engine, until);
                drop(state);
                // The request that asked may have been given up.
                asked.map(|tx| tx.send(answer));
            }
            ToEntry::QuotaReply { seq, reply: answer } => {
                allowance::answered(cx, engine, seq, answer)
            }
            ToEntry::StaleIncarnation(id) => receive_former(cx, engine, id),
            ToEntry::DeclarationRequest => declare(cx, engine),
            ToEntry::Quarantine(msg) => quarantine::receive(cx, engine, msg),
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

/// Tells an agent what its engine's service declares.
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
        // A full queue is a link that does not move; its agent asks another entry.
        let _ = state.agents[i].tx.try_send(msg);
    }
}

fn receive_former(cx: &Context, engine: SocketAddr, id: Box<str>) {
    Line::new("target.former")
        .text("target", &id)
        .show("engine", engine)
        .write();
    let mut state = cx.state();
    state.view.remove(&id);
    if let Some(i) = state.agent(engine) {
        state.agents[i].former = Some(id);
    }
}

/// What an agent has been told on this link.
#[derive(Default)]
struct Sent {
    known: Option<ReplicationState>,
    /// The target's id and the start of its life.
    life: Option<(Box<str>, Option<u64>)>,
    spoke: Option<Instant>,
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
                next = Instant::now() + tick(cx);
                for msg in news(cx, engine, &mut sent) {
                    if !write(&mut w, &msg).await {
                        return;
                    }
                }
            }
        }
    }
}

fn tick(cx: &Context) -> Duration {
    let links = u32::try_from(cx.state().agents.len()).unwrap_or(u32::MAX);
    (TICK * links / TICK_LINKS).clamp(TICK, MAX_TICK)
}

fn news(cx: &Context, engine: SocketAddr, sent: &mut Sent) -> Vec<ToAgent> {
    let mut out = Vec::new();
    let known = cx.replication_state();
    let due = sent.spoke.is_none_or(|t| t.elapsed() >= HEARTBEAT);
    // The list of targets changes several times a second; that can wait for the heartbeat.
    let news = sent.known.as_ref().map(|k| k.catalogue) != Some(known.catalogue);
    if news || due {
        sent.spoke = Some(Instant::now());
        sent.known = Some(known.clone());
        out.push(ToAgent::Hello(known));
    }
    let mut state = cx.state();
    let target = state
        .view
        .at(engine)
        .filter(|(_, s)| s.target.state == TargetState::Ready)
        .map(|(_, s)| (s.target.id.clone(), s.target.started));
    if let Some((id, started)) = target {
        let life = Some((id.clone(), started));
        if sent.life != life {
            let revision = state.view.revision;
            out.push(ToAgent::Incarnation { id, revision });
            sent.life = life;
        }
    }
    let used = state.take_used(engine, false);
    if !used.is_empty() {
        out.push(ToAgent::Used(used));
    }
    let read = state.take_read(engine);
    if !read.is_empty() {
        out.push(ToAgent::PrefillTimes(read));
    }
    out
}

async fn write(w: &mut OwnedWriteHalf, msg: &ToAgent) -> bool {
    matches!(
        timeout(SILENCE, frame::write_message(w, msg)).await,
        Ok(Ok(()))
    )
}
