//! Finds a target at which a request may run now.

use std::{
    sync::Arc,
    time::Duration, //
};

use stair_fleet::view::TargetKey;
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    context::Context,
    job::Job,
    pick::{
        self,
        Picked, //
    },
    quarantine::{
        self,
        Gate, //
    },
    refuse::{
        LEAVING_COME_BACK,
        Reason, //
    },
    relay::REFUSED_COME_BACK,
};

/// Time before the process's end at which waiting requests are rejected, for the rejections to arrive.
const LAST_REFUSALS: Duration = Duration::from_millis(500);

/// Time before its client leaves at which a waiting request is rejected: a round trip and the longest pause of a
/// busy entry. Later, the client would not learn that it has not run.
const REFUSAL_TIME: Duration = Duration::from_millis(150);

/// Pause before a suspect asks again whether it may run.
const TRIAL_PAUSE: Duration = Duration::from_millis(100);

/// Time that a suspect waits at one target. Each look for another reserves a prefill slot there.
const TRIAL_WAIT: Duration = Duration::from_millis(1000);

/// No target gets the request.
#[derive(Debug, Clone, Copy)]
pub struct NotPlaced {
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub come_back: Duration,
}

impl NotPlaced {
    fn no_target(come_back: Duration) -> Self {
        Self {
            reason: Reason::NoTarget,
            come_back,
        }
    }

    fn quarantined(come_back: Duration) -> Self {
        Self {
            reason: Reason::Quarantined,
            come_back,
        }
    }
}

/// Picks a target.
///
/// # Errors
///
/// [`NotPlaced`] if no target can run it in time, or none may.
pub async fn place(
    cx: &Arc<Context>,
    job: &Job,
    left_out: &[TargetKey],
    after_event: Option<u64>,
) -> Result<Picked, NotPlaced> {
    let since = after_event.map_or(job.received, |_| Instant::now());
    let until = pick_until(job, after_event);
    tokio::select! {
        picked = pick_permitted(cx, job, left_out, since, until) => picked,
        // A request that waits for a model when the process ends would get no answer at all.
        () = cx.ending(LAST_REFUSALS) => Err(NotPlaced::no_target(LEAVING_COME_BACK)),
    }
}

/// Picks a target at which the request may run now.
async fn pick_permitted(
    cx: &Arc<Context>,
    job: &Job,
    left_out: &[TargetKey],
    since: Instant,
    until: Instant,
) -> Result<Picked, NotPlaced> {
    loop {
        if let Some(left) = quarantine::held(cx, job) {
            return Err(NotPlaced::quarantined(left));
        }
        let picked = pick::pick(cx, job, left_out, since, until).await;
        let picked = picked.map_err(|nowhere| NotPlaced::no_target(nowhere.come_back))?;
        if let Some(picked) = permit(cx, job, picked, until).await? {
            return Ok(picked);
        }
    }
}

/// Waits until the request may run at a target; `None` when it is better to look for another.
async fn permit(
    cx: &Arc<Context>,
    job: &Job,
    mut picked: Picked,
    until: Instant,
) -> Result<Option<Picked>, NotPlaced> {
    let look_on = Instant::now() + TRIAL_WAIT;
    loop {
        match quarantine::gate(cx, job, &picked.id).await {
            // The target may have left meanwhile.
            Gate::Open(_) if !cx.takes(picked.flight.key()) => return Ok(None),
            Gate::Open(trial) => {
                job.note_trial(trial.is_some());
                picked.flight.set_trial(trial);
                return Ok(Some(picked));
            }
            Gate::Closed(left) => return Err(NotPlaced::quarantined(left)),
            Gate::Busy => {}
        }
        let next = Instant::now() + TRIAL_PAUSE;
        if next >= until {
            return Err(NotPlaced::no_target(REFUSED_COME_BACK));
        }
        if next >= look_on {
            return Ok(None);
        }
        sleep(TRIAL_PAUSE).await;
    }
}

/// When no target is looked for any longer. A request that waited on would find its client gone;
/// one that is refused before may come back to a model that is there by then.
pub fn pick_until(job: &Job, after_event: Option<u64>) -> Instant {
    if !job.route.stream || after_event.is_some() {
        return job.deadline;
    }
    let leaves = job.route.client_timeout().saturating_sub(REFUSAL_TIME);
    job.deadline.min(job.received + leaves)
}
