//! Tries one target after the other until one answers or trying again would be wrong.

use std::{
    sync::PoisonError,
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
    request::Request,
    response,
    run::Progress,
    start,
};

/// Told to callers when no target can be reached, in milliseconds: about the time in which a
/// replaced VM's agent shows up in the view.
const NO_TARGET_RETRY_MS: u32 = 2_000;

pub(super) async fn dispatch<S>(
    cx: &Cx<S>,
    req: &Request,
    caller: &mut Caller,
    progress: &mut Progress,
) -> Result<(), Refusal>
where
    S: ObjectStore,
{
    count_request(cx);
    let mut tried = Attempts::default();
    let mut last: Option<Refusal> = None;
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
        if let Some(refusal) = last.take_if(|_| !may_retry(cx)) {
            return Err(refusal);
        }
        tried.names.push(target.name.clone());
        progress.admitted.set_phase(Phase::Waiting);
        let id = tried.offer_id(req.id);
        let Err(refusal) = attempt(cx, req, id, &target, caller, progress).await else {
            return Ok(());
        };
        record_refusal(cx, &target, &refusal);
        tried.record(&target, &refusal);
        // The agent's word that it never ran lifts the doubt that `Start` brought.
        progress.started = false;
        progress.earlier_may_have_run |= refusal.verdict != Verdict::NotRun;
        if caller.head_sent() || !may_try_another(req, &refusal) {
            return Err(refusal);
        }
        caller.discard();
        last = Some(soonest(last, refusal));
    }
}

/// Time for a grant to move: the holder unloads the model and gives the grant back, and the next
/// target learns of it. Longer than that a caller is better off with its refusal.
const MIGRATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for this entry to hear of a revoke that an agent has heard of already.
const VIEW_LAG_TIMEOUT: Duration = Duration::from_secs(1);

/// Waits for the target that a model's grant is moving to.
///
/// The holder refuses new work from the moment it learns of the revoke, and without this the
/// callers of a rarely used model with one replica would be refused although their model is about
/// to have a better place.
async fn await_migration<S>(
    cx: &Cx<S>,
    req: &Request,
    tried: &[TargetName],
    last: Option<&Refusal>,
) -> Option<Chosen> {
    let mut view = cx.view.clone();
    // The holder may have heard of the revoke from another entry, before this one has, or leaves
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

/// The targets that a request has been offered to.
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

    /// Lets the targets whose link was lost be tried once more, after all others.
    ///
    /// The link may have gone silent while nobody used it, and the request was the first to find
    /// out. A model often has one holder only; its callers would be refused although the target is
    /// well, and a new link comes from a new port.
    fn retry_lost(&mut self) -> bool {
        if self.is_second_pass || self.lost.is_empty() {
            return false;
        }
        self.is_second_pass = true;
        let lost = std::mem::take(&mut self.lost);
        self.names.retain(|n| !lost.contains(n));
        true
    }

    /// Returns the id to offer under. An agent takes no id twice, and the first offer may have
    /// reached it; so the second round has an id of its own. Work that needs a `Start` got none in
    /// the first round, and cannot run under the first id any more.
    fn offer_id(&self, id: RequestId) -> RequestId {
        RequestId(id.0 ^ u128::from(self.is_second_pass))
    }
}

async fn attempt<S>(
    cx: &Cx<S>,
    req: &Request,
    id: RequestId,
    target: &Chosen,
    caller: &mut Caller,
    progress: &mut Progress,
) -> Result<(), Refusal>
where
    S: ObjectStore,
{
    let _in_flight = target.target.begin_request();
    let mut exchange = offer::offer(cx, req, id, target, progress).await?;
    if !progress.started {
        start::start(cx, req, &mut exchange, progress).await?;
    }
    progress.admitted.set_phase(Phase::Started);
    response::forward(cx, req, &mut exchange, caller).await
}

/// Only work that has surely not run, or that may run twice, goes to another target. A refusal
/// that every target would repeat is final.
fn may_try_another(req: &Request, refusal: &Refusal) -> bool {
    let another_may_accept = match refusal.reason {
        Reason::Invalid
        | Reason::Unauthorized
        | Reason::Unknown
        | Reason::DeadlinePassed
        | Reason::Duplicate
        | Reason::PlatformDown => false,
        Reason::WouldMissDeadline
        | Reason::QueueFull
        | Reason::Displaced
        | Reason::NoTarget
        | Reason::Leaving
        | Reason::NotGranted
        | Reason::LoadFailed
        | Reason::LinkLost
        | Reason::TargetFailed
        // An agent that got no `Start` in time; a caller that left does not come this far.
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

/// Of two refusals, keeps the one that lets the caller come back sooner.
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
