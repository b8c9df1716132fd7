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
    msg::ToAgent,
    quota::{
        Bucket,
        Reply,
        Request,
        share, //
    },
    workspace::{
        Quota,
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
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Time for which an agent that has not answered is not asked.
const SKIP_TIME: Duration = Duration::from_millis(1000);

/// Agents that one request asks at most.
const MAX_ASKED: usize = 2;

/// The part of its objective that a request may wait for its allowance; the rest is for serving it.
const WAIT_PART: u32 = 4;

/// A request that costs less than this part of its workspace's burst does not wait for the answer.
const SMALL_PART: f64 = 1.0 / 50.0;

/// What an entry keeps of workspaces' allowances.
#[derive(Default)]
pub struct Allowances {
    /// Until when each workspace owes, sorted by workspace.
    owing: Vec<(Box<str>, Duration)>,
    /// This entry's own parts, sorted by workspace.
    shares: Vec<(Box<str>, Bucket)>,
    /// Questions that wait for their answer.
    open: Vec<Open>,
}

struct Open {
    seq: u64,
    engine: SocketAddr,
    workspace: Box<str>,
    cost: f64,
    /// `None` for a request that did not wait.
    tx: Option<oneshot::Sender<Reply>>,
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
    sent: AtomicBool,
}

impl Grant {
    /// Notes whether the request may have run.
    pub fn note_sent(&self, sent: bool) {
        self.sent.store(sent, Ordering::Relaxed);
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if self.sent.load(Ordering::Relaxed) {
            return;
        }
        let now = self.cx.now();
        let mut state = self.cx.state();
        match self.by {
            CountedBy::Agent(engine) => state.give_back(engine, &self.workspace, self.cost),
            CountedBy::Entry => {
                let shares = &mut state.allowances.shares;
                if let Ok(i) = position(shares, &self.workspace) {
                    shares[i].1.refund(self.cost, now);
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
    let Some(allowance) = workspace.quota else {
        return Ok(None);
    };
    let cost = allowance.unit.cost(opts.tokens);
    let mut ask = Request {
        workspace: workspace.name.clone(),
        version: opts.version,
        quota: allowance,
        cost,
        max_wait: opts.objective / WAIT_PART,
        admitted: false,
        stand_in: false,
    };
    let small = cost <= allowance.burst * SMALL_PART;
    ask.admitted = small && !cx.state().allowances.owes(&ask.workspace, cx.now());
    let (answer, by) = match ask_agents(cx, &mut ask).await {
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
        let come_back = Some(answer.wait);
        return Err(Refusal::not_run(Reason::OverAllowance, come_back));
    }
    let grant = Grant {
        cx: cx.clone(),
        workspace: ask.workspace,
        cost,
        by,
        sent: AtomicBool::new(false),
    };
    // A request that does not wait has nothing to do with what its workspace owes.
    if !ask.admitted && !answer.wait.is_zero() {
        sleep(answer.wait).await;
    }
    Ok(Some(grant))
}

fn count(cx: &Context, answer: &Reply, by: CountedBy) {
    let by = match by {
        CountedBy::Agent(_) => "agent",
        CountedBy::Entry => "entry",
    };
    let outcome = if answer.granted { "granted" } else { "refused" };
    let labels = [("by", by), ("outcome", outcome)];
    cx.page.count("allowances_total", &labels, 1);
}

async fn ask_agents(cx: &Arc<Context>, ask: &mut Request) -> Option<(Reply, CountedBy)> {
    for _ in 0..MAX_ASKED {
        let now = cx.now();
        let (engine, rx) = cx.state().ask_allowance(ask, now)?;
        let by = CountedBy::Agent(engine);
        let Some(rx) = rx else {
            let answer = Reply {
                granted: true,
                wait: Duration::ZERO,
            };
            return Some((answer, by));
        };
        if let Ok(Ok(answer)) = timeout(ANSWER_TIME, rx).await {
            return Some((answer, by));
        }
        Line::failure("allowance.unanswered")
            .text("workspace", &ask.workspace)
            .show("engine", engine)
            .write();
        cx.state().skip_home(engine, cx.now() + SKIP_TIME);
    }
    None
}

/// Takes from this entry's own part.
fn take_share(cx: &Context, ask: &Request) -> Reply {
    let now = cx.now();
    let entries = cx.entries();
    let part: Quota = share(ask.quota, entries);
    let mut state = cx.state();
    let shares = &mut state.allowances.shares;
    let i = position(shares, &ask.workspace).unwrap_or_else(|i| {
        shares.insert(i, (ask.workspace.clone(), Bucket::new(part, now)));
        i
    });
    let bucket = &mut shares[i].1;
    bucket.set(part, now);
    bucket.spend(ask.cost, ask.max_wait, now)
}

/// Takes in an agent's answer.
pub(crate) fn answered(cx: &Context, engine: SocketAddr, seq: u64, answer: Reply) {
    let now = cx.now();
    let mut state = cx.state();
    let open = &mut state.allowances.open;
    let Some(i) = open.iter().position(|o| o.engine == engine && o.seq == seq) else {
        return;
    };
    let one = open.swap_remove(i);
    state
        .allowances
        .note_wait(&one.workspace, now + answer.wait);
    let unused = one.tx.is_some_and(|tx| tx.send(answer).is_err());
    if unused && answer.granted {
        state.give_back(engine, &one.workspace, one.cost);
    }
}

impl Allowances {
    /// Drops the questions to an agent whose link has ended.
    pub(crate) fn link_ended(&mut self, engine: SocketAddr) {
        self.open.retain(|o| o.engine != engine);
    }

    /// Workspaces that owe, and for how long yet.
    pub(crate) fn owing(&self, now: Duration) -> impl Iterator<Item = (&str, Duration)> {
        let owing = self.owing.iter().filter(move |(_, until)| now < *until);
        owing.map(move |(name, until)| (&**name, until.saturating_sub(now)))
    }

    fn owes(&self, workspace: &str, now: Duration) -> bool {
        position(&self.owing, workspace).is_ok_and(|i| now < self.owing[i].1)
    }

    fn note_wait(&mut self, workspace: &str, until: Duration) {
        match position(&self.owing, workspace) {
            Ok(i) => self.owing[i].1 = until,
            Err(i) => self.owing.insert(i, (workspace.into(), until)),
        }
    }
}

impl State {
    /// Asks the agent that counts a workspace. The receiver is missing for a request that does not wait.
    fn ask_allowance(
        &mut self,
        ask: &mut Request,
        now: Duration,
    ) -> Option<(SocketAddr, Option<oneshot::Receiver<Reply>>)> {
        let home = self.home(&ask.workspace, now)?;
        ask.stand_in = home.stand_in;
        let seq = self.next_seq();
        let i = self.agent(home.engine)?;
        let msg = ToAgent::QuotaRequest {
            seq,
            request: ask.clone(),
        };
        self.agents[i].tx.try_send(msg).ok()?;
        let (tx, rx) = match ask.admitted {
            true => (None, None),
            false => {
                let (tx, rx) = oneshot::channel();
                (Some(tx), Some(rx))
            }
        };
        self.allowances.open.push(Open {
            seq,
            engine: home.engine,
            workspace: ask.workspace.clone(),
            cost: ask.cost,
            tx,
        });
        Some((home.engine, rx))
    }

    fn give_back(&self, engine: SocketAddr, workspace: &str, cost: f64) {
        if let Some(i) = self.agent(engine) {
            let msg = ToAgent::QuotaRefund {
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
