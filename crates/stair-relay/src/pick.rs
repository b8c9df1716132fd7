//! Chooses a target for a request, or has one loaded and waits for it.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use stair_fleet::{
    choose, cold_start,
    msg::{
        self,
        LoadRequest, //
    },
    overload::{
        Decision,
        decide,
        is_fast, //
    },
    target::CopyLocation,
    view::TargetKey,
};
use stair_telemetry::event::Line;
use tokio::time::{
    Instant,
    timeout_at, //
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    context::{
        Context,
        Flight, //
    },
    job::Job,
    load::{
        Loaded,
        ask,
        load,
        load_at, //
        log_load,
    },
    outage,
    prefill::{
        self,
        Prompt,
        Reservation,
        reserve, //
    },
};

/// Time for an agent to bring an adapter, which may have to wait for a place.
const ADAPTER_TIME: Duration = Duration::from_millis(1500);

/// Time for which a further replica is of use: as long as requests wait for the slow one.
const REPLICA_TIME: Duration = Duration::from_secs(2);

/// Time that is left for the run itself when a load is waited for.
pub(crate) const RUN_TIME: Duration = Duration::from_millis(400);

/// Retry-After if nothing says when a target will be free.
pub(crate) const COME_BACK: Duration = Duration::from_millis(700);

/// Rounds in which one request may look for a target, lest it go on for ever between agents that refuse it.
const MAX_ROUNDS: u32 = 12;

/// The part of its time that a request waits for an engine that is down; the rest is for its client's return.
const HELD_PART: u32 = 2;

/// Pause between looks for a target.
pub(crate) const LOOK_EVERY: Duration = Duration::from_millis(300);

/// Engines that may fail to bring the request's adapter before one is sent to all the same.
const MAX_REFUSED: usize = 2;

/// Engines that may refuse a prefill slot before a late answer is taken: reports lag behind answers.
pub(crate) const MAX_FULL: u32 = 2;

/// Where a request goes.
pub struct Picked {
    /// It counts at the target from here on.
    pub flight: Flight,
    /// The target's address.
    pub addr: SocketAddr,
    /// The target's id.
    pub id: Box<str>,
    /// The estimate that decided, in milliseconds.
    pub wait_ms: f64,
    /// Time that the target takes until the prompt is read, 0 if that is not known.
    pub reads: Duration,
    /// When it was picked, right before the request is sent.
    pub at: Instant,
}

/// Nothing can run the request in time; when to come back.
pub struct Nowhere {
    /// When to come back.
    pub come_back: Duration,
}

/// Chooses a target that has not been tried, until `until`. The time in which the route promises an
/// event began at `since`.
///
/// # Errors
///
/// [`Nowhere`] as soon as it is clear that none can run the request in time.
pub async fn pick(
    cx: &Arc<Context>,
    job: &Job,
    tried: &[TargetKey],
    since: Instant,
    until: Instant,
) -> Result<Picked, Nowhere> {
    let mut looks = Looks::new(since, until);
    let held_until = since + until.saturating_duration_since(since) / HELD_PART;
    let mut rounds = 0;
    while rounds < MAX_ROUNDS && Instant::now() < until {
        let best = ready(cx, job, tried, false);
        let mut left_out = looks.refused.clone();
        left_out.extend_from_slice(tried);
        let left = until.saturating_duration_since(Instant::now());
        let objective = job.route.objective;
        let place = match &best {
            Some(at) if !is_fast(at, objective) => place(cx, job, &left_out),
            _ => None,
        };
        let decision = decide(best.as_ref(), place.as_ref(), objective, left);
        let step = match (decision, best) {
            (Decision::Send, Some(at)) => send(cx, job, at, &mut looks).await,
            (Decision::SendAndLoad, Some(at)) => {
                request_replica(cx, job, place.as_ref(), &mut looks);
                send(cx, job, at, &mut looks).await
            }
            (Decision::Refuse, Some(at)) => {
                let come_back = Duration::from_secs_f64(at.wait_ms / 1000.0).saturating_sub(left);
                return Err(Nowhere::after(come_back));
            }
            _ => Step::Load,
        };
        let loaded = match step {
            Step::Go(picked) => return Ok(picked),
            Step::Again => None,
            Step::Crowded(wait) => match &place {
                Some(place) => Some(load_at(cx, job, place, &left_out, held_until, until).await),
                None => return Err(Nowhere::after(wait)),
            },
            Step::Load => match job.model_of_engine() {
                Some((model, engine)) => {
                    Some(load(cx, job, model, engine, &left_out, held_until, until).await)
                }
                None => break,
            },
        };
        match loaded {
            None | Some(Loaded::Ready) => {}
            // Bounded by the deadline.
            Some(Loaded::Waited) => continue,
            Some(Loaded::Refused(key)) => looks.refused.push(key),
            Some(Loaded::Down) => {
                outage::wait(cx, job, tried, held_until).await;
            }
            Some(Loaded::TooLate(come_back)) => {
                if !outage::wait(cx, job, tried, held_until).await {
                    count_unserved(cx, job);
                    return Err(Nowhere { come_back });
                }
            }
            Some(Loaded::Nowhere) => {
                if !outage::wait(cx, job, tried, held_until).await {
                    break;
                }
            }
        }
        rounds += 1;
    }
    last_resort(cx, job, tried, &looks).await
}

fn count_unserved(cx: &Context, job: &Job) {
    if let Some((model, _)) = job.model_of_engine() {
        let now = cx.now();
        cx.state().count_unserved(model, now);
    }
}

/// A target under suspicion is better than none.
async fn last_resort(
    cx: &Arc<Context>,
    job: &Job,
    tried: &[TargetKey],
    looks: &Looks,
) -> Result<Picked, Nowhere> {
    let Some(at) = ready(cx, job, tried, true) else {
        return Err(Nowhere::after(Duration::ZERO));
    };
    let opts = prefill::Options {
        full: MAX_FULL,
        ..looks.reservation
    };
    match reserve(cx, job, at.key, &opts).await {
        Reservation::Now(prompt) => {
            go(cx, job, at, prompt, true).ok_or(Nowhere::after(Duration::ZERO))
        }
        Reservation::Later => Err(Nowhere::after(Duration::ZERO)),
        Reservation::Full(wait) => Err(Nowhere::after(wait)),
    }
}

impl Nowhere {
    fn after(come_back: Duration) -> Self {
        Self {
            come_back: come_back.max(COME_BACK),
        }
    }
}

/// What came of the looks for a target so far.
struct Looks {
    /// Engines that would not load what is needed.
    refused: Vec<TargetKey>,
    /// What the next slot is asked for with.
    reservation: prefill::Options,
    /// Whether a further replica was requested.
    replica_requested: bool,
}

impl Looks {
    fn new(since: Instant, until: Instant) -> Self {
        Self {
            refused: Vec::new(),
            reservation: prefill::Options {
                since,
                until,
                full: 0,
                first: true,
            },
            replica_requested: false,
        }
    }
}

enum Step {
    Go(Picked),
    /// Look again: something is known now that was not.
    Again,
    /// The slot would come too late everywhere.
    Crowded(Duration),
    /// No target can run it now.
    Load,
}

/// Has the adapter and the slot at a target, as far as possible.
async fn send(cx: &Arc<Context>, job: &Job, at: choose::Outcome, looks: &mut Looks) -> Step {
    if !adapter(cx, job, at.key, looks.reservation.until).await {
        looks.refused.push(at.key);
        if looks.refused.len() <= MAX_REFUSED {
            return Step::Again;
        }
    }
    let opts = looks.reservation;
    looks.reservation.first = false;
    match reserve(cx, job, at.key, &opts).await {
        Reservation::Now(prompt) => go(cx, job, at, prompt, false).map_or(Step::Again, Step::Go),
        Reservation::Later => Step::Again,
        Reservation::Full(wait) if opts.full >= MAX_FULL => Step::Crowded(wait),
        Reservation::Full(_) => {
            looks.reservation.full += 1;
            Step::Again
        }
    }
}

/// Has a further replica loaded for the requests that follow, once for each request.
fn request_replica(
    cx: &Arc<Context>,
    job: &Job,
    place: Option<&cold_start::Outcome>,
    looks: &mut Looks,
) {
    if let (Some(place), Some(model)) = (place, &job.meta.model)
        && !std::mem::replace(&mut looks.replica_requested, true)
    {
        log_load(job, model, place, "beside");
        // The next report tells what came of it.
        if let Some(mut pending) = ask(cx, model, place, REPLICA_TIME, true) {
            pending.stand();
        }
    }
}

/// The place for a further replica of a model whose best target is slow.
pub(crate) fn place(
    cx: &Arc<Context>,
    job: &Job,
    left_out: &[TargetKey],
) -> Option<cold_start::Outcome> {
    let (model, engine) = job.model_of_engine()?;
    let state = cx.state();
    let now = cx.now();
    let at = cold_start::choose(&state.view, &job.service, engine, model, left_out, now)?;
    (at.from != CopyLocation::Store).then_some(at)
}

pub(crate) fn ready(
    cx: &Arc<Context>,
    job: &Job,
    tried: &[TargetKey],
    suspects: bool,
) -> Option<choose::Outcome> {
    let opts = choose::Options {
        service: &job.service,
        model: job.model_of_engine().map(|(m, _)| m),
        adapter: job.meta.adapter.as_deref(),
        tokens: job.meta.prompt_tokens,
        shared: job.shared,
        data_centre: cx.settings.data_centre.as_str(),
        tried,
        salt: xxh3_64(job.meta.id.as_bytes()),
        suspects,
    };
    choose::choose(&cx.state().view, &opts, cx.now())
}

/// Returns where the request goes, unless the target has left while an adapter or a slot was waited for:
/// what is sent to it after that is lost.
fn go(
    cx: &Arc<Context>,
    job: &Job,
    at: choose::Outcome,
    prompt: Prompt,
    suspects: bool,
) -> Option<Picked> {
    let (addr, id, age) = {
        let state = cx.state();
        let seen = state.view.get(at.key);
        if !seen.accepts(suspects, cx.now()) {
            return None;
        }
        let age = seen
            .report
            .as_ref()
            .map(|(_, t)| cx.now().saturating_sub(*t));
        (seen.target.addr, seen.target.id.clone(), age)
    };
    let model = job.model_of_engine().map(|(m, _)| m);
    let adapter = job.meta.adapter.as_deref();
    let flight = Flight::begin(cx.clone(), at.key, model, adapter, job.meta.prompt_tokens);
    Line::new("chosen")
        .text("id", &job.meta.id)
        .text("target", &id)
        .show("addr", addr)
        .num("wait_ms", at.wait_ms as i64)
        .num("kept", prompt.kept)
        .ms("reads_ms", prompt.reads)
        .ms(
            "report_age_ms",
            age.unwrap_or(Duration::MAX.min(Duration::from_secs(999))),
        )
        .write();
    Some(Picked {
        flight,
        addr,
        id,
        wait_ms: at.wait_ms,
        reads: prompt.reads,
        at: Instant::now(),
    })
}

/// Makes sure that the adapter is at the target, as far as its agent can be reached.
async fn adapter(cx: &Arc<Context>, job: &Job, key: TargetKey, until: Instant) -> bool {
    let (Some(model), Some(adapter)) = (&job.meta.model, &job.meta.adapter) else {
        return true;
    };
    let addr = {
        let state = cx.state();
        let seen = state.view.get(key);
        let held = seen.inventory(cx.now()).model(model);
        if held.is_some_and(|h| h.adapters.contains(adapter)) {
            return true;
        }
        seen.target.addr
    };
    let req = LoadRequest {
        seq: 0,
        model: model.clone(),
        adapter: Some(adapter.clone()),
        victims: Vec::new(),
        fetch: None,
        prefetch: false,
        timeout: ADAPTER_TIME,
    };
    let begun = Instant::now();
    let Some(mut pending) = cx.request_load(addr, req) else {
        return false;
    };
    let until = until.min(begun + ADAPTER_TIME);
    let outcome = timeout_at(until, pending.outcome()).await;
    Line::new("adapter")
        .text("id", &job.meta.id)
        .text("adapter", adapter)
        .show("addr", addr)
        .show("outcome", format_args!("{outcome:?}"))
        .ms("took_ms", begun.elapsed())
        .write();
    matches!(outcome, Ok(Ok(msg::Outcome::Ready)))
}
