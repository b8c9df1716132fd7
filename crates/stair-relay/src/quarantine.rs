//! Withholds requests that end the targets that run them, by themselves or by a part of their prompts.
//!
//! A few agents keep ledgers of crashes. All entries choose the same agents, and each agent reports its
//! verdicts to all entries. While no agent is linked, an entry keeps a ledger of its own.
//! [`quarantine`](stair_fleet::quarantine) defines the decisions.
//!
//! Invariants: a request with a cause that is quarantined here is not sent to a target, and the verdict in
//! its refusal is true.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use stair_fleet::{
    msg::{
        Features,
        ToAgent, //
    },
    quarantine::{
        Assessment,
        Crash,
        Ledger,
        Notice,
        REPLY_TIMEOUT,
        SETTLE_DELAYS,
        SKIP_DURATION,
        Standing,
        Survivals,
        ToLedger,
        ToWatchlist,
        TrialReply,
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

/// The state that an entry keeps about what ends targets.
#[derive(Default)]
pub(crate) struct Quarantine {
    pub(crate) watchlist: Watchlist,
    survivals: Survivals,
    /// This entry's own ledger, used while no agent is linked.
    own: Ledger,
    /// Requests for a trial that wait for a reply.
    pending: Vec<PendingRequest>,
}

struct PendingRequest {
    seq: u64,
    engine: SocketAddr,
    tx: oneshot::Sender<TrialReply>,
}

/// The run of a request with suspects; the trial ends when this is dropped.
pub(crate) struct Trial {
    cx: Arc<Context>,
    /// The suspects.
    causes: Vec<Fingerprint>,
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

impl Trial {
    /// The suspects that are on trial.
    pub(crate) fn causes(&self) -> &[Fingerprint] {
        &self.causes
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        // Each suspect is in one trial only, so that one of them tells which.
        let Some(cause) = self.causes.first().copied() else {
            return;
        };
        let now = self.cx.now();
        let mut state = self.cx.state();
        match self.engine {
            Some(engine) => state.send_to_ledger(engine, ToLedger::TrialEnded(cause)),
            None => state.quarantine.own.end_trial(cause, now),
        }
    }
}

/// The request's fingerprint, if a request with its outline is watched. It is computed without the lock, as
/// its time grows with the body.
fn watched_request(cx: &Context, job: &Job) -> Option<Fingerprint> {
    let outline = job.outline();
    let is_watched = cx.state().quarantine.watchlist.has_outline(outline);
    is_watched.then(|| job.fingerprint())
}

fn assess(cx: &Context, job: &Job) -> Assessment {
    if cx.state().quarantine.watchlist.is_empty() {
        return Assessment::Ordinary;
    }
    let request = watched_request(cx, job);
    let now = cx.now();
    let state = cx.state();
    state.quarantine.watchlist.assess(request, job.parts(), now)
}

/// The cause for which a request is quarantined, and the remaining time.
pub(crate) fn quarantined(cx: &Context, job: &Job) -> Option<(Fingerprint, Duration)> {
    match assess(cx, job) {
        Assessment::Quarantined { cause, left } => Some((cause, left)),
        Assessment::Ordinary | Assessment::Suspect(_) => None,
    }
}

/// Refuses a request that is quarantined.
///
/// # Errors
///
/// The refusal, with the remaining time as Retry-After.
pub(crate) fn admit(cx: &Context, job: &Job) -> Result<(), Refusal> {
    let Some((cause, left)) = quarantined(cx, job) else {
        return Ok(());
    };
    log_refused(job, cause, left);
    Err(Refusal::not_run(Reason::Quarantined, Some(left)))
}

fn log_refused(job: &Job, cause: Fingerprint, left: Duration) {
    Line::failure("quarantine.refused")
        .text("id", &job.meta.id)
        .text("route", &job.route.name)
        .show("fingerprint", cause)
        .ms("come_back_ms", left)
        .write();
}

/// Decides whether a request may be sent to a target; one with suspects needs an agent's permission.
pub(crate) async fn gate(cx: &Arc<Context>, job: &Job, target: &str) -> Gate {
    match assess(cx, job) {
        Assessment::Ordinary => Gate::Open(None),
        Assessment::Quarantined { left, .. } => Gate::Closed(left),
        Assessment::Suspect(causes) => request_trial(cx, job, causes, target).await,
    }
}

async fn request_trial(
    cx: &Arc<Context>,
    job: &Job,
    causes: Vec<Fingerprint>,
    target: &str,
) -> Gate {
    let (reply, engine) = match query_ledger(cx, &causes, target).await {
        Some((reply, engine)) => (reply, Some(engine)),
        None => {
            let now = cx.now();
            let own = &mut cx.state().quarantine.own;
            (own.begin_trial(&causes, target, 0, now), None)
        }
    };
    let names: Vec<String> = causes.iter().map(Fingerprint::to_string).collect();
    Line::failure("quarantine.trial")
        .text("id", &job.meta.id)
        .text("fingerprint", &names.join(" "))
        .text("target", target)
        .flag("granted", reply == TrialReply::Granted)
        .write();
    match reply {
        TrialReply::Busy => Gate::Busy,
        TrialReply::Quarantined { cause, left } => {
            log_refused(job, cause, left);
            Gate::Closed(left)
        }
        TrialReply::Granted => Gate::Open(Some(Trial {
            cx: cx.clone(),
            causes,
            engine,
        })),
    }
}

/// Requests a trial from the first agent that keeps a ledger; `None` when it does not reply.
async fn query_ledger(
    cx: &Arc<Context>,
    causes: &[Fingerprint],
    target: &str,
) -> Option<(TrialReply, SocketAddr)> {
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
        let features = state.features_of(engine);
        let msg = ToLedger::trial(features, seq, causes, target.into());
        state.send_to_ledger(engine, msg);
        (engine, rx)
    };
    if let Ok(Ok(reply)) = timeout(REPLY_TIMEOUT, rx).await {
        return Some((reply, engine));
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
    state.quarantine.survivals.activate(now);
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
    let now = cx.now();
    if !cx.state().quarantine.records_next(now) {
        return;
    }
    let parts = job.parts().as_slice();
    cx.state().quarantine.survivals.record(parts, now);
    let request = watched_request(cx, job);
    let causes = request.iter().chain(job.parts().as_slice());
    let watched = cx.state().quarantine.watchlist.watched(causes);
    causes_cleared(cx, &watched);
}

/// Records that targets that completed requests with these causes are still running.
pub(crate) fn causes_survived(cx: &Context, causes: &[Fingerprint]) {
    let now = cx.now();
    let watched = {
        let mut state = cx.state();
        state.quarantine.survivals.record(causes, now);
        state.quarantine.watchlist.watched(causes)
    };
    causes_cleared(cx, &watched);
}

/// Clears watched causes that have survived a run.
fn causes_cleared(cx: &Context, causes: &[Fingerprint]) {
    for cause in causes {
        Line::failure("quarantine.survived")
            .show("fingerprint", cause)
            .write();
        let now = cx.now();
        let mut state = cx.state();
        state.quarantine.watchlist.remove(cause);
        state.quarantine.own.survived(*cause, now);
        for engine in state.ledgers(now) {
            state.send_to_ledger(engine, ToLedger::Survived(*cause));
        }
    }
}

/// Reports when new suspects last survived a run here, which tells the parts of ordinary requests from the
/// one that ends targets.
fn report_survivals(cx: &Context, suspects: &[Fingerprint]) {
    let now = cx.now();
    let mut state = cx.state();
    let list = state.quarantine.survivals.of(suspects, now);
    if list.is_empty() {
        return;
    }
    for (cause, age) in &list {
        if state.quarantine.own.survived_before(*cause, *age, now) {
            state.quarantine.watchlist.remove(cause);
        }
    }
    for engine in state.ledgers(now) {
        if state.features_of(engine).causes {
            state.send_to_ledger(engine, ToLedger::SurvivedBefore(list.clone()));
        }
    }
}

/// Handles a message of an agent that keeps a ledger.
pub(crate) fn receive(cx: &Context, engine: SocketAddr, msg: ToWatchlist) {
    let (seq, reply) = match msg {
        ToWatchlist::Known(list) => return apply(cx, &list),
        ToWatchlist::Trial { seq, granted: true } => (seq, TrialReply::Granted),
        ToWatchlist::Trial {
            seq,
            granted: false,
        } => (seq, TrialReply::Busy),
        ToWatchlist::TrialReply { seq, reply } => (seq, reply),
    };
    let mut state = cx.state();
    let pending = &mut state.quarantine.pending;
    let found = pending
        .iter()
        .position(|o| o.engine == engine && o.seq == seq);
    // The request that waited may have been dropped.
    found.map(|i| pending.swap_remove(i).tx.send(reply));
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
    let mut suspects = Vec::new();
    for notice in list {
        if !cx.state().quarantine.watchlist.apply(notice, now) {
            continue;
        }
        Line::failure("quarantine")
            .show("fingerprint", notice.fingerprint)
            .show("standing", format_args!("{:?}", notice.standing))
            .write();
        if notice.standing == Standing::Suspect {
            suspects.push(notice.fingerprint);
        }
    }
    if !cx.state().quarantine.watchlist.is_empty() {
        cx.state().quarantine.survivals.activate(now);
    }
    report_survivals(cx, &suspects);
}

impl Quarantine {
    /// Whether the next request that survives is to be recorded.
    fn records_next(&mut self, now: Duration) -> bool {
        self.survivals.take_turn(now) || !self.watchlist.is_empty()
    }

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

    fn features_of(&self, engine: SocketAddr) -> Features {
        let found = self.agent(engine);
        found.map_or(Features::default(), |i| self.agents[i].features)
    }

    fn send_to_ledger(&self, engine: SocketAddr, msg: ToLedger) {
        if let Some(i) = self.agent(engine) {
            // A full queue may drop the message; other agents get it too.
            let _ = self.agents[i].tx.try_send(ToAgent::Quarantine(msg));
        }
    }
}
