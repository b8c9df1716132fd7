//! Keeps requests that end the targets that run them away from targets.
//!
//! A few agents keep the ledgers, chosen in an order on which all entries agree; each tells all entries what follows
//! from the reports. While no agent is linked, an entry keeps a ledger of its own. What decides is in
//! [`quarantine`](stair_fleet::quarantine).
//!
//! Invariants: a request that is quarantined here is not sent to a target; what is said of it is true.

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
        SETTLE_DELAY,
        Standing,
        ToLedger,
        ToWatchlist,
        Watchlist, //
    },
};
use stair_telemetry::event::Line;
use stair_types::{
    Fingerprint,
    rendezvous, //
};
use tokio::{
    sync::oneshot,
    time::{
        sleep,
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

/// Agents that keep a ledger: two may be lost at once.
const LEDGERS: usize = 3;

/// The key of their order.
const LEDGER_KEY: &str = "quarantine";

/// Time for an agent to answer: a round trip and the longest pause of a busy VM.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Time for which an agent that has not answered is not asked.
const SKIP_TIME: Duration = Duration::from_millis(1000);

/// What an entry knows of requests that end targets.
#[derive(Default)]
pub(crate) struct Quarantine {
    pub(crate) watchlist: Watchlist,
    /// Kept while no agent is linked.
    own: Ledger,
    /// Questions that wait for their answer.
    open: Vec<Open>,
}

struct Open {
    seq: u64,
    engine: SocketAddr,
    tx: oneshot::Sender<bool>,
}

/// The run of a suspect, until this is dropped.
pub(crate) struct Trial {
    cx: Arc<Context>,
    fingerprint: Fingerprint,
    /// The engine whose agent has granted it; `None` for this entry itself.
    engine: Option<SocketAddr>,
}

/// Whether a request may be sent to a target now.
pub(crate) enum Gate {
    /// It may; a suspect's run counts until the trial is dropped.
    Open(Option<Trial>),
    /// Another run has to end before.
    Busy,
    /// It is not run for so long.
    Closed(Duration),
}

impl Drop for Trial {
    fn drop(&mut self) {
        let now = self.cx.now();
        let mut state = self.cx.state();
        match self.engine {
            Some(engine) => state.tell_ledger(engine, ToLedger::TrialEnded(self.fingerprint)),
            None => state.quarantine.own.end_trial(self.fingerprint, now),
        }
    }
}

/// What is known of a request; `None` for an ordinary one.
pub(crate) fn standing(cx: &Context, job: &Job) -> Option<Standing> {
    if cx.state().quarantine.watchlist.is_empty() {
        return None;
    }
    let outline = job.outline();
    if !cx.state().quarantine.watchlist.has_outline(outline) {
        return None;
    }
    // Taken without the lock, as its time grows with the body.
    let fingerprint = job.fingerprint();
    let now = cx.now();
    cx.state().quarantine.watchlist.standing(&fingerprint, now)
}

/// Time for which a request is not run.
pub(crate) fn held(cx: &Context, job: &Job) -> Option<Duration> {
    match standing(cx, job)? {
        Standing::Quarantined(left) => Some(left),
        Standing::Suspect | Standing::Cleared => None,
    }
}

/// Refuses a request that is quarantined.
///
/// # Errors
///
/// The refusal, with the time after which the request is run again.
pub(crate) fn admit(cx: &Context, job: &Job) -> Result<(), Refusal> {
    let Some(left) = held(cx, job) else {
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
        Some(Standing::Suspect) => trial(cx, job, target).await,
    }
}

async fn trial(cx: &Arc<Context>, job: &Job, target: &str) -> Gate {
    let fingerprint = job.fingerprint();
    let (granted, engine) = match ask(cx, fingerprint, target).await {
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

/// Asks the first agent that keeps a ledger; `None` when it does not answer.
async fn ask(
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
        state.quarantine.open.push(Open { seq, engine, tx });
        let msg = ToLedger::Trial {
            seq,
            fingerprint,
            target: target.into(),
        };
        state.tell_ledger(engine, msg);
        (engine, rx)
    };
    if let Ok(Ok(granted)) = timeout(ANSWER_TIME, rx).await {
        return Some((granted, engine));
    }
    Line::failure("quarantine.unanswered")
        .show("engine", engine)
        .write();
    let until = cx.now() + SKIP_TIME;
    let mut state = cx.state();
    state.quarantine.open.retain(|o| !o.tx.is_closed());
    state.skip_home(engine, until);
    None
}

/// Reports a crash to the agents that keep ledgers.
pub(crate) fn report(cx: &Arc<Context>, crash: Crash) {
    let now = cx.now();
    let mut state = cx.state();
    let engines = state.ledgers(now);
    for engine in &engines {
        state.tell_ledger(*engine, ToLedger::Crashed(crash.clone()));
    }
    if !engines.is_empty() {
        return;
    }
    state.quarantine.own.report(&crash, now);
    drop(state);
    let cx = cx.clone();
    tokio::spawn(async move {
        sleep(SETTLE_DELAY).await;
        let now = cx.now();
        let new = cx.state().quarantine.own.settle(now);
        apply(&cx, &new);
    });
}

/// Takes in that a target lives that has run a request.
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
        state.tell_ledger(engine, ToLedger::Survived(fingerprint));
    }
}

/// Takes in what an agent says.
pub(crate) fn receive(cx: &Context, engine: SocketAddr, msg: ToWatchlist) {
    match msg {
        ToWatchlist::Known(list) => apply(cx, &list),
        ToWatchlist::Trial { seq, granted } => {
            let mut state = cx.state();
            let open = &mut state.quarantine.open;
            let found = open.iter().position(|o| o.engine == engine && o.seq == seq);
            // The request that asked may have been given up.
            found.map(|i| open.swap_remove(i).tx.send(granted));
        }
    }
}

/// Tells an agent whose link has begun what is known here, if it keeps a ledger.
pub(crate) fn link_began(cx: &Context, engine: SocketAddr) {
    let now = cx.now();
    let state = cx.state();
    let known = state.quarantine.watchlist.notices(now);
    if !known.is_empty() && state.ledgers(now).contains(&engine) {
        state.tell_ledger(engine, ToLedger::Known(known));
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
    /// Drops the questions to an agent whose link has ended.
    pub(crate) fn link_ended(&mut self, engine: SocketAddr) {
        self.open.retain(|o| o.engine != engine);
    }
}

impl State {
    /// The engines whose agents keep the ledgers, best first.
    fn ledgers(&self, now: Duration) -> Vec<SocketAddr> {
        let answers = |a: &&AgentLink| a.linked && a.skipped_until <= now;
        let linked: Vec<_> = self.agents.iter().filter(answers).collect();
        let ranked = rendezvous::ranked(LEDGER_KEY, linked.iter().map(|a| &*a.name));
        let first = ranked.into_iter().take(LEDGERS);
        first.map(|i| linked[i].engine).collect()
    }

    fn tell_ledger(&self, engine: SocketAddr, msg: ToLedger) {
        if let Some(i) = self.agent(engine) {
            // An agent that does not read is one of several that are told.
            let _ = self.agents[i].tx.try_send(ToAgent::Quarantine(msg));
        }
    }
}
