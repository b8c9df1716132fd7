//! Asks an engine's agent when a prompt may be sent, and waits for it.

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
    pick::{
        LOOK_EVERY,
        MAX_FULL,
        RUN_TIME, //
    },
};

/// The longest wait that a less urgent prompt reserves a slot for. With more, it would fill the queue beyond what
/// urgent ones can wait; it asks again until its own time is up.
const YIELD_TIME: Duration = Duration::from_millis(400);

/// Time for an agent to answer: a round trip and the longest pause of a busy VM.
const RESERVE_TIME: Duration = Duration::from_millis(150);

/// Objectives after which an answer is too late to make others wait for it.
const LATE_TIMES: u32 = 2;

/// What a prompt may do.
pub enum Reservation {
    /// The prompt may be sent.
    Now(Prompt),
    /// Others go first; there is time to look again.
    Later,
    /// The wait would be longer than is of use.
    Full(Duration),
}

/// What the engine's agent takes a prompt for; nothing is known when it is silent.
#[derive(Debug, Clone, Copy, Default)]
pub struct Prompt {
    /// Tokens of it that the engine has kept.
    pub kept: u32,
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
        return Reservation::Now(Prompt::default());
    };
    let addr = cx.state().view.get(key).target.addr;
    let of_use = of_use(job, opts);
    let limit = match job.more_urgent {
        Some(_) => of_use.min(YIELD_TIME),
        None => of_use,
    };
    let spare = job.more_urgent.map(late_wait);
    let ask = Request {
        model: model.into(),
        blocks: job.parts.clone(),
        tokens: u32::try_from(job.meta.prompt_tokens).unwrap_or(u32::MAX),
        max_wait: limit,
        urgent_max_wait: spare,
        pause: job.pause,
        first: opts.first,
    };
    let Some(rx) = cx.reserve(addr, ask) else {
        return Reservation::Now(Prompt::default());
    };
    let Ok(Ok(answer)) = timeout(RESERVE_TIME, rx).await else {
        if cx.unanswered(key) {
            return Reservation::Later;
        }
        // A sound engine is used also when its agent is silent.
        return Reservation::Now(Prompt::default());
    };
    cx.page.time("turn_wait_ms", &[], answer.wait);
    if !answer.reserved {
        Line::new("turn.full")
            .text("id", &job.meta.id)
            .show("addr", addr)
            .ms("wait_ms", answer.wait)
            .ms("backlog_ms", answer.backlog)
            .flag("yields", job.more_urgent.is_some())
            .write();
        if answer.wait <= of_use {
            sleep(LOOK_EVERY).await;
            return Reservation::Later;
        }
        return Reservation::Full(answer.wait);
    }
    // A timer takes up to a millisecond also when there is nothing to wait for.
    if !answer.wait.is_zero() {
        sleep(answer.wait).await;
    }
    Reservation::Now(Prompt {
        kept: answer.cached,
        reads: answer.prefill_time,
    })
}

/// The longest wait for a slot after which a request is not too late.
fn late_wait(objective: Duration) -> Duration {
    (objective * LATE_TIMES).saturating_sub(RUN_TIME)
}

/// The longest wait for a slot that is of use: at first one after which the answer is on time, then
/// one after which it is not too late.
fn of_use(job: &Job, opts: &Options) -> Duration {
    let times = if opts.full < MAX_FULL { 1 } else { LATE_TIMES };
    let end = opts.until.min(opts.since + job.route.objective * times);
    end.saturating_duration_since(Instant::now())
        .saturating_sub(RUN_TIME)
}
