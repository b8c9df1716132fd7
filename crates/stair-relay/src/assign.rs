//! Assigns a request to a target at which it may run now.

use std::{
    sync::Arc,
    time::Duration, //
};

use stair_fleet::{
    quarantine::{
        TRIAL_RETRY_INTERVAL,
        TRIAL_WAIT, //
    },
    view::TargetKey,
};
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    availability,
    context::Context,
    job::Job,
    quarantine::{
        self,
        Gate, //
    },
    refuse::{
        Reason, //
        STOPPING_RETRY_AFTER,
    },
    relay::REFUSED_RETRY_AFTER,
    select::{
        self,
        NoTarget,
        Selected, //
    },
};

/// Requests that have not been sent to a target are rejected this long before the process ends, so that the
/// rejections arrive.
pub(crate) const STOP_REFUSAL_MARGIN: Duration = Duration::from_millis(500);

/// A waiting request is rejected this long before its client disconnects: a round trip and the longest pause
/// of a busy entry. With a later rejection the client would not learn that the request has not run.
const CLIENT_REFUSAL_MARGIN: Duration = Duration::from_millis(150);

/// The request is not assigned to a target.
#[derive(Debug, Clone, Copy)]
pub struct NotAssigned {
    /// The reason for the refusal.
    pub reason: Reason,
    /// The delay after which a retry may succeed.
    pub retry_after: Duration,
}

impl NotAssigned {
    fn no_target(retry_after: Duration) -> Self {
        Self {
            reason: Reason::NoTarget,
            retry_after,
        }
    }

    fn stopping() -> Self {
        Self {
            reason: Reason::Stopping,
            retry_after: STOPPING_RETRY_AFTER,
        }
    }

    fn quarantined(retry_after: Duration) -> Self {
        Self {
            reason: Reason::Quarantined,
            retry_after,
        }
    }
}

impl From<NoTarget> for NotAssigned {
    fn from(e: NoTarget) -> Self {
        Self {
            reason: e.reason,
            retry_after: e.retry_after,
        }
    }
}

/// Assigns the request to a target that is not in `excluded`.
///
/// # Errors
///
/// [`NotAssigned`] if no target can run it in time, or the request is quarantined.
pub async fn assign(
    cx: &Arc<Context>,
    job: &Job,
    excluded: &[TargetKey],
    after_event: Option<u64>,
) -> Result<Selected, NotAssigned> {
    let since = after_event.map_or(job.received, |_| Instant::now());
    let until = selection_deadline(job, after_event);
    tokio::select! {
        biased;
        // A request that has not run may be retried at another process, where no stop cuts it.
        () = cx.until_ends_before(job.deadline), if !job.may_have_run() => Err(NotAssigned::stopping()),
        // A request that still waits when the process ends would get no response at all.
        () = cx.until_ending(STOP_REFUSAL_MARGIN) => Err(NotAssigned::stopping()),
        selected = select_permitted(cx, job, excluded, since, until) => selected,
    }
}

/// Selects targets until the request may run at one of them.
async fn select_permitted(
    cx: &Arc<Context>,
    job: &Job,
    excluded: &[TargetKey],
    since: Instant,
    until: Instant,
) -> Result<Selected, NotAssigned> {
    loop {
        if let Some((_, left)) = quarantine::quarantined(cx, job) {
            return Err(NotAssigned::quarantined(left));
        }
        let selected = select::select(cx, job, excluded, since, until).await;
        let selected = selected.map_err(NotAssigned::from)?;
        if let Some(selected) = permit(cx, job, selected, until).await? {
            return Ok(selected);
        }
    }
}

/// Waits until the request may run at the target. Returns `None` when another target should be selected.
async fn permit(
    cx: &Arc<Context>,
    job: &Job,
    mut selected: Selected,
    until: Instant,
) -> Result<Option<Selected>, NotAssigned> {
    let reselect_at = Instant::now() + TRIAL_WAIT;
    loop {
        match quarantine::gate(cx, job, &selected.id).await {
            // The target may have announced its shutdown meanwhile.
            Gate::Open(_) if !availability::takes(cx, job, selected.in_flight.key()) => {
                return Ok(None);
            }
            Gate::Open(trial) => {
                job.set_on_trial(trial.as_ref().map_or(&[], quarantine::Trial::causes));
                selected.in_flight.set_trial(trial);
                return Ok(Some(selected));
            }
            Gate::Closed(left) => return Err(NotAssigned::quarantined(left)),
            Gate::Busy => {}
        }
        let next = Instant::now() + TRIAL_RETRY_INTERVAL;
        if next >= until {
            return Err(NotAssigned::no_target(REFUSED_RETRY_AFTER));
        }
        if next >= reselect_at {
            return Ok(None);
        }
        sleep(TRIAL_RETRY_INTERVAL).await;
    }
}

/// The time until which a target is searched for. The client of a stream disconnects after it; a request that
/// is refused before may be retried when the model has been loaded.
pub fn selection_deadline(job: &Job, after_event: Option<u64>) -> Instant {
    if !job.route.stream || after_event.is_some() {
        return job.deadline;
    }
    let leaves = job
        .route
        .client_timeout()
        .saturating_sub(CLIENT_REFUSAL_MARGIN);
    job.deadline.min(job.received + leaves)
}
