//! Asks an engine's agent when a prompt may be sent, and waits for it.

use std::{
    sync::Arc,
    time::Duration, //
};

use stair_fleet::{
    prefill::Ask,
    view::TargetKey, //
};
use stair_telemetry::event::Line;
use tokio::time::{
    Instant,
    sleep,
    timeout, //
};

use crate::{
    context::Context,
    job::Job,
    select::{
        CHECK_INTERVAL,
        MAX_FULL,
        RUN_DURATION, //
    },
};

/// The longest wait that a less urgent prompt reserves a slot for. With more, it would fill the queue beyond what
/// urgent ones can wait; it asks again until its own time is up.
const MAX_YIELDING_WAIT: Duration = Duration::from_millis(400);

/// Time for an agent to answer: a round trip and the longest pause of a busy VM.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(150);

/// Objectives after which an answer is too late to make others wait for it.
const LATE_FACTOR: u32 = 2;

/// What a prompt may do.
pub enum Reservation {
    /// The prompt may be sent.
    Granted(PromptEstimate),
    /// Others go first; there is time to look again.
    Retry,
    /// The wait would be longer than is of use.
    Full(Duration),
}

/// What the engine's agent takes a prompt for; nothing is known when it is silent.
#[derive(Debug, Clone, Copy, Default)]
pub struct PromptEstimate {
    /// Tokens of it that the engine has kept.
    pub cached: u32,
    /// Time that the engine takes until this prompt is read.
    pub reads: Duration,
}

/// What a slot is asked for with.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// When the time began in which the route promises an event: the request came, or its stream
    /// broke. A stream that goes on elsewhere has passed the time of its first event long ago, and
    /// would be cut wherever anything is before it.
    pub since: Instant,
    /// When no slot is of use any longer.
    pub until: Instant,
    /// Engines that have told too late a slot.
    pub full: u32,
    /// Whether the request has not asked for a slot before.
    pub first: bool,
}

/// Waits for the prompt's prefill slot at a target, as far as its agent can be reached.
pub async fn reserve(cx: &Arc<Context>, job: &Job, key: TargetKey, opts: &Options) -> Reservation {
    let Some((model, _)) = job.model_of_engine() else {
        return Reservation::Granted(PromptEstimate::default());
    };
    let addr = cx.state().view.get(key).target.addr;
    let useful_wait = useful_wait(job, opts);
    let limit = match job.more_urgent {
        Some(_) => useful_wait.min(MAX_YIELDING_WAIT),
        None => useful_wait,
    };
    let spare = job.more_urgent.map(max_late_wait);
    let ask = Ask {
        model: model.into(),
        parts: job.prefix_blocks.clone(),
        tokens: u32::try_from(job.meta.prompt_tokens).unwrap_or(u32::MAX),
        limit,
        spare,
        pause: job.shortest_pause,
        first: opts.first,
    };
    let Some(rx) = cx.reserve(addr, ask) else {
        return Reservation::Granted(PromptEstimate::default());
    };
    let Ok(Ok(reply)) = timeout(RESERVE_TIMEOUT, rx).await else {
        if cx.record_unanswered(key) {
            return Reservation::Retry;
        }
        // A sound engine is used also when its agent is silent.
        return Reservation::Granted(PromptEstimate::default());
    };
    cx.page.time("turn_wait_ms", &[], reply.wait);
    if !reply.booked {
        Line::new("turn.full")
            .text("id", &job.meta.id)
            .show("addr", addr)
            .ms("wait_ms", reply.wait)
            .ms("backlog_ms", reply.backlog)
            .flag("yields", job.more_urgent.is_some())
            .write();
        if reply.wait <= useful_wait {
            sleep(CHECK_INTERVAL).await;
            return Reservation::Retry;
        }
        return Reservation::Full(reply.wait);
    }
    // A timer takes up to a millisecond also when there is nothing to wait for.
    if !reply.wait.is_zero() {
        sleep(reply.wait).await;
    }
    Reservation::Granted(PromptEstimate {
        cached: reply.kept,
        reads: reply.reads,
    })
}

/// The longest wait for a slot after which a request is not too late.
fn max_late_wait(objective: Duration) -> Duration {
    (objective * LATE_FACTOR).saturating_sub(RUN_DURATION)
}

/// The longest wait for a slot that is of use: at first one after which the answer is on time, then
/// one after which it is not too late.
fn useful_wait(job: &Job, opts: &Options) -> Duration {
    let times = if opts.full < MAX_FULL { 1 } else { LATE_FACTOR };
    let end = opts.until.min(opts.since + job.route.objective * times);
    end.saturating_duration_since(Instant::now())
        .saturating_sub(RUN_DURATION)
}
