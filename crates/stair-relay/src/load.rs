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
        LoadedModel,
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
    pick::{
        COME_BACK,
        LOOK_EVERY,
        RUN_TIME,
        ready, //
    },
};

/// Time that a rejected client may return later than told; a lost packet is sent again after a second.
const RETURN_TIME: Duration = Duration::from_millis(1000);

/// What came of a try to have a model loaded.
pub enum Loaded {
    /// An engine has it.
    Ready,
    /// Some time has passed; it is worth to look again.
    Waited,
    /// This engine does not load it.
    Refused(TargetKey),
    /// It would come too late; when to come back.
    TooLate(Duration),
    /// It would come too late, and an engine that is down may be back with it before.
    Down,
    /// No engine can load it.
    Nowhere,
}

/// Finds a place for a model, has it loaded there and waits for it until `until`. Engines in
/// `refused` are left out. Until `held_until` an engine that is down may be waited for instead.
pub async fn load(
    cx: &Arc<Context>,
    job: &Job,
    model: &str,
    engine: &Engine,
    refused: &[TargetKey],
    held_until: Instant,
    until: Instant,
) -> Loaded {
    let found = {
        let state = cx.state();
        let now = cx.now();
        cold_start::find(&state.view, &job.service, engine, model, refused, now)
    };
    match found {
        Ok(at) => load_at(cx, job, &at, refused, held_until, until).await,
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

/// Has the request's model loaded at a place and waits for it.
pub async fn load_at(
    cx: &Arc<Context>,
    job: &Job,
    at: &cold_start::Outcome,
    refused: &[TargetKey],
    held_until: Instant,
    until: Instant,
) -> Loaded {
    let Some(model) = job.meta.model.as_deref() else {
        return Loaded::Nowhere;
    };
    let begun = Instant::now();
    let late = begun + at.ready_in + RUN_TIME > until;
    // A load that comes too late for this request anyway keeps the weight store from others.
    if late && at.from == CopyLocation::Store && begun < held_until && outage::is_expected(cx, job)
    {
        return Loaded::Down;
    }
    let waits = until.saturating_duration_since(begun);
    let of_use = at.ready_in.max(waits + COME_BACK) + RETURN_TIME;
    let Some(mut pending) = ask(cx, model, at, of_use, false) else {
        return Loaded::Refused(at.key);
    };
    log_load(job, model, at, "needed");
    if late {
        // It is to be there when the client returns.
        pending.stand();
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
    let from = [("from", source(at.from))];
    cx.page.time("wake_ms", &from, begun.elapsed());
    match outcome {
        Ok(msg::Outcome::Ready) => {
            settled(cx, model, at.key);
            Loaded::Ready
        }
        _ => Loaded::Refused(at.key),
    }
}

/// Waits for the answer to a load request. `None` as soon as another engine can run the request: one that
/// unloads a model first may keep it waiting for as long as that model's streams last, while a
/// further replica has come elsewhere.
async fn wait_loaded(
    cx: &Arc<Context>,
    job: &Job,
    pending: &mut PendingLoad,
    refused: &[TargetKey],
    until: Instant,
) -> Option<Result<msg::Outcome, RecvError>> {
    loop {
        let look = Instant::now() + LOOK_EVERY;
        if let Ok(outcome) = timeout_at(look.min(until), pending.outcome()).await {
            return Some(outcome);
        }
        if Instant::now() >= until {
            // As if the agent had failed: the request is refused, and the model is to be there when its
            // client returns.
            pending.stand();
            return Some(Ok(msg::Outcome::Failed));
        }
        if ready(cx, job, refused, false).is_some() {
            return None;
        }
    }
}

/// Waits for a load from the weight store to end, if one after it would still come in time.
async fn wait_for_store(
    engine: &Engine,
    model: &str,
    why: cold_start::Error,
    until: Instant,
) -> Loaded {
    let load = engine.model(model).map_or(COME_BACK, |m| m.from_store);
    match why {
        cold_start::Error::NoCapacity => return Loaded::Nowhere,
        cold_start::Error::MissingReports => {
            sleep(LOOK_EVERY).await;
            return Loaded::Waited;
        }
        cold_start::Error::StoreBusy => {}
    }
    if Instant::now() + load + RUN_TIME > until {
        return Loaded::TooLate(load);
    }
    sleep(LOOK_EVERY).await;
    Loaded::Waited
}

/// Asks an engine's agent for a model, and notes it as loading there until the next report says
/// better: requests for other models would otherwise choose the same engine at the same moment.
pub fn ask(
    cx: &Arc<Context>,
    model: &str,
    at: &cold_start::Outcome,
    of_use: Duration,
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
        timeout: of_use,
    };
    let pending = cx.request_load(addr, req)?;
    let from = [("from", source(at.from))];
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

/// Writes the line of a model that is asked for.
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

/// The label of a copy in metrics.
fn source(from: CopyLocation) -> &'static str {
    match from {
        CopyLocation::Memory => "memory",
        CopyLocation::Disk => "disk",
        CopyLocation::Store => "store",
    }
}

/// Notes that an engine holds a model, ahead of the report that says so.
fn settled(cx: &Context, model: &str, key: TargetKey) {
    let mut state = cx.state();
    if let Some((report, _)) = &mut state.view.get_mut(key).report {
        if report.inventory.model(model).is_none() {
            report.inventory.models.push(LoadedModel {
                name: model.into(),
                adapters: Vec::new(),
            });
            report.inventory.sort();
        }
        report.load.loading = None;
    }
}
