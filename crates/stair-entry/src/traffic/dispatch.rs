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
    answer,
    caller::Caller,
    choose::{
        self,
        Chosen, //
    },
    offer,
    request::Request,
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
    let mut tried = Tried::default();
    let mut last: Option<Refusal> = None;
    loop {
        let next = choose::next(cx, req, &tried.names).or_else(|| {
            let again = tried.forget_lost();
            again.then(|| choose::next(cx, req, &tried.names)).flatten()
        });
        let next = match next {
            Some(target) => Some(target),
            None => moved(cx, req, &tried.names, last.as_ref()).await,
        };
        let Some(target) = next else {
            return Err(last.unwrap_or_else(no_target));
        };
        if let Some(refusal) = last.take_if(|_| !may_retry(cx)) {
            return Err(refusal);
        }
        tried.names.push(target.name.clone());
        progress.place.enter(Phase::Waiting);
        let id = tried.offer_id(req.id);
        let Err(refusal) = attempt(cx, req, id, &target, caller, progress).await else {
            return Ok(());
        };
        note(cx, &target, &refusal);
        tried.note(&target, &refusal);
        // The agent's word that it never ran lifts the doubt that `Start` brought.
        progress.started = false;
        progress.doubtful |= refusal.verdict != Verdict::NotRun;
        if caller.has_part() || !may_go_elsewhere(req, &refusal) {
            return Err(refusal);
        }
        caller.forget();
        last = Some(sooner(last, refusal));
    }
}

/// Time for a grant to move: the holder unloads the model and gives the grant back, and the next
/// target learns of it. Longer than that a caller is better off with its refusal.
const MOVE_TIME: Duration = Duration::from_secs(3);

/// Time for this entry to hear of a revoke that an agent has heard of already.
const BEHIND_TIME: Duration = Duration::from_secs(1);

/// Waits for the target that a model's grant is moving to.
///
/// The holder refuses new work from the moment it learns of the revoke, and without this the
/// callers of a rarely used model with one replica would be refused although their model is about
/// to have a better place.
async fn moved<S>(
    cx: &Cx<S>,
    req: &Request,
    tried: &[TargetName],
    last: Option<&Refusal>,
) -> Option<Chosen> {
    let mut view = cx.view.clone();
    // The holder may have heard of the revoke from another entry, before this one has, or leaves
    // and its grants are about to be revoked.
    let announces = |r: &Refusal| matches!(r.reason, Reason::NotGranted | Reason::Leaving);
    let is_behind = last.is_some_and(announces);
    let began = Instant::now();
    loop {
        let is_migrating = choose::is_migrating(&view.borrow_and_update(), &req.work);
        if let Some(target) = choose::next(cx, req, tried) {
            return Some(target);
        }
        let wait = match (is_migrating, is_behind) {
            (true, _) => MOVE_TIME,
            (false, true) => BEHIND_TIME,
            (false, false) => return None,
        };
        match timeout_at(began + wait, view.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return None,
        }
    }
}

/// The targets that a request has been offered to.
#[derive(Default)]
struct Tried {
    names: Vec<TargetName>,
    lost: Vec<TargetName>,
    is_second_round: bool,
}

impl Tried {
    fn note(&mut self, target: &Chosen, refusal: &Refusal) {
        if refusal.reason == Reason::LinkLost {
            self.lost.push(target.name.clone());
        }
    }

    /// Lets the targets whose link was lost be tried once more, after all others.
    ///
    /// The link may have gone silent while nobody used it, and the request was the first to find
    /// out. A model often has one holder only; its callers would be refused although the target is
    /// well, and a new link comes from a new port.
    fn forget_lost(&mut self) -> bool {
        if self.is_second_round || self.lost.is_empty() {
            return false;
        }
        self.is_second_round = true;
        let lost = std::mem::take(&mut self.lost);
        self.names.retain(|n| !lost.contains(n));
        true
    }

    /// Returns the id to offer under. An agent takes no id twice, and the first offer may have
    /// reached it; so the second round has an id of its own. Work that needs a `Start` got none in
    /// the first round, and cannot run under the first id any more.
    fn offer_id(&self, id: RequestId) -> RequestId {
        RequestId(id.0 ^ u128::from(self.is_second_round))
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
    let _in_flight = target.target.take();
    let mut exchange = offer::offer(cx, req, id, target, progress).await?;
    if !progress.started {
        start::start(cx, req, &mut exchange, progress).await?;
    }
    progress.place.enter(Phase::Started);
    answer::forward(cx, req, &mut exchange, caller).await
}

/// Only work that has surely not run, or that may run twice, goes to another target. A refusal
/// that every target would repeat is final.
fn may_go_elsewhere(req: &Request, refusal: &Refusal) -> bool {
    let elsewhere_differs = match refusal.reason {
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
    elsewhere_differs && (refusal.verdict == Verdict::NotRun || req.repeatable)
}

fn note<S>(cx: &Cx<S>, target: &Chosen, refusal: &Refusal) {
    match refusal.reason {
        Reason::Leaving => target.target.leaves(target.token),
        Reason::NoTarget => {
            target.target.unreached();
            cx.targets.failed(&target.target);
        }
        Reason::LinkLost | Reason::TargetFailed | Reason::LoadFailed => {
            cx.targets.failed(&target.target);
        }
        _ => {}
    }
}

/// Of two refusals, keeps the one that lets the caller come back sooner.
fn sooner(last: Option<Refusal>, refusal: Refusal) -> Refusal {
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
