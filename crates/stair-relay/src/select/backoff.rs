//! Waits for the end of a target's backoff, and refuses requests until it.

use std::time::Duration;

use stair_fleet::choose::BackoffWait;
use stair_telemetry::event::Line;
use tokio::time::timeout;

use super::{
    CHECK_INTERVAL,
    NoTarget,
    candidates::salt, //
};
use crate::{
    context::Context,
    job::Job,
    refuse::Reason, //
};

/// The longest time over which the return times of clients are spread that are refused for a backoff.
const RETURN_SPREAD: Duration = Duration::from_millis(500);

/// Least wait for the end of a backoff.
const MIN_BACKOFF_WAIT: Duration = Duration::from_millis(5);

/// Time by which each step of urgency comes later after a backoff, so that urgent requests are sent first.
const RANK_DELAY: Duration = Duration::from_millis(10);

/// Waits for the end of a backoff, or less if the state of the targets changes.
pub(super) async fn wait_for_backoff(cx: &Context, job: &Job, wait: Duration) {
    let wait = wait.clamp(MIN_BACKOFF_WAIT, CHECK_INTERVAL) + RANK_DELAY * u32::from(job.rank());
    // A change shortens the wait only, so that one that is missed does no harm.
    let _ = timeout(wait, cx.changed.notified()).await;
}

/// The refusal of a request until a backoff is over. Clients return after it, and not all at once.
pub(super) fn refuse_for_backoff(cx: &Context, job: &Job, backoff: BackoffWait) -> NoTarget {
    let spread = RETURN_SPREAD.mul_f64(salt(job) as f64 / u64::MAX as f64);
    let retry_after = backoff.wait.saturating_add(spread);
    let target = cx.state().view.get(backoff.key).target.id.clone();
    Line::failure("backoff.refused")
        .text("id", &job.meta.id)
        .text("target", &target)
        .ms("come_back_ms", retry_after)
        .write();
    NoTarget {
        reason: Reason::TargetBackoff,
        retry_after,
    }
}
