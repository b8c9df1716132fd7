//! Has a model loaded for a request and waits for it.

use std::{
    sync::Arc,
    time::Duration, //
};

use stair_fleet::{
    catalogue::Engine,
    cold_start, //
    fetch,
    msg::{
        self,
        LoadRequest, //
    },
    target::{
        CopyLocation,
        Loading, //
    },
    view::TargetKey,
};
use stair_telemetry::event::Line;
use tokio::{
    sync::oneshot::error::RecvError,
    time::{
        Instant,
        sleep,
        timeout_at, //
    }, //
};

use crate::{
    context::{
        Context,
        PendingLoad, //
    },
    job::Job,
    outage,
    select::{
        CHECK_INTERVAL,
        DEFAULT_RETRY_AFTER,
        RUN_DURATION,
        find_ready, //
    },
};

/// Time that a rejected client may come later than its Retry-After: a lost packet is sent again after a
/// second.
const RETURN_SLACK: Duration = Duration::from_millis(1000);

/// The outcome of a request to load a model.
pub enum Loaded {
    /// An engine has the model.
    Ready,
    /// Some time has passed; a new search may find a target.
    Waited,
    /// This engine does not load the model.
    Refused(TargetKey),
    /// The load would end too late; the time that it takes.
    TooLate(Duration),
    /// The load would end too late, and an engine that is down may be back with the model before.
    EngineDown,
    /// No engine can load the model.
    NoCapacity,
}

/// Finds a placement for a model, has the model loaded there and waits for it until `until`. Engines in
/// `refused` are excluded. Until `outage_until` an engine that is down may be waited for instead.
pub async fn load(
    cx: &Arc<Context>,
    job: &Job,
    model: &str,
    engine: &Engine,
    refused: &[TargetKey],
    outage_until: Instant,
    until: Instant,
) -> Loaded {
    let found = {
        let state = cx.state();
        let now = cx.now();
        cold_start::find(&state.view, &job.load_of(engine, model, refused), now)
    };
    match found {
        Ok(at) => load_at(cx, job, &at, refused, outage_until, until).await,
        Err(e) => {
            Line::new("wake.nowhere")
                .text("id", &job.meta.id)
                .text("model", model)
                .show("why", e)
                .write();
            wait_for_store(engine, model, e, until).await
        }
    }
}

/// Has the request's model loaded at the placement `at` and waits for it.
pub async fn load_at(
    cx: &Arc<Context>,
    job: &Job,
    at: &cold_start::Outcome,
    refused: &[TargetKey],
    outage_until: Instant,
    until: Instant,
) -> Loaded {
    let Some(model) = job.meta.model.as_deref() else {
        return Loaded::NoCapacity;
    };
    let begun = Instant::now();
    let late = begun + at.ready_in + RUN_DURATION > until;
    // A load that ends too late for this request would only occupy the weight store.
    if late
        && at.from == CopyLocation::Store
        && begun < outage_until
        && outage::is_expected(cx, job)
    {
        return Loaded::EngineDown;
    }
    let remaining = until.saturating_duration_since(begun);
    let timeout = at.ready_in.max(remaining + DEFAULT_RETRY_AFTER) + RETURN_SLACK;
    let Some(mut pending) = request(cx, model, at, timeout, false) else {
        return Loaded::Refused(at.key);
    };
    log_load(job, model, at, "needed");
    if late {
        // The model is to be loaded when the client retries.
        pending.detach();
        return Loaded::TooLate(at.ready_in);
    }
    let outcome = match wait_loaded(cx, job, &mut pending, refused, until).await {
        Some(outcome) => outcome,
        None => {
            Line::new("woken.elsewhere")
                .text("id", &job.meta.id)
                .text("model", model)
                .ms("took_ms", begun.elapsed())
                .write();
            return Loaded::Ready;
        }
    };
    Line::new("woken")
        .text("id", &job.meta.id)
        .text("model", model)
        .show("outcome", format_args!("{outcome:?}"))
        .ms("took_ms", begun.elapsed())
        .write();
    let from = [("from", copy_label(at.from))];
    cx.page.time("wake_ms", &from, begun.elapsed());
    match outcome {
        Ok(msg::Outcome::Ready) => {
            mark_loaded(cx, model, at.key);
            Loaded::Ready
        }
        _ => Loaded::Refused(at.key),
    }
}

/// Waits for the reply to a load request. Returns `None` as soon as another engine can run the request: an
/// engine that has to unload a model first waits for the streams of that model, while another replica may
/// have been loaded elsewhere.
async fn wait_loaded(
    cx: &Arc<Context>,
    job: &Job,
    pending: &mut PendingLoad,
    refused: &[TargetKey],
    until: Instant,
) -> Option<Result<msg::Outcome, RecvError>> {
    loop {
        let check_at = Instant::now() + CHECK_INTERVAL;
        if let Ok(outcome) = timeout_at(check_at.min(until), pending.outcome()).await {
            return Some(outcome);
        }
        if Instant::now() >= until {
            // Treated like a failure of the agent: the request is refused, and the load goes on so that the
            // model is there when the client retries.
            pending.detach();
            return Some(Ok(msg::Outcome::Failed));
        }
        if find_ready(cx, job, refused, false).is_some() {
            return None;
        }
    }
}

/// Waits for a load from the weight store to end, if a load after that one would still be in time.
async fn wait_for_store(
    engine: &Engine,
    model: &str,
    why: cold_start::Error,
    until: Instant,
) -> Loaded {
    let load = engine
        .model(model)
        .map_or(DEFAULT_RETRY_AFTER, |m| m.from_store);
    match why {
        cold_start::Error::NoCapacity => return Loaded::NoCapacity,
        cold_start::Error::MissingReports => {
            sleep(CHECK_INTERVAL).await;
            return Loaded::Waited;
        }
        cold_start::Error::StoreBusy => {}
    }
    if Instant::now() + load + RUN_DURATION > until {
        return Loaded::TooLate(load);
    }
    sleep(CHECK_INTERVAL).await;
    Loaded::Waited
}

/// Requests a model from an engine's agent. The model counts as loading there until the agent's next report;
/// otherwise requests for other models would choose the same engine at the same moment.
pub fn request(
    cx: &Arc<Context>,
    model: &str,
    at: &cold_start::Outcome,
    timeout: Duration,
    prefetch: bool,
) -> Option<PendingLoad> {
    let (addr, together) = {
        let state = cx.state();
        let target = &state.view.get(at.key).target;
        let others = fetch::in_progress(&state.view, &target.service, cx.now());
        (target.addr, u32::try_from(others + 1).unwrap_or(u32::MAX))
    };
    let req = LoadRequest {
        seq: 0,
        model: model.into(),
        adapter: None,
        victims: at.victims.clone(),
        fetch: (at.from == CopyLocation::Store).then_some(together),
        prefetch,
        timeout,
    };
    let pending = cx.request_load(addr, req)?;
    let from = [("from", copy_label(at.from))];
    cx.page.count("loads_asked_total", &from, 1);
    let mut state = cx.state();
    if let Some((report, _)) = &mut state.view.get_mut(at.key).report
        && report.load.loading.is_none()
    {
        report.load.loading = Some(Loading {
            model: model.into(),
            from: at.from,
            remaining: at.ready_in,
            slowdown: 0.0,
        });
    }
    Some(pending)
}

/// Logs the request for a model.
pub fn log_load(job: &Job, model: &str, at: &cold_start::Outcome, why: &str) {
    Line::new("wake")
        .text("id", &job.meta.id)
        .text("model", model)
        .text("why", why)
        .show("from", format_args!("{:?}", at.from))
        .ms("ready_in_ms", at.ready_in)
        .num("cost_ms", at.cost_ms as i64)
        .show("victims", format_args!("{:?}", at.victims))
        .write();
}

/// The metric label of the location of a copy.
fn copy_label(from: CopyLocation) -> &'static str {
    match from {
        CopyLocation::Memory => "memory",
        CopyLocation::Disk => "disk",
        CopyLocation::Store => "store",
    }
}

/// Adds a model to the inventory of an engine before the agent reports it.
fn mark_loaded(cx: &Context, model: &str, key: TargetKey) {
    cx.state().view.get_mut(key).mark_loaded(model);
}
