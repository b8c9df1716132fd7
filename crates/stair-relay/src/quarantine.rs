//! Withholds requests that end the targets that run them.
//!
//! A few agents keep ledgers of crashes. All entries choose the same agents, and each agent reports its
//! verdicts to all entries. While no agent is linked, an entry keeps a ledger of its own.
//! [`quarantine`](stair_fleet::quarantine) defines the decisions.
//!
//! Invariants: a request that is quarantined here is not sent to a target, and the verdict in its refusal is
//! true.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use stair_fleet::{
    msg::ToAgent,
    quarantine::{
        Crash,
        Ledger,
        Notice,
        REPLY_TIMEOUT,
        SETTLE_DELAYS,
        SKIP_DURATION,
        Standing,
        ToLedger,
        ToWatchlist,
        Watchlist,
        choose_ledgers, //
    },
};
use stair_telemetry::event::Line;
use stair_types::Fingerprint;
use tokio::{
    sync::oneshot,
    time::{
        Instant,
        sleep_until,
        timeout, //
    },
};

use crate::{
    context::{
        AgentLink,
        Context,
        State, //
    },
    job::Job,
    refuse::{
        Reason,
        Refusal, //
    },
};

/// The state that an entry keeps about requests that end targets.
#[derive(Default)]
pub(crate) struct Quarantine {
    pub(crate) watchlist: Watchlist,
    /// This entry's own ledger, used while no agent is linked.
    own: Ledger,
    /// Requests for a trial that wait for a reply.
    pending: Vec<PendingRequest>,
}

struct PendingRequest {
    seq: u64,
    engine: SocketAddr,
    tx: oneshot::Sender<bool>,
}

/// The run of a suspect; the trial ends when this is dropped.
pub(crate) struct Trial {
    cx: Arc<Context>,
    fingerprint: Fingerprint,
    /// The engine whose agent granted the trial; `None` for this entry's own ledger.
    engine: Option<SocketAddr>,
}

/// Whether a request may be sent to a target now.
pub(crate) enum Gate {
    /// The request may be sent. For a suspect, the trial counts until it is dropped.
    Open(Option<Trial>),
    /// The request is a suspect, and another trial has to end before its own can begin.
    Busy,
    /// The request is quarantined for this time.
    Closed(Duration),
}

impl Drop for Trial {
    fn drop(&mut self) {
        let now = self.cx.now();
        let mut state = self.cx.state();
        match self.engine {
            Some(engine) => state.send_to_ledger(engine, ToLedger::TrialEnded(self.fingerprint)),
            None => state.quarantine.own.end_trial(self.fingerprint, now),
        }
    }
}

/// The standing of a request; `None` for an ordinary one.
pub(crate) fn standing(cx: &Context, job: &Job) -> Option<Standing> {
    if cx.state().quarantine.watchlist.is_empty() {
        return None;
    }
    let outline = job.outline();
    if !cx.state().quarantine.watchlist.has_outline(outline) {
        return None;
    }
    // Computed without the lock, as its time grows with the body.
    let fingerprint = job.fingerprint();
    let now = cx.now();
    cx.state().quarantine.watchlist.standing(&fingerprint, now)
}

/// The remaining time of a request's quarantine.
pub(crate) fn quarantined_for(cx: &Context, job: &Job) -> Option<Duration> {
    match standing(cx, job)? {
        Standing::Quarantined(left) => Some(left),
        Standing::Suspect | Standing::Cleared => None,
    }
}

/// Refuses a request that is quarantined.
///
/// # Errors
///
/// The refusal, with the remaining time as Retry-After.
pub(crate) fn admit(cx: &Context, job: &Job) -> Result<(), Refusal> {
    let Some(left) = quarantined_for(cx, job) else {
        return Ok(());
    };
    Line::failure("quarantine.refused")
        .text("id", &job.meta.id)
        .text("route", &job.route.name)
        .show("fingerprint", job.fingerprint())
        .ms("come_back_ms", left)
        .write();
    Err(Refusal::not_run(Reason::Quarantined, Some(left)))
}

/// Decides whether a request may be sent to a target; a suspect needs an agent's permission.
pub(crate) async fn gate(cx: &Arc<Context>, job: &Job, target: &str) -> Gate {
    match standing(cx, job) {
        None | Some(Standing::Cleared) => Gate::Open(None),
        Some(Standing::Quarantined(left)) => Gate::Closed(left),
        Some(Standing::Suspect) => request_trial(cx, job, target).await,
    }
}

async fn request_trial(cx: &Arc<Context>, job: &Job, target: &str) -> Gate {
    let fingerprint = job.fingerprint();
    let (granted, engine) = match query_ledger(cx, fingerprint, target).await {
        Some((granted, engine)) => (granted, Some(engine)),
        None => {
            let now = cx.now();
            let own = &mut cx.state().quarantine.own;
            (own.begin_trial(fingerprint, target, 0, now), None)
        }
    };
    Line::failure("quarantine.trial")
        .text("id", &job.meta.id)
        .show("fingerprint", fingerprint)
        .text("target", target)
        .flag("granted", granted)
        .write();
    match granted {
        false => Gate::Busy,
        true => Gate::Open(Some(Trial {
            cx: cx.clone(),
            fingerprint,
            engine,
        })),
    }
}

/// Requests a trial from the first agent that keeps a ledger; `None` when it does not reply.
async fn query_ledger(
    cx: &Arc<Context>,
    fingerprint: Fingerprint,
    target: &str,
) -> Option<(bool, SocketAddr)> {
    let (engine, rx) = {
        let now = cx.now();
        let mut state = cx.state();
        let engine = state.ledgers(now).into_iter().next()?;
        let seq = state.next_seq();
        let (tx, rx) = oneshot::channel();
        state
            .quarantine
            .pending
            .push(PendingRequest { seq, engine, tx });
        let msg = ToLedger::Trial {
            seq,
            fingerprint,
            target: target.into(),
        };
        state.send_to_ledger(engine, msg);
        (engine, rx)
    };
    if let Ok(Ok(granted)) = timeout(REPLY_TIMEOUT, rx).await {
        return Some((granted, engine));
    }
    Line::failure("quarantine.unanswered")
        .show("engine", engine)
        .write();
    let until = cx.now() + SKIP_DURATION;
    let mut state = cx.state();
    state.quarantine.pending.retain(|o| !o.tx.is_closed());
    state.skip_agent(engine, until);
    None
}

/// Reports a crash to the agents that keep ledgers.
pub(crate) fn report(cx: &Arc<Context>, crash: Crash) {
    let now = cx.now();
    let mut state = cx.state();
    let engines = state.ledgers(now);
    for engine in &engines {
        state.send_to_ledger(*engine, ToLedger::Crashed(crash.clone()));
    }
    if !engines.is_empty() {
        return;
    }
    state.quarantine.own.report(&crash, now);
    drop(state);
    let cx = cx.clone();
    tokio::spawn(async move {
        let reported = Instant::now();
        for delay in SETTLE_DELAYS {
            sleep_until(reported + delay).await;
            let now = cx.now();
            let new = cx.state().quarantine.own.settle(now);
            apply(&cx, &new);
        }
    });
}

/// Records that a target completed the request and is still running.
pub(crate) fn survived(cx: &Context, job: &Job) {
    if standing(cx, job).is_none() {
        return;
    }
    let fingerprint = job.fingerprint();
    Line::failure("quarantine.survived")
        .text("id", &job.meta.id)
        .show("fingerprint", fingerprint)
        .write();
    let now = cx.now();
    let mut state = cx.state();
    state.quarantine.watchlist.remove(&fingerprint);
    state.quarantine.own.survived(fingerprint);
    for engine in state.ledgers(now) {
        state.send_to_ledger(engine, ToLedger::Survived(fingerprint));
    }
}

/// Handles a message of an agent that keeps a ledger.
pub(crate) fn receive(cx: &Context, engine: SocketAddr, msg: ToWatchlist) {
    match msg {
        ToWatchlist::Known(list) => apply(cx, &list),
        ToWatchlist::Trial { seq, granted } => {
            let mut state = cx.state();
            let pending = &mut state.quarantine.pending;
            let found = pending
                .iter()
                .position(|o| o.engine == engine && o.seq == seq);
            // The request that waited may have been dropped.
            found.map(|i| pending.swap_remove(i).tx.send(granted));
        }
    }
}

/// Sends the known standings to an agent whose link has begun, if it keeps a ledger.
pub(crate) fn link_began(cx: &Context, engine: SocketAddr) {
    let now = cx.now();
    let state = cx.state();
    let known = state.quarantine.watchlist.notices(now);
    if !known.is_empty() && state.ledgers(now).contains(&engine) {
        state.send_to_ledger(engine, ToLedger::Known(known));
    }
}

fn apply(cx: &Context, list: &[Notice]) {
    let now = cx.now();
    for notice in list {
        if !cx.state().quarantine.watchlist.apply(notice, now) {
            continue;
        }
        Line::failure("quarantine")
            .show("fingerprint", notice.fingerprint)
            .show("standing", format_args!("{:?}", notice.standing))
            .write();
    }
}

impl Quarantine {
    /// Drops the requests to an agent whose link has ended.
    pub(crate) fn link_ended(&mut self, engine: SocketAddr) {
        self.pending.retain(|o| o.engine != engine);
    }
}

impl State {
    /// The engines whose agents keep the ledgers, in their common order.
    fn ledgers(&self, now: Duration) -> Vec<SocketAddr> {
        let is_available = |a: &&AgentLink| a.linked && a.skipped_until <= now;
        let linked: Vec<_> = self.agents.iter().filter(is_available).collect();
        let chosen = choose_ledgers(linked.iter().map(|a| &*a.name));
        chosen.into_iter().map(|i| linked[i].engine).collect()
    }

    fn send_to_ledger(&self, engine: SocketAddr, msg: ToLedger) {
        if let Some(i) = self.agent(engine) {
            // A full queue may drop the message; other agents get it too.
            let _ = self.agents[i].tx.try_send(ToAgent::Quarantine(msg));
        }
    }
}
