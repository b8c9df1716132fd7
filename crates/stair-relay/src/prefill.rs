//! Reserves a prefill slot with an engine's agent, and waits until the prompt may be sent.

use std::{
    sync::Arc,
    time::Duration, //
};

use stair_fleet::{
    prefill::Request,
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

/// The longest wait for which a less urgent prompt reserves a slot. A longer one would fill the queue beyond
/// the wait that urgent prompts can afford; the prompt requests a slot again until its own time is up.
const MAX_YIELDING_WAIT: Duration = Duration::from_millis(400);

/// Limit for an agent's reply: a round trip and the longest pause of a busy VM.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(150);

/// Objectives after which a response is too late to make other requests wait for it.
pub(crate) const LATE_FACTOR: u32 = 2;

/// The outcome of a request for a prefill slot.
pub enum Reservation {
    /// The prompt may be sent now.
    Granted(PromptEstimate),
    /// More urgent prompts go first; there is time to search again.
    Retry,
    /// The wait would be longer than is useful; the wait.
    Full(Duration),
}

/// The agent's estimate for a prompt; the default when the agent is unavailable.
#[derive(Debug, Clone, Copy, Default)]
pub struct PromptEstimate {
    /// Tokens of the prompt that the engine has cached.
    pub cached: u32,
    /// Time until the engine has finished the prefill of the prompt.
    pub reads: Duration,
}

/// The options of a request for a prefill slot.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The start of the time in which the route promises an event: the arrival of the request, or the break
    /// of its stream. Counted from the arrival, the time for the first event of a resumed stream is over, and
    /// the stream would be truncated wherever another prompt is queued.
    pub since: Instant,
    /// The time after which no slot is useful.
    pub until: Instant,
    /// The number of engines whose slot was too late.
    pub full: u32,
    /// Whether this is the first slot that the request reserves.
    pub first: bool,
}

/// Waits for a prefill slot at a target. The prompt may be sent without one when there is no link to the
/// target's agent, or when the agent does not reply although its VM is responsive.
pub async fn reserve(cx: &Arc<Context>, job: &Job, key: TargetKey, opts: &Options) -> Reservation {
    let Some((model, _)) = job.model_of_engine() else {
        return Reservation::Granted(PromptEstimate::default());
    };
    let addr = cx.state().view.get(key).target.addr;
    let useful_wait = useful_wait(job, opts);
    let max_wait = match job.more_urgent {
        Some(_) => useful_wait.min(MAX_YIELDING_WAIT),
        None => useful_wait,
    };
    let urgent_max_wait = job.more_urgent.map(max_late_wait);
    let request = Request {
        model: model.into(),
        blocks: job.prefix_blocks.clone(),
        tokens: u32::try_from(job.meta.prompt_tokens).unwrap_or(u32::MAX),
        max_wait,
        urgent_max_wait,
        pause: job.shortest_pause,
        first: opts.first,
    };
    let Some(rx) = cx.reserve(addr, request) else {
        return Reservation::Granted(PromptEstimate::default());
    };
    let Ok(Ok(reply)) = timeout(RESERVE_TIMEOUT, rx).await else {
        if cx.record_unanswered(key) {
            return Reservation::Retry;
        }
        // An engine on a responsive VM is used also when its agent does not reply.
        return Reservation::Granted(PromptEstimate::default());
    };
    cx.page.time("turn_wait_ms", &[], reply.wait);
    if !reply.reserved {
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
    // Skipped for a zero wait, as a timer takes up to a millisecond.
    if !reply.wait.is_zero() {
        sleep(reply.wait).await;
    }
    Reservation::Granted(PromptEstimate {
        cached: reply.cached,
        reads: reply.prefill_time,
    })
}

/// The longest wait for a slot with which the response is not too late.
fn max_late_wait(objective: Duration) -> Duration {
    (objective * LATE_FACTOR).saturating_sub(RUN_DURATION)
}

/// The longest useful wait for a slot. The response has to be on time until [`MAX_FULL`] engines were full;
/// after that it must only not be too late.
fn useful_wait(job: &Job, opts: &Options) -> Duration {
    let times = if opts.full < MAX_FULL { 1 } else { LATE_FACTOR };
    let end = opts.until.min(opts.since + job.route.objective * times);
    end.saturating_duration_since(Instant::now())
        .saturating_sub(RUN_DURATION)
}
