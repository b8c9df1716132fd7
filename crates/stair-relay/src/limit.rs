//! Keeps the limits that targets name for all entries and agents together.
//!
//! One agent counts each limited target: an engine's own agent, or the [`owner`](crate::owner) of a
//! plain target. While it does not reply, the next agent stands in for it; without any agent, an entry grants
//! permits from its own share of the limit.
//! [`rate_limit`](stair_fleet::rate_limit) defines the decisions.
//!
//! Invariant: nothing is sent to a target whose limit is known here without a permit, and a permit is
//! used once.

mod statements;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration, //
};

use stair_fleet::{
    msg::ToAgent,
    rate_limit::{
        CachedLimit,
        Ledger,
        REPLY_TIMEOUT,
        Reply,
        SKIP_DURATION,
        Source,
        Stamp,
        ToLedger,
        ToSender,
        share, //
    },
    view::TargetKey,
};
use stair_telemetry::event::Line;
use tokio::{
    sync::mpsc,
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
    prefill,
    select::RUN_DURATION, //
};

pub(crate) use statements::observe;
use statements::{
    apply,
    counted_target,
    receive_all, //
};

/// A request waits for a permit of the target that it tries first for its objective divided by this.
const FIRST_WAIT_DIVISOR: u32 = 8;

/// The state that an entry keeps beside the limits themselves, which are in the view.
pub struct Limits {
    /// Counts the entry's own shares.
    own: Ledger,
    /// Requests that wait for a reply.
    pending: Vec<PendingRequest>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            // Differs from the epochs of all agents.
            own: Ledger::new(rand::random()),
            pending: Vec::new(),
        }
    }
}

impl Limits {
    /// Drops the requests to an agent whose link has ended.
    pub(crate) fn link_ended(&mut self, engine: SocketAddr) {
        self.pending.retain(|o| o.engine != engine);
    }
}

struct PendingRequest {
    seq: u64,
    engine: SocketAddr,
    tx: mpsc::Sender<Progress>,
}

/// What an agent has replied so far.
enum Progress {
    Queued,
    Done(Reply),
}

/// Where a permit was counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CountedBy {
    Agent(SocketAddr),
    /// An agent that replaces the one that does not reply.
    StandIn(SocketAddr),
    /// At this entry, from its own share.
    Entry,
}

impl CountedBy {
    fn engine(self) -> Option<SocketAddr> {
        match self {
            Self::Agent(engine) | Self::StandIn(engine) => Some(engine),
            Self::Entry => None,
        }
    }
}

/// The permit to send one request to a limited target; returned on drop unless it was used.
pub struct Permit {
    cx: Arc<Context>,
    target: Box<str>,
    by: CountedBy,
    stamp: Stamp,
    used: AtomicBool,
}

impl Permit {
    /// Records that the request is sent.
    pub(crate) fn set_used(&self) {
        self.used.store(true, Ordering::Relaxed);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.used.load(Ordering::Relaxed) {
            let msg = ToLedger::Unused {
                target: self.target.clone(),
            };
            let now = self.cx.now();
            self.cx.state().send_to_limiter(self.by, msg, now);
        }
    }
}

/// The longest useful waits of a request for a permit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waits {
    /// At a target that it tries first, as others may be free.
    pub(crate) first: Duration,
    /// At the best target, with which the response is not too late.
    pub(crate) longest: Duration,
}

impl Waits {
    pub(crate) fn of(job: &Job, opts: &prefill::Options) -> Self {
        let objective = job.route.objective;
        let end = opts
            .until
            .min(opts.since + objective * prefill::LATE_FACTOR);
        let run = match job.model_of_engine() {
            Some(_) => RUN_DURATION,
            None => Duration::ZERO,
        };
        let longest = end
            .saturating_duration_since(Instant::now())
            .saturating_sub(run);
        Self {
            first: longest.min(objective / FIRST_WAIT_DIVISOR),
            longest,
        }
    }
}

/// Whether a request may be sent to a target.
pub(crate) enum Permission {
    /// It may, with a permit if the target has a limit.
    Granted(Option<Box<Permit>>),
    /// The limit does not allow it in time; the time after which it may.
    Refused(Duration),
}

/// The request to an agent; withdrawn on drop.
struct Waiting<'a> {
    cx: &'a Context,
    by: CountedBy,
    target: &'a str,
    seq: u64,
    is_done: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        let mut state = self.cx.state();
        let seq = self.seq;
        state.limits.pending.retain(|o| o.seq != seq);
        let msg = ToLedger::Cancel {
            target: self.target.into(),
            seq,
        };
        let now = self.cx.now();
        state.send_to_limiter(self.by, msg, now);
    }
}

/// Requests a permit for one attempt at a target, and waits for it for at most `max_wait`.
pub(crate) async fn request(
    cx: &Arc<Context>,
    job: &Job,
    key: TargetKey,
    max_wait: Duration,
) -> Permission {
    let begun = Instant::now();
    let Some((target, known)) = cached_limit(cx, key) else {
        return Permission::Granted(None);
    };
    let (reply, by) = match request_from_agent(cx, job, key, &target, known, max_wait).await {
        Some(both) => both,
        None => {
            let reply = request_share(cx, &target, known, max_wait).await;
            (reply, CountedBy::Entry)
        }
    };
    record_reply(cx, key, &reply, by);
    let waited = begun.elapsed();
    let Some(stamp) = reply.granted else {
        Line::failure("limit.refused")
            .text("id", &job.meta.id)
            .text("target", &target)
            .show("per_s", known.rate)
            .show("by", format_args!("{by:?}"))
            .ms("come_back_ms", reply.retry_after)
            .ms("took_ms", waited)
            .write();
        return Permission::Refused(reply.retry_after);
    };
    Line::new("limit.granted")
        .text("id", &job.meta.id)
        .text("target", &target)
        .show("per_s", known.rate)
        .show("by", format_args!("{by:?}"))
        .ms("took_ms", waited)
        .write();
    Permission::Granted(Some(Box::new(Permit {
        cx: cx.clone(),
        target,
        by,
        stamp,
        used: AtomicBool::new(false),
    })))
}

fn cached_limit(cx: &Context, key: TargetKey) -> Option<(Box<str>, CachedLimit)> {
    let state = cx.state();
    let target_state = state.view.get(key);
    let limit = target_state.limit?;
    let known = CachedLimit {
        rate: limit.rate,
        epoch: limit.epoch,
    };
    Some((target_state.target.id.clone(), known))
}

/// Counts the reply, and records when the target may get its next request.
fn record_reply(cx: &Context, key: TargetKey, reply: &Reply, by: CountedBy) {
    let now = cx.now();
    let mut state = cx.state();
    if let Some(limit) = &mut state.view.get_mut(key).limit {
        limit.free_at = now + reply.next;
    }
    drop(state);
    let by = match by {
        CountedBy::Agent(_) => "agent",
        CountedBy::StandIn(_) => "stand-in",
        CountedBy::Entry => "entry",
    };
    let outcome = if reply.granted.is_some() {
        "granted"
    } else {
        "refused"
    };
    let labels = [("by", by), ("outcome", outcome)];
    cx.page.count("permits_total", &labels, 1);
}

/// Requests a permit from the agent that counts the target; `None` when it does not reply.
async fn request_from_agent(
    cx: &Arc<Context>,
    job: &Job,
    key: TargetKey,
    target: &str,
    known: CachedLimit,
    max_wait: Duration,
) -> Option<(Reply, CountedBy)> {
    let (by, engine, seq, mut rx) = {
        let now = cx.now();
        let mut state = cx.state();
        let by = state.counted_by(key, now);
        let engine = by.engine()?;
        let seq = state.next_seq();
        let msg = ToLedger::Request {
            seq,
            target: target.into(),
            rank: job.rank(),
            max_wait,
            known,
            stand_in: matches!(by, CountedBy::StandIn(_)),
        };
        if !state.send_to_limiter(by, msg, now) {
            return None;
        }
        // The request is acknowledged once and then replied to.
        let (tx, rx) = mpsc::channel(2);
        state
            .limits
            .pending
            .push(PendingRequest { seq, engine, tx });
        (by, engine, seq, rx)
    };
    let mut waiting = Waiting {
        cx,
        by,
        target,
        seq,
        is_done: false,
    };
    let mut limit = REPLY_TIMEOUT;
    loop {
        match timeout(limit, rx.recv()).await {
            Ok(Some(Progress::Done(reply))) => {
                waiting.is_done = true;
                return Some((reply, by));
            }
            Ok(Some(Progress::Queued)) => limit = max_wait + REPLY_TIMEOUT,
            Ok(None) | Err(_) => break,
        }
    }
    Line::failure("limit.unanswered")
        .text("id", &job.meta.id)
        .text("target", target)
        .show("engine", engine)
        .write();
    let until = cx.now() + SKIP_DURATION;
    cx.state().skip_agent(engine, until);
    None
}

/// Grants a permit from this entry's own share of the limit.
async fn request_share(
    cx: &Context,
    target: &str,
    known: CachedLimit,
    max_wait: Duration,
) -> Reply {
    let own_share = share(known.rate, cx.entries());
    let try_now = || {
        let now = cx.now();
        let mut state = cx.state();
        let limiter = state.limits.own.limiter(target, now);
        limiter.set_share(own_share, now);
        limiter.request_now(now)
    };
    let reply = try_now();
    if reply.granted.is_some() || reply.next > max_wait {
        return reply;
    }
    sleep(reply.next).await;
    try_now()
}

/// Handles a message of an agent.
pub(crate) fn receive(cx: &Context, engine: SocketAddr, msg: ToSender) {
    match msg {
        ToSender::Queued { seq, .. } => {
            let state = cx.state();
            let pending = &state.limits.pending;
            let found = pending.iter().find(|o| o.engine == engine && o.seq == seq);
            // The channel has capacity for both messages of a request.
            found.map(|o| o.tx.try_send(Progress::Queued));
        }
        ToSender::Reply { seq, reply } => receive_reply(cx, engine, seq, reply),
        ToSender::All { epoch, limits } => receive_all(cx, engine, epoch, &limits),
        ToSender::Changed {
            epoch,
            target,
            rate,
        } => {
            if let Some(key) = counted_target(cx, engine, &target) {
                apply(cx, key, rate, Some(epoch), Source::Process);
            }
        }
    }
}

fn receive_reply(cx: &Context, engine: SocketAddr, seq: u64, reply: Reply) {
    let mut state = cx.state();
    let pending = &mut state.limits.pending;
    let found = pending
        .iter()
        .position(|o| o.engine == engine && o.seq == seq);
    // A request that has been dropped has withdrawn itself. If the grant and the withdrawal cross,
    // the permit is lost, and the target gets one request less.
    if let Some(i) = found {
        let _ = pending.swap_remove(i).tx.try_send(Progress::Done(reply));
    }
}

impl State {
    /// Who counts a target: its own agent if it is an engine, else the owner of its id. For an agent that
    /// does not reply the owner stands in, and without any agent the entry itself.
    fn counted_by(&mut self, key: TargetKey, now: Duration) -> CountedBy {
        let target = &self.view.get(key).target;
        let (addr, id) = (target.addr, target.id.clone());
        let own_agent = self.agent(addr).map(|i| &self.agents[i]);
        if own_agent.is_some_and(|a| a.linked && a.skipped_until <= now) {
            return CountedBy::Agent(addr);
        }
        let is_engine = own_agent.is_some();
        match self.owner(&id, now) {
            Some(owner) if is_engine || owner.stand_in => CountedBy::StandIn(owner.engine),
            Some(owner) => CountedBy::Agent(owner.engine),
            None => CountedBy::Entry,
        }
    }

    /// Sends a message to the process that counts. Returns whether it was sent.
    fn send_to_limiter(&mut self, to: CountedBy, msg: ToLedger, now: Duration) -> bool {
        match to {
            CountedBy::Entry => {
                // Its own requests are not queued, so no reply follows.
                self.limits.own.receive(0, msg, now);
                true
            }
            CountedBy::Agent(engine) | CountedBy::StandIn(engine) => match self.agent(engine) {
                Some(i) => {
                    let tx = &self.agents[i].tx;
                    tx.try_send(ToAgent::Limit(msg)).is_ok()
                }
                None => false,
            },
        }
    }
}
