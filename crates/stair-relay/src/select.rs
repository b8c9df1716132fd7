//! Selects a target for a request, or has the model loaded at one and waits for it.

mod backoff;
mod candidates;
mod prepare;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use stair_fleet::{
    backoff_queue::Place,
    choose::BackoffWait,
    overload::{
        Decision,
        decide,
        is_fast, //
    },
    view::TargetKey, //
};
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    context::{
        Context,
        InFlight, //
    },
    job::Job,
    limit::{
        Permit,
        Waits, //
    },
    load::{
        Loaded,
        load,
        load_at, //
    },
    origin,
    outage,
    prefill,
    refuse::Reason, //
};

pub(crate) use backoff::Backoffs;
use backoff::{
    Ticket,
    place,
    refuse_for_backoff,
    wait_for_turn,
    withheld, //
};
pub(crate) use candidates::{
    find_ready,
    replica_placement, //
};
use candidates::{
    first_turn,
    lacks_connection,
    placement_of, //
};
use prepare::{
    prepare,
    request_replica,
    select_suspect, //
};

/// Time reserved for the run itself while a request waits for a load or a prefill slot.
pub(crate) const RUN_DURATION: Duration = Duration::from_millis(400);

/// Retry-After when it is unknown when a target will be free.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Rounds of one search. The limit ends a search in which agents refuse the request again and again.
const MAX_ROUNDS: u32 = 12;

/// A request waits for an engine that is down for its time divided by this; the rest is left for the client's
/// retry.
const OUTAGE_WAIT_DIVISOR: u32 = 2;

/// Interval of the checks for a connection that has ended.
const CONNECTION_INTERVAL: Duration = Duration::from_millis(20);

/// Interval in which a waiting request searches for a target again.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(300);

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
        let withheld = withheld(cx, job, &mut search);
        let best = find_ready(cx, job, &[tried, &withheld].concat(), false);
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
            _ => match first_turn(cx, job, tried, place(cx, job, &mut search)) {
                Some(backoff) => Step::Backoff(backoff),
                None if lacks_connection(cx, job, tried) => Step::Connection,
                None => Step::Load,
            },
        };
        if !matches!(step, Step::Backoff(_)) {
            search.ticket = None;
        }
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
                match placement_of(cx, job, &excluded).filter(|p| p.ready_in < backoff.wait) {
                    Some(placement) => {
                        search.ticket = None;
                        Some(load_at(cx, job, &placement, &excluded, outage_until, until).await)
                    }
                    None if wait_for_turn(cx, job, &mut search, backoff).await => {
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
                    let backoff = first_turn(cx, job, tried, place(cx, job, &mut search));
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
    select_suspect(cx, job, tried, &mut search).await
}

fn count_unserved(cx: &Context, job: &Job) {
    if let Some((model, _)) = job.model_of_engine() {
        let now = cx.now();
        cx.state().count_unserved(model, now);
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
    /// Its place among the requests that wait for targets in backoff, once it was needed.
    place: Option<Place>,
    /// Set while it waits for a target in backoff, until it is sent or does something else.
    ticket: Option<Ticket>,
    /// Whether it has waited for a target in backoff.
    waited: bool,
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
            place: None,
            ticket: None,
            waited: false,
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
