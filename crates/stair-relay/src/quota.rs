//! Charges the quota of a workspace for its requests.
//!
//! One agent, the [`owner`](crate::owner), counts a workspace for all entries. While no agent replies, an
//! entry grants requests from its own share of the quota. Agents with a slack have an order among the requests of
//! a workspace whose quota is short; other agents get the requests of earlier releases.
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
        Ledger,
        OrderedReply,
        OrderedRequest,
        Refused,
        Reply,
        Request,
        share, //
    },
    workspace::Workspace, //
};
use stair_telemetry::event::Line;
use tokio::{
    sync::oneshot,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

use crate::{
    context::{
        Context,
        State, //
    },
    job::Job,
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

/// Time for which a quota counts as short after an agent has replied that it is. Until then, small requests wait
/// for the reply too, or they would bypass the order.
const SHORT_TTL: Duration = Duration::from_millis(1000);

/// The state that an entry keeps about the quotas of workspaces.
#[derive(Default)]
pub struct Quotas {
    /// The time until which each workspace is overdrawn, sorted by workspace.
    overdrawn: Vec<(Box<str>, Duration)>,
    /// This entry's own shares.
    shares: Ledger,
    /// Requests that wait for a reply.
    pending: Vec<PendingRequest>,
}

struct PendingRequest {
    seq: u64,
    sent_at: Duration,
    engine: SocketAddr,
    workspace: Box<str>,
    cost: f64,
    /// `None` for a request that did not wait.
    tx: Option<oneshot::Sender<OrderedReply>>,
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
                shares.refund(&self.workspace, self.cost, now);
            }
        }
    }
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
    job: &Job,
) -> Result<Option<Grant>, Refusal> {
    let Some(quota) = workspace.quota else {
        return Ok(None);
    };
    let (meta, route) = (&job.meta, &job.route);
    let tokens = meta.prompt_tokens.saturating_add(meta.response_tokens);
    let cost = quota.bounded(quota.unit.cost(tokens));
    let small = cost <= quota.burst * SMALL_FRACTION;
    let is_bounded = cx.quota_slack() > 0.0;
    let admitted = small && cx.state().may_admit(&workspace.name, is_bounded, cx.now());
    let mut request = OrderedRequest {
        request: Request {
            workspace: workspace.name.clone(),
            version: job.catalogue.version,
            quota,
            cost,
            max_wait: route.objective / WAIT_DIVISOR,
            admitted,
            stand_in: false,
        },
        // All requests here are of one workspace, so its own rank says nothing about their order.
        rank: route.rank,
        route: route.name.clone(),
        fingerprint: (!admitted).then(|| job.fingerprint()),
        objective: route.objective,
        time_left: job.deadline.saturating_duration_since(Instant::now()),
        passed_over: Vec::new(),
        entries: 0,
    };
    let (reply, by) = match request_from_agents(cx, &mut request).await {
        Some(both) => both,
        None => (charge_share(cx, &mut request), CountedBy::Entry),
    };
    let OrderedRequest { request, .. } = request;
    let Reply { granted, wait } = reply.reply;
    count_outcome(cx, &reply.reply, by);
    if !granted {
        let rule = match (reply.refused, by) {
            (Some(refused), _) => refused.rule.as_str(),
            (None, CountedBy::Agent(_)) => "bucket",
            (None, CountedBy::Entry) => "share",
        };
        let lacking = wait.as_secs_f64() * quota.per_s;
        let is = |of: fn(&Refused) -> bool| reply.refused.as_ref().is_some_and(of);
        Line::failure("allowance.refused")
            .text("id", &meta.id)
            .text("workspace", &request.workspace)
            .num("cost", cost as i64)
            .show("by", format_args!("{by:?}"))
            .ms("come_back_ms", wait)
            .num("rank", route.rank)
            .text("route", &route.name)
            .text("rule", rule)
            .num(
                "short_by",
                reply.refused.map_or(lacking, |r| r.short_by) as i64,
            )
            .flag("reserved", is(|r| r.reserved))
            .flag("again", is(|r| r.again))
            .write();
        let rank = route.rank.to_string();
        let labels = [("rank", &*rank), ("rule", rule)];
        cx.page.count("quota_refusals_total", &labels, 1);
        return Err(Refusal::not_run(Reason::OverQuota, Some(wait)));
    }
    let grant = Grant {
        cx: cx.clone(),
        workspace: request.workspace,
        cost,
        by,
        may_have_run: AtomicBool::new(false),
    };
    // An admitted request does not wait, even if its workspace is overdrawn.
    if !request.admitted && !wait.is_zero() {
        sleep(wait).await;
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

/// The reply of a process without an order.
pub(crate) fn unordered(reply: Reply) -> OrderedReply {
    OrderedReply {
        reply,
        short: false,
        refused: None,
    }
}

async fn request_from_agents(
    cx: &Arc<Context>,
    request: &mut OrderedRequest,
) -> Option<(OrderedReply, CountedBy)> {
    for _ in 0..MAX_AGENTS {
        let now = cx.now();
        let (engine, rx) = cx.state().request_quota(request, now)?;
        let by = CountedBy::Agent(engine);
        let Some(rx) = rx else {
            let reply = unordered(Reply {
                granted: true,
                wait: Duration::ZERO,
            });
            return Some((reply, by));
        };
        if let Ok(Ok(reply)) = timeout(REPLY_TIMEOUT, rx).await {
            return Some((reply, by));
        }
        Line::failure("allowance.unanswered")
            .text("workspace", &request.request.workspace)
            .show("engine", engine)
            .write();
        cx.state().skip_agent(engine, cx.now() + SKIP_DURATION);
    }
    None
}

/// Charges this entry's own share.
fn charge_share(cx: &Context, request: &mut OrderedRequest) -> OrderedReply {
    let now = cx.now();
    let entries = cx.entries();
    let slack = cx.quota_slack() / f64::from(entries.max(1));
    let mut own = request.clone();
    own.request.quota = share(request.request.quota, entries);
    own.request.admitted = false;
    // The share was not used before the agents were lost, and its credit must not add to theirs.
    own.request.stand_in = slack > 0.0;
    let mut state = cx.state();
    let shares = &mut state.quotas.shares;
    shares.set_slack(slack);
    if slack > 0.0 {
        request.request.admitted = false;
        return shares.handle_ordered(&own, now).0;
    }
    unordered(shares.handle(&own.request, now).0)
}

/// Handles an agent's reply.
pub(crate) fn receive_reply(cx: &Context, engine: SocketAddr, seq: u64, reply: OrderedReply) {
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
    let until = now
        + if reply.short {
            SHORT_TTL
        } else {
            reply.reply.wait
        };
    state.quotas.record_wait(&one.workspace, until);
    let unused = one.tx.is_some_and(|tx| tx.send(reply).is_err());
    if unused && reply.reply.granted {
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

    /// Whether an agent has not replied in time to a request of this workspace.
    fn is_unanswered(&self, workspace: &str, engine: SocketAddr, now: Duration) -> bool {
        let old = |o: &&PendingRequest| o.sent_at + REPLY_TIMEOUT < now;
        let mut old = self.pending.iter().filter(old);
        old.any(|o| o.engine == engine && *o.workspace == *workspace)
    }

    fn record_wait(&mut self, workspace: &str, until: Duration) {
        match position(&self.overdrawn, workspace) {
            Ok(i) => self.overdrawn[i].1 = until,
            Err(i) => self.overdrawn.insert(i, (workspace.into(), until)),
        }
    }
}

impl State {
    /// Whether a small request of a workspace may be sent before the reply to its charge.
    ///
    /// Where a slack bounds what runs, not while the agent does not reply. A new link to a frozen agent opens too, so
    /// that does not depend on what the agent can do.
    fn may_admit(&mut self, workspace: &str, is_bounded: bool, now: Duration) -> bool {
        if self.quotas.is_overdrawn(workspace, now) {
            return false;
        }
        let owner = self.owner(workspace, now).map(|o| o.engine);
        let Some((engine, i)) = owner.and_then(|e| Some((e, self.agent(e)?))) else {
            return true;
        };
        let is_bounded = is_bounded || self.agents[i].features.quota_order;
        !is_bounded || !self.quotas.is_unanswered(workspace, engine, now)
    }

    /// Sends a request to the owner of a workspace. The receiver is missing for a request that does not wait.
    fn request_quota(
        &mut self,
        ordered: &mut OrderedRequest,
        now: Duration,
    ) -> Option<(SocketAddr, Option<oneshot::Receiver<OrderedReply>>)> {
        let request = &mut ordered.request;
        let owner = self.owner(&request.workspace, now)?;
        request.stand_in = owner.stand_in;
        ordered.passed_over = owner.passed_over;
        ordered.entries = self.linked_entries();
        let seq = self.next_seq();
        let i = self.agent(owner.engine)?;
        let msg = match self.agents[i].features.quota_order {
            true => ToAgent::OrderedQuota {
                seq,
                request: Box::new(ordered.clone()),
            },
            false => ToAgent::QuotaRequest {
                seq,
                request: request.clone(),
            },
        };
        let request = &ordered.request;
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
            sent_at: now,
            engine: owner.engine,
            workspace: request.workspace.clone(),
            cost: request.cost,
            tx,
        });
        Some((owner.engine, rx))
    }

    /// The number of entries that are linked to the agent with the most.
    fn linked_entries(&self) -> u32 {
        let linked = self.agents.iter().filter(|a| a.linked);
        linked.map(|a| a.entries).max().unwrap_or(0)
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
