//! Reserves a prefill slot with an engine's agent, and waits until the prompt may be sent.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use stair_fleet::{
    fair_share::{
        Caller,
        Turn, //
    },
    prefill::{
        Reply,
        Request, //
    },
    view::TargetKey, //
};
use stair_telemetry::event::Line;
use tokio::time::{
    Instant,
    sleep,
    timeout, //
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    context::{
        Context,
        SlotReply, //
    },
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
///
/// A prompt with a turn asks again at the time that the agent states. After [`CHECK_INTERVAL`] it searches for
/// a target again and keeps its turn if that is the same one.
pub async fn reserve(cx: &Arc<Context>, job: &Job, key: TargetKey, opts: &Options) -> Reservation {
    let Some((model, _)) = job.model_of_engine() else {
        return Reservation::Granted(PromptEstimate::default());
    };
    let addr = cx.state().view.get(key).target.addr;
    let began = Instant::now();
    let (mut first, mut is_logged) = (opts.first, false);
    loop {
        let useful_wait = useful_wait(job, opts);
        let request = slot_request(job, model, useful_wait, first);
        let from = Caller {
            name: job.caller(),
            rank: job.rank(),
            prompt: xxh3_64(job.meta.id.as_bytes()),
            time_left: useful_wait,
        };
        let Some(rx) = cx.reserve(addr, request, from) else {
            return Reservation::Granted(PromptEstimate::default());
        };
        let Ok(Ok(SlotReply { reply, turn })) = timeout(RESERVE_TIMEOUT, rx).await else {
            if cx.record_unanswered(key) {
                return Reservation::Retry;
            }
            // An engine on a responsive VM is used also when its agent does not reply.
            return Reservation::Granted(PromptEstimate::default());
        };
        if reply.reserved {
            cx.page.time("turn_wait_ms", &[], reply.wait);
            // Skipped for a zero wait, as a timer takes up to a millisecond.
            if !reply.wait.is_zero() {
                sleep(reply.wait).await;
            }
            return Reservation::Granted(PromptEstimate {
                cached: reply.cached,
                reads: reply.prefill_time,
            });
        }
        // One sample and one line for all requests within the interval.
        if !std::mem::replace(&mut is_logged, true) {
            cx.page.time("turn_wait_ms", &[], reply.wait);
            log_full(job, addr, &reply, turn);
        }
        first = false;
        if reply.wait > useful_wait {
            return Reservation::Full(reply.wait);
        }
        let pause = turn.map_or(CHECK_INTERVAL, |t| t.retry_in.min(CHECK_INTERVAL));
        sleep(pause).await;
        if began.elapsed() >= CHECK_INTERVAL {
            return Reservation::Retry;
        }
    }
}

fn slot_request(job: &Job, model: &str, useful_wait: Duration, first: bool) -> Request {
    Request {
        model: model.into(),
        blocks: job.prefix_blocks.clone(),
        tokens: u32::try_from(job.meta.prompt_tokens).unwrap_or(u32::MAX),
        max_wait: match job.more_urgent {
            Some(_) => useful_wait.min(MAX_YIELDING_WAIT),
            None => useful_wait,
        },
        urgent_max_wait: job.more_urgent.map(max_late_wait),
        pause: job.shortest_pause,
        first,
    }
}

fn log_full(job: &Job, addr: SocketAddr, reply: &Reply, turn: Option<Turn>) {
    let line = Line::new("turn.full")
        .text("id", &job.meta.id)
        .show("addr", addr)
        .ms("wait_ms", reply.wait)
        .ms("backlog_ms", reply.backlog)
        .flag("yields", job.more_urgent.is_some())
        .text("caller", &job.caller())
        .num("rank", job.rank());
    match turn {
        Some(turn) => line
            .show("standing", format_args!("{:?}", turn.standing))
            .num("ahead", turn.ahead)
            .ms("retry_ms", turn.retry_in)
            .write(),
        None => line.write(),
    }
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
