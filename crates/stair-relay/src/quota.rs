//! Takes the cost of a request from the allowance of its workspace.
//!
//! One agent counts a workspace for all entries: the first that answers, in an order on which all entries agree. While
//! none answers, an entry admits its own share.
//!
//! Invariant: a request is counted once, however many targets it is sent to, and not at all if it has not run.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};

use stair_fleet::{
    allowance::{
        Answer,
        Ask,
        Bucket,
        share, //
    },
    msg::ToAgent,
    workspace::{
        Allowance,
        Workspace, //
    },
};
use stair_telemetry::event::Line;
use tokio::{
    sync::oneshot,
    time::{
        sleep,
        timeout, //
    },
};

use crate::{
    context::{
        Context,
        State, //
    },
    refuse::{
        Reason,
        Refusal, //
    },
};

/// Time for an agent to answer: a round trip and the longest pause of a busy VM.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which an agent that has not answered is not asked.
const SKIP_DURATION: Duration = Duration::from_millis(1000);

/// Agents that one request asks at most.
const MAX_AGENTS: usize = 2;

/// The part of its objective that a request may wait for its allowance; the rest is for serving it.
const WAIT_DIVISOR: u32 = 4;

/// A request that costs less than this part of its workspace's burst does not wait for the answer.
const SMALL_FRACTION: f64 = 1.0 / 50.0;

/// What an entry keeps of workspaces' allowances.
#[derive(Default)]
pub struct Quotas {
    /// Until when each workspace owes, sorted by workspace.
    overdrawn: Vec<(Box<str>, Duration)>,
    /// This entry's own parts, sorted by workspace.
    shares: Vec<(Box<str>, Bucket)>,
    /// Questions that wait for their answer.
    pending: Vec<PendingRequest>,
}

struct PendingRequest {
    seq: u64,
    engine: SocketAddr,
    workspace: Box<str>,
    cost: f64,
    /// `None` for a request that did not wait.
    tx: Option<oneshot::Sender<Answer>>,
}

/// Who counted a request.
#[derive(Debug, Clone, Copy)]
enum CountedBy {
    Agent(SocketAddr),
    /// This entry, from its own part.
    Entry,
}

/// What one request has taken; given back when dropped, unless the request was sent.
pub struct Grant {
    cx: Arc<Context>,
    workspace: Box<str>,
    cost: f64,
    by: CountedBy,
    may_have_run: AtomicBool,
}

impl Grant {
    /// Notes whether the request may have run.
    pub fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.store(may_have_run, Ordering::Relaxed);
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if self.may_have_run.load(Ordering::Relaxed) {
            return;
        }
        let now = self.cx.now();
        let mut state = self.cx.state();
        match self.by {
            CountedBy::Agent(engine) => state.refund(engine, &self.workspace, self.cost),
            CountedBy::Entry => {
                let shares = &mut state.quotas.shares;
                if let Ok(i) = position(shares, &self.workspace) {
                    shares[i].1.give_back(self.cost, now);
                }
            }
        }
    }
}

/// A request that takes from its workspace's allowance.
pub(crate) struct Options<'a> {
    /// Its id.
    pub(crate) id: &'a str,
    /// The version of the catalogue in force.
    pub(crate) version: u64,
    /// The tokens of its prompt and of its answer at most.
    pub(crate) tokens: u64,
    /// The time within which its client is promised an answer.
    pub(crate) objective: Duration,
}

/// Takes what a request costs; `None` where its workspace has no limit.
///
/// # Errors
///
/// The refusal of a request that its workspace's allowance has no room for.
pub(crate) async fn take(
    cx: &Arc<Context>,
    workspace: &Workspace,
    opts: &Options<'_>,
) -> Result<Option<Grant>, Refusal> {
    let Some(allowance) = workspace.allowance else {
        return Ok(None);
    };
    let cost = allowance.unit.cost(opts.tokens);
    let mut ask = Ask {
        workspace: workspace.name.clone(),
        version: opts.version,
        allowance,
        cost,
        limit: opts.objective / WAIT_DIVISOR,
        passed: false,
        stand_in: false,
    };
    let small = cost <= allowance.burst * SMALL_FRACTION;
    ask.passed = small && !cx.state().quotas.is_overdrawn(&ask.workspace, cx.now());
    let (answer, by) = match request_from_agents(cx, &mut ask).await {
        Some(both) => both,
        None => (take_share(cx, &ask), CountedBy::Entry),
    };
    count(cx, &answer, by);
    if !answer.granted {
        Line::failure("allowance.refused")
            .text("id", opts.id)
            .text("workspace", &ask.workspace)
            .num("cost", cost as i64)
            .show("by", format_args!("{by:?}"))
            .ms("come_back_ms", answer.wait)
            .write();
        let retry_after = Some(answer.wait);
        return Err(Refusal::not_run(Reason::OverQuota, retry_after));
    }
    let grant = Grant {
        cx: cx.clone(),
        workspace: ask.workspace,
        cost,
        by,
        may_have_run: AtomicBool::new(false),
    };
    // A request that does not wait has nothing to do with what its workspace owes.
    if !ask.passed && !answer.wait.is_zero() {
        sleep(answer.wait).await;
    }
    Ok(Some(grant))
}

fn count(cx: &Context, answer: &Answer, by: CountedBy) {
    let by = match by {
        CountedBy::Agent(_) => "agent",
        CountedBy::Entry => "entry",
    };
    let outcome = if answer.granted { "granted" } else { "refused" };
    let labels = [("by", by), ("outcome", outcome)];
    cx.page.count("allowances_total", &labels, 1);
}

async fn request_from_agents(cx: &Arc<Context>, ask: &mut Ask) -> Option<(Answer, CountedBy)> {
    for _ in 0..MAX_AGENTS {
        let now = cx.now();
        let (engine, rx) = cx.state().request_quota(ask, now)?;
        let by = CountedBy::Agent(engine);
        let Some(rx) = rx else {
            let answer = Answer {
                granted: true,
                wait: Duration::ZERO,
            };
            return Some((answer, by));
        };
        if let Ok(Ok(answer)) = timeout(REPLY_TIMEOUT, rx).await {
            return Some((answer, by));
        }
        Line::failure("allowance.unanswered")
            .text("workspace", &ask.workspace)
            .show("engine", engine)
            .write();
        cx.state().skip_agent(engine, cx.now() + SKIP_DURATION);
    }
    None
}

/// Takes from this entry's own part.
fn take_share(cx: &Context, ask: &Ask) -> Answer {
    let now = cx.now();
    let entries = cx.entries();
    let part: Allowance = share(ask.allowance, entries);
    let mut state = cx.state();
    let shares = &mut state.quotas.shares;
    let i = position(shares, &ask.workspace).unwrap_or_else(|i| {
        shares.insert(i, (ask.workspace.clone(), Bucket::new(part, now)));
        i
    });
    let bucket = &mut shares[i].1;
    bucket.set(part, now);
    bucket.spend(ask.cost, ask.limit, now)
}

/// Takes in an agent's answer.
pub(crate) fn receive_reply(cx: &Context, engine: SocketAddr, seq: u64, answer: Answer) {
    let now = cx.now();
    let mut state = cx.state();
    let pending = &mut state.quotas.pending;
    let Some(i) = pending
        .iter()
        .position(|o| o.engine == engine && o.seq == seq)
    else {
        return;
    };
    let one = pending.swap_remove(i);
    state.quotas.note_wait(&one.workspace, now + answer.wait);
    let unused = one.tx.is_some_and(|tx| tx.send(answer).is_err());
    if unused && answer.granted {
        state.refund(engine, &one.workspace, one.cost);
    }
}

impl Quotas {
    /// Drops the questions to an agent whose link has ended.
    pub(crate) fn link_ended(&mut self, engine: SocketAddr) {
        self.pending.retain(|o| o.engine != engine);
    }

    /// Workspaces that owe, and for how long yet.
    pub(crate) fn overdrawn(&self, now: Duration) -> impl Iterator<Item = (&str, Duration)> {
        let overdrawn = self.overdrawn.iter().filter(move |(_, until)| now < *until);
        overdrawn.map(move |(name, until)| (&**name, until.saturating_sub(now)))
    }

    fn is_overdrawn(&self, workspace: &str, now: Duration) -> bool {
        position(&self.overdrawn, workspace).is_ok_and(|i| now < self.overdrawn[i].1)
    }

    fn note_wait(&mut self, workspace: &str, until: Duration) {
        match position(&self.overdrawn, workspace) {
            Ok(i) => self.overdrawn[i].1 = until,
            Err(i) => self.overdrawn.insert(i, (workspace.into(), until)),
        }
    }
}

impl State {
    /// Asks the agent that counts a workspace. The receiver is missing for a request that does not wait.
    fn request_quota(
        &mut self,
        ask: &mut Ask,
        now: Duration,
    ) -> Option<(SocketAddr, Option<oneshot::Receiver<Answer>>)> {
        let owner = self.owner(&ask.workspace, now)?;
        ask.stand_in = owner.is_fallback;
        let seq = self.next_seq();
        let i = self.agent(owner.engine)?;
        let msg = ToAgent::Allow {
            seq,
            ask: ask.clone(),
        };
        self.agents[i].tx.try_send(msg).ok()?;
        let (tx, rx) = match ask.passed {
            true => (None, None),
            false => {
                let (tx, rx) = oneshot::channel();
                (Some(tx), Some(rx))
            }
        };
        self.quotas.pending.push(PendingRequest {
            seq,
            engine: owner.engine,
            workspace: ask.workspace.clone(),
            cost: ask.cost,
            tx,
        });
        Some((owner.engine, rx))
    }

    fn refund(&self, engine: SocketAddr, workspace: &str, cost: f64) {
        if let Some(i) = self.agent(engine) {
            let msg = ToAgent::GiveBack {
                workspace: workspace.into(),
                cost,
            };
            // An agent that does not read is asked no more, and what it counts with it.
            let _ = self.agents[i].tx.try_send(msg);
        }
    }
}

fn position<T>(list: &[(Box<str>, T)], workspace: &str) -> Result<usize, usize> {
    list.binary_search_by(|(name, _)| (**name).cmp(workspace))
}
