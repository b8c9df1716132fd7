//! Charges the quota of a workspace for its requests.
//!
//! One agent, the [`owner`](crate::owner), counts a workspace for all entries. While no agent replies, an
//! entry grants requests from its own share of the quota.
//!
//! Invariant: a request is charged once, however many targets it is sent to, and not at all if it has not
//! run.

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

/// Limit for an agent's reply: a round trip and the longest pause of a busy VM.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which an agent that has not replied is not used.
const SKIP_DURATION: Duration = Duration::from_millis(1000);

/// Limit of the agents that are tried for one request.
const MAX_AGENTS: usize = 2;

/// A request waits for its quota for at most its objective divided by this; the rest is for serving it.
const WAIT_DIVISOR: u32 = 4;

/// A request whose cost is at most this fraction of its workspace's burst does not wait for the reply.
const SMALL_FRACTION: f64 = 1.0 / 50.0;

/// The state that an entry keeps about the quotas of workspaces.
#[derive(Default)]
pub struct Quotas {
    /// The time until which each workspace is overdrawn, sorted by workspace.
    overdrawn: Vec<(Box<str>, Duration)>,
    /// This entry's own shares, sorted by workspace.
    shares: Vec<(Box<str>, Bucket)>,
    /// Requests that wait for a reply.
    pending: Vec<PendingRequest>,
}

struct PendingRequest {
    seq: u64,
    engine: SocketAddr,
    workspace: Box<str>,
    cost: f64,
    /// `None` for a request that did not wait.
    tx: Option<oneshot::Sender<Reply>>,
}

/// Where a request was charged.
#[derive(Debug, Clone, Copy)]
enum CountedBy {
    Agent(SocketAddr),
    /// At this entry, from its own share.
    Entry,
}

/// The charge of one request; refunded on drop unless the request may have run.
pub struct Grant {
    cx: Arc<Context>,
    workspace: Box<str>,
    cost: f64,
    by: CountedBy,
    may_have_run: AtomicBool,
}

impl Grant {
    /// Sets whether a target may have run the request.
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
                    shares[i].1.refund(self.cost, now);
                }
            }
        }
    }
}

/// The request that is charged.
pub(crate) struct Options<'a> {
    /// The id of the request, for logs.
    pub(crate) id: &'a str,
    /// The version of the catalogue that declares the quota.
    pub(crate) version: u64,
    /// The tokens of its prompt and the upper bound of those of its response.
    pub(crate) tokens: u64,
    /// The time within which its client is promised a response.
    pub(crate) objective: Duration,
}

/// Charges a workspace for a request, and waits until the quota allows the request. Returns `None` where the
/// workspace has no quota.
///
/// # Errors
///
/// The refusal of a request that exceeds the quota of its workspace.
pub(crate) async fn charge(
    cx: &Arc<Context>,
    workspace: &Workspace,
    opts: &Options<'_>,
) -> Result<Option<Grant>, Refusal> {
    let Some(quota) = workspace.quota else {
        return Ok(None);
    };
    let cost = quota.unit.cost(opts.tokens);
    let mut request = Request {
        workspace: workspace.name.clone(),
        version: opts.version,
        quota,
        cost,
        max_wait: opts.objective / WAIT_DIVISOR,
        admitted: false,
        stand_in: false,
    };
    let small = cost <= quota.burst * SMALL_FRACTION;
    request.admitted = small && !cx.state().quotas.is_overdrawn(&request.workspace, cx.now());
    let (reply, by) = match request_from_agents(cx, &mut request).await {
        Some(both) => both,
        None => (charge_share(cx, &request), CountedBy::Entry),
    };
    count_outcome(cx, &reply, by);
    if !reply.granted {
        Line::failure("allowance.refused")
            .text("id", opts.id)
            .text("workspace", &request.workspace)
            .num("cost", cost as i64)
            .show("by", format_args!("{by:?}"))
            .ms("come_back_ms", reply.wait)
            .write();
        let retry_after = Some(reply.wait);
        return Err(Refusal::not_run(Reason::OverQuota, retry_after));
    }
    let grant = Grant {
        cx: cx.clone(),
        workspace: request.workspace,
        cost,
        by,
        may_have_run: AtomicBool::new(false),
    };
    // An admitted request does not wait, even if its workspace is overdrawn.
    if !request.admitted && !reply.wait.is_zero() {
        sleep(reply.wait).await;
    }
    Ok(Some(grant))
}

fn count_outcome(cx: &Context, reply: &Reply, by: CountedBy) {
    let by = match by {
        CountedBy::Agent(_) => "agent",
        CountedBy::Entry => "entry",
    };
    let outcome = if reply.granted { "granted" } else { "refused" };
    let labels = [("by", by), ("outcome", outcome)];
    cx.page.count("allowances_total", &labels, 1);
}

async fn request_from_agents(
    cx: &Arc<Context>,
    request: &mut Request,
) -> Option<(Reply, CountedBy)> {
    for _ in 0..MAX_AGENTS {
        let now = cx.now();
        let (engine, rx) = cx.state().request_quota(request, now)?;
        let by = CountedBy::Agent(engine);
        let Some(rx) = rx else {
            let reply = Reply {
                granted: true,
                wait: Duration::ZERO,
            };
            return Some((reply, by));
        };
        if let Ok(Ok(reply)) = timeout(REPLY_TIMEOUT, rx).await {
            return Some((reply, by));
        }
        Line::failure("allowance.unanswered")
            .text("workspace", &request.workspace)
            .show("engine", engine)
            .write();
        cx.state().skip_agent(engine, cx.now() + SKIP_DURATION);
    }
    None
}

/// Charges this entry's own share.
fn charge_share(cx: &Context, request: &Request) -> Reply {
    let now = cx.now();
    let entries = cx.entries();
    let own_share: Quota = share(request.quota, entries);
    let mut state = cx.state();
    let shares = &mut state.quotas.shares;
    let i = position(shares, &request.workspace).unwrap_or_else(|i| {
        shares.insert(i, (request.workspace.clone(), Bucket::new(own_share, now)));
        i
    });
    let bucket = &mut shares[i].1;
    bucket.set(own_share, now);
    bucket.spend(request.cost, request.max_wait, now)
}

/// Handles an agent's reply.
pub(crate) fn receive_reply(cx: &Context, engine: SocketAddr, seq: u64, reply: Reply) {
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
    state.quotas.record_wait(&one.workspace, now + reply.wait);
    let unused = one.tx.is_some_and(|tx| tx.send(reply).is_err());
    if unused && reply.granted {
        state.refund(engine, &one.workspace, one.cost);
    }
}

impl Quotas {
    /// Drops the requests to an agent whose link has ended.
    pub(crate) fn link_ended(&mut self, engine: SocketAddr) {
        self.pending.retain(|o| o.engine != engine);
    }

    /// The workspaces that are overdrawn, and the remaining time.
    pub(crate) fn overdrawn(&self, now: Duration) -> impl Iterator<Item = (&str, Duration)> {
        let overdrawn = self.overdrawn.iter().filter(move |(_, until)| now < *until);
        overdrawn.map(move |(name, until)| (&**name, until.saturating_sub(now)))
    }

    fn is_overdrawn(&self, workspace: &str, now: Duration) -> bool {
        position(&self.overdrawn, workspace).is_ok_and(|i| now < self.overdrawn[i].1)
    }

    fn record_wait(&mut self, workspace: &str, until: Duration) {
        match position(&self.overdrawn, workspace) {
            Ok(i) => self.overdrawn[i].1 = until,
            Err(i) => self.overdrawn.insert(i, (workspace.into(), until)),
        }
    }
}

impl State {
    /// Sends a request to the owner of a workspace. The receiver is missing for a request that does not wait.
    fn request_quota(
        &mut self,
        request: &mut Request,
        now: Duration,
    ) -> Option<(SocketAddr, Option<oneshot::Receiver<Reply>>)> {
        let owner = self.owner(&request.workspace, now)?;
        request.stand_in = owner.stand_in;
        let seq = self.next_seq();
        let i = self.agent(owner.engine)?;
        let msg = ToAgent::QuotaRequest {
            seq,
            request: request.clone(),
        };
        self.agents[i].tx.try_send(msg).ok()?;
        let (tx, rx) = match request.admitted {
            true => (None, None),
            false => {
                let (tx, rx) = oneshot::channel();
                (Some(tx), Some(rx))
            }
        };
        self.quotas.pending.push(PendingRequest {
            seq,
            engine: owner.engine,
            workspace: request.workspace.clone(),
            cost: request.cost,
            tx,
        });
        Some((owner.engine, rx))
    }

    fn refund(&self, engine: SocketAddr, workspace: &str, cost: f64) {
        if let Some(i) = self.agent(engine) {
            let msg = ToAgent::QuotaRefund {
                workspace: workspace.into(),
                cost,
            };
            // A full queue drops the refund. Such an agent is not used any more, nor is its count.
            let _ = self.agents[i].tx.try_send(msg);
        }
    }
}

fn position<T>(list: &[(Box<str>, T)], workspace: &str) -> Result<usize, usize> {
    list.binary_search_by(|(name, _)| (**name).cmp(workspace))
}
