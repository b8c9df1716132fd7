//! Tries one target after the other until one answers or trying again would be wrong.

use std::sync::PoisonError;

use stair_platform::ObjectStore;
use stair_types::{
    Reason,
    Refusal,
    TargetName,
    Verdict, //
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
        let Some(target) = choose::next(cx, req, &tried.names).or_else(|| {
            let again = tried.forget_unreached();
            again.then(|| choose::next(cx, req, &tried.names)).flatten()
        }) else {
            return Err(last.unwrap_or_else(no_target));
        };
        if let Some(refusal) = last.take_if(|_| !may_retry(cx)) {
            return Err(refusal);
        }
        tried.names.push(target.name.clone());
        progress.place.enter(Phase::Waiting);
        let Err(refusal) = attempt(cx, req, &target, caller, progress).await else {
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

/// The targets that a request has been offered to.
#[derive(Default)]
struct Tried {
    names: Vec<TargetName>,
    unreached: Vec<TargetName>,
    is_second_round: bool,
}

impl Tried {
    fn note(&mut self, target: &Chosen, refusal: &Refusal) {
        if refusal.reason == Reason::NoTarget {
            self.unreached.push(target.name.clone());
        }
    }

    /// Lets the targets that were not reached be tried once more, after all others.
    ///
    /// The path from this entry's local port may have gone silent. The failed attempt has taken a
    /// new port, so the next one succeeds although the first one ran out of time.
    fn forget_unreached(&mut self) -> bool {
        if self.is_second_round || self.unreached.is_empty() {
            return false;
        }
        self.is_second_round = true;
        let unreached = std::mem::take(&mut self.unreached);
        self.names.retain(|n| !unreached.contains(n));
        true
    }
}

async fn attempt<S>(
    cx: &Cx<S>,
    req: &Request,
    target: &Chosen,
    caller: &mut Caller,
    progress: &mut Progress,
) -> Result<(), Refusal>
where
    S: ObjectStore,
{
    let _in_flight = target.target.take();
    let mut exchange = offer::offer(cx, req, target, progress).await?;
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
