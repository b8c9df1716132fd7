//! Tries one target after another until one responds or another attempt would be wrong.

use std::{
    sync::{
        Arc,
        PoisonError, //
    },
    time::Duration, //
};

use stair_platform::ObjectStore;
use stair_types::{
    Reason,
    Refusal,
    RequestId,
    TargetName,
    Verdict, //
};
use tokio::time::{
    Instant,
    timeout_at, //
};

use super::{
    Cx,
    admit::Phase,
    caller::Caller,
    choose::{
        self,
        Chosen, //
    },
    offer,
    quarantine::{
        Permit,
        Trial, //
    },
    request::Request,
    response,
    run::Progress,
    start,
};

/// Retry time for callers when no target can be reached, in milliseconds: about the time in which the
/// agent of a replaced VM appears in the view.
const NO_TARGET_RETRY_MS: u32 = 2_000;

/// Limit of targets that may have run one request. The request may crash each of them, and the
/// ledgers judge a crash only after some time.
const MAX_RUNS: usize = 2;

/// Runs a request at the first target that accepts it and forwards the response.
///
/// # Errors
///
/// Fails with the refusal of the last target, or with an earlier one that allows a sooner retry.
pub(super) async fn dispatch<S>(
    cx: &Cx<S>,
    req: &Arc<Request>,
    caller: &mut Caller,
    progress: &mut Progress,
) -> Result<(), Refusal>
where
    S: ObjectStore,
{
    count_request(cx);
    let mut tried = Attempts::default();
    let mut last: Option<Refusal> = None;
    let mut runs = 0;
    // Whether the last agent withheld the request for its target's limit or version. The next attempt
    // repeats nothing at any target and draws on no budget.
    let mut withheld = false;
    loop {
        let next = choose::next(cx, req, &tried.names).or_else(|| {
            let again = tried.retry_lost();
            again.then(|| choose::next(cx, req, &tried.names)).flatten()
        });
        let next = match next {
            Some(target) => Some(target),
            None => await_migration(cx, req, &tried.names, last.as_ref()).await,
        };
        let Some(target) = next else {
            return Err(last.unwrap_or_else(no_target));
        };
        let trial = match cx.quarantine.permit(req, &target.name).await {
            Permit::Granted(trial) => trial,
            Permit::Busy => continue,
            Permit::Quarantined(refusal) => return Err(refusal),
        };
        if let Some(refusal) = last.take_if(|_| !withheld && !may_retry(cx)) {
            return Err(refusal);
        }
        tried.names.push(target.name.clone());
        progress.admitted.set_phase(Phase::Waiting);
        let id = tried.offer_id(req.id);
        let Err(refusal) = attempt(cx, req, id, &target, trial, caller, progress).await else {
            return Ok(());
        };
        record_refusal(cx, &target, &refusal);
        withheld = refusal.verdict == Verdict::NotRun
            && (target.target.limit().is_some() || refusal.reason == Reason::OtherVersion);
        tried.record(&target, &refusal);
        // After `Start` the request counts as run unless the agent's verdict is `NotRun`.
        progress.started = false;
        progress.earlier_may_have_run |= refusal.verdict != Verdict::NotRun;
        runs += usize::from(refusal.verdict != Verdict::NotRun);
        if caller.head_sent() || runs >= MAX_RUNS || !may_try_another(req, &refusal) {
            return Err(refusal);
        }
        caller.discard();
        last = Some(soonest(last, refusal));
    }
}

/// Timeout for a grant's migration: the holder unloads the model and releases the grant, and the next
/// target receives it. If that takes longer, an early refusal is better for the caller.
const MIGRATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout for the view to show a revoke that an agent has already received.
const VIEW_LAG_TIMEOUT: Duration = Duration::from_secs(1);

/// Waits for the target that a model's grant migrates to.
///
/// The holder refuses new work as soon as it receives the revoke. Without this wait, callers of a
/// model with one replica would be refused although the model is about to get another target.
async fn await_migration<S>(
    cx: &Cx<S>,
    req: &Request,
    tried: &[TargetName],
    last: Option<&Refusal>,
) -> Option<Chosen> {
    let mut view = cx.view.clone();
    // The holder may have received the revoke from another entry before this one, or it is leaving
    // and its grants are about to be revoked.
    let precedes_revoke = |r: &Refusal| matches!(r.reason, Reason::NotGranted | Reason::Leaving);
    let view_may_lag = last.is_some_and(precedes_revoke);
    let started_waiting = Instant::now();
    loop {
        let is_migrating = choose::is_migrating(&view.borrow_and_update(), &req.work);
        if let Some(target) = choose::next(cx, req, tried) {
            return Some(target);
        }
        let wait = match (is_migrating, view_may_lag) {
            (true, _) => MIGRATION_TIMEOUT,
            (false, true) => VIEW_LAG_TIMEOUT,
            (false, false) => return None,
        };
        match timeout_at(started_waiting + wait, view.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return None,
        }
    }
}

/// The targets that a request has been offered to, and those whose link was lost.
#[derive(Default)]
struct Attempts {
    names: Vec<TargetName>,
    lost: Vec<TargetName>,
    is_second_pass: bool,
}

impl Attempts {
    fn record(&mut self, target: &Chosen, refusal: &Refusal) {
        if refusal.reason == Reason::LinkLost {
            self.lost.push(target.name.clone());
        }
    }

    /// Allows one more attempt at the targets whose link was lost, after all others. Returns whether
    /// there are any.
    ///
    /// The link may have gone silent while it was unused, and this request was the first to detect
    /// it. Many models have only one holder; their callers would be refused although the target works
    /// and can be reached by a new link from a new port.
    fn retry_lost(&mut self) -> bool {
        if self.is_second_pass || self.lost.is_empty() {
            return false;
        }
        self.is_second_pass = true;
        let lost = std::mem::take(&mut self.lost);
        self.names.retain(|n| !lost.contains(n));
        true
    }

    /// Returns the id of the offer. An agent accepts an id only once, and the first offer may have
    /// reached it, so the second pass uses another id. Work that needs a `Start` got none in the first
    /// pass and can no longer run under the first id.
    fn offer_id(&self, id: RequestId) -> RequestId {
        RequestId(id.0 ^ u128::from(self.is_second_pass))
    }
}

async fn attempt<S>(
    cx: &Cx<S>,
    req: &Arc<Request>,
    id: RequestId,
    target: &Chosen,
    trial: Option<Trial>,
    caller: &mut Caller,
    progress: &mut Progress,
) -> Result<(), Refusal>
where
    S: ObjectStore,
{
    let _in_flight = target.target.begin_request();
    let mut exchange = offer::offer(cx, req, id, target, trial, progress).await?;
    if !progress.started {
        start::start(cx, req, &mut exchange, progress).await?;
    }
    progress.admitted.set_phase(Phase::Started);
    response::forward(cx, req, &mut exchange, caller).await
}

/// Returns whether another target may be tried: only for work that certainly has not run or that may
/// run twice, and not after a refusal that every target would repeat.
fn may_try_another(req: &Request, refusal: &Refusal) -> bool {
    let another_may_accept = match refusal.reason {
        Reason::Invalid
        | Reason::Unauthorized
        | Reason::Unknown
        | Reason::DeadlinePassed
        | Reason::Duplicate
        | Reason::PlatformDown
        | Reason::Quarantined
        | Reason::UnknownOrigin => false,
        Reason::WouldMissDeadline
        | Reason::QueueFull
        | Reason::Displaced
        | Reason::NoTarget
        | Reason::Leaving
        | Reason::NotGranted
        | Reason::LoadFailed
        | Reason::LinkLost
        | Reason::TargetFailed
        | Reason::OtherVersion
        // Sent by an agent that got no `Start` in time; requests whose caller has disconnected do
        // not get here.
        | Reason::Withdrawn => true,
    };
    another_may_accept && (refusal.verdict == Verdict::NotRun || req.repeatable)
}

fn record_refusal<S>(cx: &Cx<S>, target: &Chosen, refusal: &Refusal) {
    match refusal.reason {
        Reason::Leaving => target.target.mark_leaving(target.token),
        Reason::NoTarget => {
            target.target.mark_unreachable();
            cx.targets.record_failure(&target.target);
        }
        Reason::LinkLost | Reason::TargetFailed | Reason::LoadFailed => {
            cx.targets.record_failure(&target.target);
        }
        _ => {}
    }
}

/// Returns the one of two refusals that allows the sooner retry.
fn soonest(last: Option<Refusal>, refusal: Refusal) -> Refusal {
    match last {
        Some(last) if last.retry_after_ms > 0 && last.retry_after_ms < refusal.retry_after_ms => {
            last
        }
        _ => refusal,
    }
}

fn no_target() -> Refusal {
    Refusal::not_run(
        Reason::NoTarget,
        NO_TARGET_RETRY_MS,
        "no target that may serve this can be reached",
    )
}

fn count_request<S>(cx: &Cx<S>) {
    let mut retries = cx.retries.lock().unwrap_or_else(PoisonError::into_inner);
    retries.request();
}

fn may_retry<S>(cx: &Cx<S>) -> bool {
    let mut retries = cx.retries.lock().unwrap_or_else(PoisonError::into_inner);
    retries.try_retry()
}
