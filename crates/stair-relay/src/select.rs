//! Selects a target for a request, or has the model loaded at one and waits for it.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use stair_fleet::{
    choose::{
        self,
        BackoffWait, //
    },
    cold_start,
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
    sleep,
    timeout,
    timeout_at, //
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    context::{
        Context,
        InFlight, //
    },
    job::Job,
    limit::{
        self,
        Permission,
        Permit,
        Waits, //
    },
    load::{
        Loaded,
        load,
        load_at, //
        log_load,
        request,
    },
    origin, outage,
    prefill::{
        self,
        PromptEstimate,
        Reservation,
        reserve, //
    },
    refuse::Reason,
};

/// Limit for an agent to load an adapter, which may have to wait for free memory.
const ADAPTER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time for which a load of another replica is of use: as long as requests wait for the slow one.
const REPLICA_TTL: Duration = Duration::from_secs(2);

/// Time reserved for the run itself while a request waits for a load or a prefill slot.
pub(crate) const RUN_DURATION: Duration = Duration::from_millis(400);

/// Retry-After when it is unknown when a target will be free.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Rounds of one search. The limit ends a search in which agents refuse the request again and again.
const MAX_ROUNDS: u32 = 12;

/// A request waits for an engine that is down for its time divided by this; the rest is left for the client's
/// retry.
const OUTAGE_WAIT_DIVISOR: u32 = 2;

/// The longest time over which the return times of clients are spread that are refused for a backoff.
const RETURN_SPREAD: Duration = Duration::from_millis(500);

/// Least wait for the end of a backoff.
const MIN_BACKOFF_WAIT: Duration = Duration::from_millis(5);

/// Interval of the checks for a connection that has ended.
const CONNECTION_INTERVAL: Duration = Duration::from_millis(20);

/// Time by which each step of urgency comes later after a backoff, so that urgent requests are sent first.
const RANK_DELAY: Duration = Duration::from_millis(10);

/// Interval in which a waiting request searches for a target again.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Engines that may fail to load the request's adapter; after that a request is sent to an engine without it.
const MAX_REFUSED: usize = 2;

/// Engines that may refuse a prefill slot before a late response is accepted. More than one is tried, as
/// reports of load lag behind the agents' replies.
pub(crate) const MAX_FULL: u32 = 2;

/// The target that a request is sent to.
pub struct Selected {
    /// The guard that counts the request at the target.
    pub in_flight: InFlight,
    /// The target's address.
    pub addr: SocketAddr,
    /// The target's id.
    pub id: Box<str>,
    /// The version of its software, if it is known.
    pub version: Option<Box<str>>,
    /// The estimated wait by which the target was chosen, in milliseconds.
    pub wait_ms: f64,
    /// Estimated time until the target has finished the prefill; 0 if unknown.
    pub reads: Duration,
    /// The permit to send the request, if the target has a limit.
    pub permit: Option<Box<Permit>>,
    /// Time of the selection, right before the request is sent.
    pub selected_at: Instant,
}

/// No target can run the request in time.
pub struct NoTarget {
    /// The reason for the refusal.
    pub reason: Reason,
    /// The delay after which a retry may succeed.
    pub retry_after: Duration,
}

/// Selects a target that is not in `tried`, until `until`. The time in which the route promises an event
/// began at `since`.
///
/// # Errors
///
/// [`NoTarget`] as soon as it is known that none can run the request in time.
pub async fn select(
    cx: &Arc<Context>,
    job: &Job,
    tried: &[TargetKey],
    since: Instant,
    until: Instant,
) -> Result<Selected, NoTarget> {
    let mut search = Search::new(since, until);
    let outage_until = since + until.saturating_duration_since(since) / OUTAGE_WAIT_DIVISOR;
    let mut rounds = 0;
    while rounds < MAX_ROUNDS && Instant::now() < until {
        origin::check_version(cx, job)?;
        let best = find_ready(cx, job, tried, false);
        // A replica that is loaded because of a limit has to be another one.
        let excluded = [&search.refused[..], &search.limited, tried].concat();
        let left = until.saturating_duration_since(Instant::now());
        let objective = job.route.objective;
        let placement = match &best {
            Some(at) if !is_fast(at, objective) => replica_placement(cx, job, &excluded),
            _ => None,
        };
        let decision = decide(best.as_ref(), placement.as_ref(), objective, left);
        let step = match (decision, best) {
            (Decision::Send, Some(at)) => prepare(cx, job, at, &mut search).await,
            (Decision::SendAndLoad, Some(at)) => {
                request_replica(cx, job, placement.as_ref(), &mut search);
                prepare(cx, job, at, &mut search).await
            }
            (Decision::Refuse, Some(at)) => {
                let limit_wait = cx.state().view.get(at.key).limit_wait(cx.now());
                if limit_wait > left {
                    count_unserved(cx, job);
                    return Err(NoTarget::limited(limit_wait));
                }
                let retry_after = Duration::from_secs_f64(at.wait_ms / 1000.0).saturating_sub(left);
                return Err(NoTarget::after(retry_after));
            }
            _ => match backoff_wait(cx, job, tried) {
                Some(backoff) => Step::Backoff(backoff),
                None if lacks_connection(cx, job, tried) => Step::Connection,
                None => Step::Load,
            },
        };
        let loaded = match step {
            Step::Selected(selected) => return Ok(selected),
            Step::Retry => None,
            Step::SlotTooLate(wait) => match &placement {
                Some(placement) => {
                    Some(load_at(cx, job, placement, &excluded, outage_until, until).await)
                }
                None => return Err(NoTarget::after(wait)),
            },
            Step::LimitTooLow(wait) => {
                let placement = placement.or_else(|| replica_placement(cx, job, &excluded));
                match placement.filter(|p| p.ready_in < left) {
                    Some(placement) => {
                        Some(load_at(cx, job, &placement, &excluded, outage_until, until).await)
                    }
                    None => {
                        count_unserved(cx, job);
                        return Err(NoTarget::limited(wait));
                    }
                }
            }
            Step::Backoff(backoff) => {
                let wait = backoff.wait;
                let useful = Waits::of(job, &search.reservation).longest;
                match placement_of(cx, job, &excluded).filter(|p| p.ready_in < wait) {
                    Some(placement) => {
                        Some(load_at(cx, job, &placement, &excluded, outage_until, until).await)
                    }
                    None if wait <= useful => {
                        wait_for_backoff(cx, job, wait).await;
                        Some(Loaded::Waited)
                    }
                    None => {
                        count_unserved(cx, job);
                        return Err(refuse_for_backoff(cx, job, backoff));
                    }
                }
            }
            Step::Connection => {
                let useful = Waits::of(job, &search.reservation).longest;
                if useful.is_zero() {
                    return Err(NoTarget::after(Duration::ZERO));
                }
                sleep(CONNECTION_INTERVAL.min(useful)).await;
                Some(Loaded::Waited)
            }
            Step::Load => match job.model_of_engine() {
                Some((model, engine)) => {
                    Some(load(cx, job, model, engine, &excluded, outage_until, until).await)
                }
                None => break,
            },
        };
        match loaded {
            None | Some(Loaded::Ready) => {}
            // Not counted as a round: the deadline bounds these waits.
            Some(Loaded::Waited) => continue,
            Some(Loaded::Refused(key)) => search.refused.push(key),
            Some(Loaded::EngineDown) => {
                outage::wait_for_return(cx, job, tried, outage_until).await;
            }
            Some(Loaded::TooLate(retry_after)) => {
                if !outage::wait_for_return(cx, job, tried, outage_until).await {
                    count_unserved(cx, job);
                    let backoff = backoff_wait(cx, job, tried);
                    if let Some(backoff) = backoff.filter(|b| b.wait < retry_after) {
                        return Err(refuse_for_backoff(cx, job, backoff));
                    }
                    return Err(NoTarget {
                        reason: Reason::NoTarget,
                        retry_after,
                    });
                }
            }
            Some(Loaded::NoCapacity) => {
                if !outage::wait_for_return(cx, job, tried, outage_until).await {
                    break;
                }
            }
        }
        rounds += 1;
    }
    select_suspect(cx, job, tried, &search).await
}

fn count_unserved(cx: &Context, job: &Job) {
    if let Some((model, _)) = job.model_of_engine() {
        let now = cx.now();
        cx.state().count_unserved(model, now);
    }
}

/// Selects a suspect target, which is better than none.
async fn select_suspect(
    cx: &Arc<Context>,
    job: &Job,
    tried: &[TargetKey],
    search: &Search,
) -> Result<Selected, NoTarget> {
    let Some(at) = find_ready(cx, job, tried, true) else {
        let backoff = backoff_wait(cx, job, tried);
        return Err(backoff.map_or(NoTarget::after(Duration::ZERO), |b| {
            refuse_for_backoff(cx, job, b)
        }));
    };
    let max_wait = Waits::of(job, &search.reservation).longest;
    let permit = match limit::request(cx, job, at.key, max_wait).await {
        Permission::Granted(permit) => permit,
        Permission::Refused(wait) => return Err(NoTarget::limited(wait)),
    };
    let opts = prefill::Options {
        full: MAX_FULL,
        ..search.reservation
    };
    match reserve(cx, job, at.key, &opts).await {
        Reservation::Granted(prompt) => {
            dispatch(cx, job, at, prompt, permit, true).ok_or(NoTarget::after(Duration::ZERO))
        }
        Reservation::Retry => Err(NoTarget::after(Duration::ZERO)),
        Reservation::Full(wait) => Err(NoTarget::after(wait)),
    }
}

impl NoTarget {
    fn after(retry_after: Duration) -> Self {
        Self {
            reason: Reason::NoTarget,
            retry_after: retry_after.max(DEFAULT_RETRY_AFTER),
        }
    }

    fn limited(retry_after: Duration) -> Self {
        Self {
            reason: Reason::TargetLimit,
            retry_after,
        }
    }
}

/// The refusal of a request until a backoff is over. Clients return after it, and not all at once.
fn refuse_for_backoff(cx: &Context, job: &Job, backoff: BackoffWait) -> NoTarget {
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

/// The state of the search for a target.
struct Search {
    /// Engines that refused to load the model or the adapter.
    refused: Vec<TargetKey>,
    /// Targets whose limits did not allow the request at once.
    limited: Vec<TargetKey>,
    /// The options of the next request for a prefill slot.
    reservation: prefill::Options,
    /// Whether another replica was requested.
    replica_requested: bool,
}

impl Search {
    fn new(since: Instant, until: Instant) -> Self {
        Self {
            refused: Vec::new(),
            limited: Vec::new(),
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
    Selected(Selected),
    /// Search again with the state that has changed.
    Retry,
    /// No engine has a prefill slot in time; the wait at the last one tried.
    SlotTooLate(Duration),
    /// The limits of the best targets do not allow the request in time; the wait at the last one.
    LimitTooLow(Duration),
    /// The targets that can run the request ask for a backoff; the first one that may get it.
    Backoff(BackoffWait),
    /// This entry has all the connections open that it may have to the targets that can run the request.
    Connection,
    /// No target can run the request now, so the model has to be loaded.
    Load,
}

/// Requests a permit for a target. Other targets go first: the request waits only for one that is the
/// best although its limit did not allow the request at once.
async fn request_permit(
    cx: &Arc<Context>,
    job: &Job,
    key: TargetKey,
    search: &mut Search,
) -> Result<Option<Box<Permit>>, Step> {
    let is_first = !search.limited.contains(&key);
    let waits = Waits::of(job, &search.reservation);
    let max_wait = match is_first {
        true => waits.first,
        false => waits.longest,
    };
    match limit::request(cx, job, key, max_wait).await {
        Permission::Granted(permit) => Ok(permit),
        Permission::Refused(_) if is_first => {
            search.limited.push(key);
            Err(Step::Retry)
        }
        Permission::Refused(wait) => Err(Step::LimitTooLow(wait)),
    }
}

/// Has a permit granted, the adapter loaded and a prefill slot reserved at a target, if its agent can be
/// reached.
async fn prepare(cx: &Arc<Context>, job: &Job, at: choose::Outcome, search: &mut Search) -> Step {
    let permit = match request_permit(cx, job, at.key, search).await {
        Ok(permit) => permit,
        Err(step) => return step,
    };
    if !ensure_adapter(cx, job, at.key, search.reservation.until).await {
        search.refused.push(at.key);
        if search.refused.len() <= MAX_REFUSED {
            return Step::Retry;
        }
    }
    let opts = search.reservation;
    search.reservation.first = false;
    match reserve(cx, job, at.key, &opts).await {
        Reservation::Granted(prompt) => {
            dispatch(cx, job, at, prompt, permit, false).map_or(Step::Retry, Step::Selected)
        }
        Reservation::Retry => Step::Retry,
        Reservation::Full(wait) if opts.full >= MAX_FULL => Step::SlotTooLate(wait),
        Reservation::Full(_) => {
            search.reservation.full += 1;
            Step::Retry
        }
    }
}

/// Requests another replica for later requests, at most once for each request.
fn request_replica(
    cx: &Arc<Context>,
    job: &Job,
    placement: Option<&cold_start::Outcome>,
    search: &mut Search,
) {
    if let (Some(placement), Some(model)) = (placement, &job.meta.model)
        && !std::mem::replace(&mut search.replica_requested, true)
    {
        log_load(job, model, placement, "beside");
        // The agent's next report shows the outcome.
        if let Some(mut pending) = request(cx, model, placement, REPLICA_TTL, true) {
            pending.detach();
        }
    }
}

/// The placement of another replica for a model whose best target is slow. It must not come from the weight
/// store.
pub(crate) fn replica_placement(
    cx: &Arc<Context>,
    job: &Job,
    excluded: &[TargetKey],
) -> Option<cold_start::Outcome> {
    placement_of(cx, job, excluded).filter(|at| at.from != CopyLocation::Store)
}

/// The cheapest placement of the request's model.
fn placement_of(cx: &Context, job: &Job, excluded: &[TargetKey]) -> Option<cold_start::Outcome> {
    let (model, engine) = job.model_of_engine()?;
    let state = cx.state();
    let now = cx.now();
    cold_start::choose(&state.view, &job.load_of(engine, model, excluded), now)
}

/// Waits for the end of a backoff, or less if the state of the targets changes.
async fn wait_for_backoff(cx: &Context, job: &Job, wait: Duration) {
    let wait = wait.clamp(MIN_BACKOFF_WAIT, CHECK_INTERVAL) + RANK_DELAY * u32::from(job.rank());
    // A change shortens the wait only, so that one that is missed does no harm.
    let _ = timeout(wait, cx.changed.notified()).await;
}

/// The first target that may get the request after its backoff.
fn backoff_wait(cx: &Context, job: &Job, tried: &[TargetKey]) -> Option<BackoffWait> {
    let opts = choose_options(cx, job, tried, false);
    choose::backoff_wait(&cx.state().view, &opts, cx.now())
}

fn lacks_connection(cx: &Context, job: &Job, tried: &[TargetKey]) -> bool {
    let opts = choose_options(cx, job, tried, false);
    choose::lacks_connection(&cx.state().view, &opts, cx.now())
}

pub(crate) fn find_ready(
    cx: &Arc<Context>,
    job: &Job,
    tried: &[TargetKey],
    suspects: bool,
) -> Option<choose::Outcome> {
    let opts = choose_options(cx, job, tried, suspects);
    choose::choose(&cx.state().view, &opts, cx.now())
}

fn choose_options<'a>(
    cx: &'a Context,
    job: &'a Job,
    tried: &'a [TargetKey],
    suspects: bool,
) -> choose::Options<'a> {
    choose::Options {
        service: &job.service,
        model: job.model_of_engine().map(|(m, _)| m),
        adapter: job.meta.adapter.as_deref(),
        tokens: job.meta.prompt_tokens,
        shared: job.shared_prefix,
        data_centre: cx.settings.data_centre.as_str(),
        tried,
        salt: salt(job),
        suspects,
        version: job.version(),
        connections: cx.connections(job),
        pause: job.shortest_pause,
        placement: choose::Placement::CURRENT,
    }
}

fn salt(job: &Job) -> u64 {
    xxh3_64(job.meta.id.as_bytes())
}

/// Returns the selected target, unless it has announced its shutdown while an adapter or a slot was waited
/// for: a request sent there would be lost.
fn dispatch(
    cx: &Arc<Context>,
    job: &Job,
    at: choose::Outcome,
    prompt: PromptEstimate,
    permit: Option<Box<Permit>>,
    suspects: bool,
) -> Option<Selected> {
    let connections = cx.connections(job);
    let (addr, id, version, age) = {
        let now = cx.now();
        let mut state = cx.state();
        let target_state = state.view.get_mut(at.key);
        let connections = connections.allow(target_state, now);
        let runs = target_state.target.runs(job.version());
        if !(target_state.accepts(suspects, now) && connections && runs) {
            return None;
        }
        target_state.availability.record_send(now);
        let age = target_state
            .report
            .as_ref()
            .map(|(_, t)| now.saturating_sub(*t));
        (
            target_state.target.addr,
            target_state.target.id.clone(),
            target_state.target.version.clone(),
            age,
        )
    };
    let model = job.model_of_engine().map(|(m, _)| m);
    let adapter = job.meta.adapter.as_deref();
    let in_flight = InFlight::begin(cx.clone(), at.key, model, adapter, job.meta.prompt_tokens);
    Line::new("chosen")
        .text("id", &job.meta.id)
        .text("target", &id)
        .text("version", version.as_deref().unwrap_or(""))
        .show("addr", addr)
        .num("wait_ms", at.wait_ms as i64)
        .num("expected_ms", at.expected_ms as i64)
        .num("stalls_ms", at.pause_ms as i64)
        .num("cost_ms", at.cost_ms as i64)
        .num("kept", prompt.cached)
        .ms("reads_ms", prompt.reads)
        .ms(
            "report_age_ms",
            age.unwrap_or(Duration::MAX.min(Duration::from_secs(999))),
        )
        .write();
    Some(Selected {
        in_flight,
        addr,
        id,
        version,
        wait_ms: at.expected_ms,
        reads: prompt.reads,
        permit,
        selected_at: Instant::now(),
    })
}

/// Has the adapter loaded at the target unless it is there. Returns false when it could not be loaded in
/// time.
async fn ensure_adapter(cx: &Arc<Context>, job: &Job, key: TargetKey, until: Instant) -> bool {
    let (Some(model), Some(adapter)) = (&job.meta.model, &job.meta.adapter) else {
        return true;
    };
    let addr = {
        let state = cx.state();
        let target_state = state.view.get(key);
        let held = target_state.inventory(cx.now()).model(model);
        if held.is_some_and(|h| h.adapters.contains(adapter)) {
            return true;
        }
        target_state.target.addr
    };
    let req = LoadRequest {
        seq: 0,
        model: model.clone(),
        adapter: Some(adapter.clone()),
        victims: Vec::new(),
        fetch: None,
        prefetch: false,
        timeout: ADAPTER_TIMEOUT,
    };
    let begun = Instant::now();
    let Some(mut pending) = cx.request_load(addr, req) else {
        return false;
    };
    let until = until.min(begun + ADAPTER_TIMEOUT);
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
