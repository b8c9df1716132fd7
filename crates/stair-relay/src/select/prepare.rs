//! Prepares a target for a request: its permit, its adapter and its prefill slot.

use std::{
    sync::Arc,
    time::Duration, //
};

use stair_fleet::{
    choose,
    cold_start,
    msg::{
        self,
        LoadRequest, //
    },
    view::TargetKey, //
};
use stair_telemetry::event::Line;
use tokio::time::{
    Instant,
    timeout_at, //
};

use super::{
    MAX_FULL,
    NoTarget,
    Search,
    Selected,
    Step,
    backoff::{
        place,
        refuse_for_backoff,
        withheld, //
    },
    candidates::{
        find_ready,
        first_turn, //
    }, //
};
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
        log_load,
        request, //
    },
    prefill::{
        self,
        PromptEstimate,
        Reservation,
        reserve, //
    }, //
};

/// Limit for an agent to load an adapter, which may have to wait for free memory.
const ADAPTER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time for which a load of another replica is of use: as long as requests wait for the slow one.
const REPLICA_TTL: Duration = Duration::from_secs(2);

/// Engines that may fail to load the request's adapter; after that a request is sent to an engine without it.
const MAX_REFUSED: usize = 2;

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
pub(super) async fn prepare(
    cx: &Arc<Context>,
    job: &Job,
    at: choose::Outcome,
    search: &mut Search,
) -> Step {
    // Another target is free before its turn has come.
    if search.ticket.as_ref().is_some_and(|t| !t.is_for(at.key)) {
        search.ticket = None;
    }
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
pub(super) fn request_replica(
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

/// Selects a suspect target, which is better than none.
pub(super) async fn select_suspect(
    cx: &Arc<Context>,
    job: &Job,
    tried: &[TargetKey],
    search: &mut Search,
) -> Result<Selected, NoTarget> {
    let withheld = withheld(cx, job, search);
    let Some(at) = find_ready(cx, job, &[tried, &withheld].concat(), true) else {
        let backoff = first_turn(cx, job, tried, place(cx, job, search));
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
