//! Waits for an engine that is down and has a copy of the model.
//!
//! An engine that crashed may have the only copy of a rarely used model on its disk. It is back sooner than a
//! load from the weight store ends, which takes longer than clients wait.

use std::{
    sync::Arc,
    time::Duration, //
};

use stair_fleet::view::TargetKey;
use stair_telemetry::event::Line;
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    context::Context,
    job::Job,
    select::{
        find_ready,
        replica_placement, //
    },
};

/// Interval of the checks for a target.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until a target can run the request or load its model from a copy. Returns false when no engine is
/// expected back, or none is back at `until`.
pub(crate) async fn wait_for_return(
    cx: &Arc<Context>,
    job: &Job,
    tried: &[TargetKey],
    until: Instant,
) -> bool {
    let begun = Instant::now();
    let mut waited = false;
    let back = loop {
        if Instant::now() >= until || !is_expected(cx, job) {
            break false;
        }
        waited = true;
        sleep(CHECK_INTERVAL).await;
        if find_ready(cx, job, tried, false).is_some()
            || replica_placement(cx, job, tried).is_some()
        {
            break true;
        }
    };
    if waited {
        Line::new("outage.waited")
            .text("id", &job.meta.id)
            .flag("back", back)
            .ms("took_ms", begun.elapsed())
            .write();
    }
    back
}

/// Whether an engine that is down may be back with the model before a load from the weight store ends.
pub(crate) fn is_expected(cx: &Context, job: &Job) -> bool {
    let Some((model, engine)) = job.model_of_engine() else {
        return false;
    };
    let within = engine.model(model).map_or(Duration::ZERO, |m| m.from_store);
    cx.state()
        .view
        .may_return(&job.service, model, job.version(), within, cx.now())
}
