//! Loads and unloads.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use hyper::{
    Request,
    Response,
    StatusCode,
    body::Incoming, //
};
use serde::Deserialize;
use serde_json::json;
use stair_http::Body;

use super::{
    HeldState,
    Shared,
    state::{
        Load,
        LoadStep,
        State,
        UnloadStep, //
    }, //
};
use crate::{
    recorder::{
        Action,
        Source, //
    },
    server::{
        cut,
        error,
        json as answer_json,
        read, //
    },
};

#[derive(Deserialize)]
struct Order {
    model: Box<str>,
    #[serde(default)]
    adapter: Option<Box<str>>,
    #[serde(default)]
    version: Box<str>,
    #[serde(default)]
    memory_mib: u32,
    fence: u64,
}

impl Order {
    async fn read(req: Request<Incoming>) -> Option<Self> {
        let body = read(req.into_body()).await?;
        serde_json::from_slice(&body).ok()
    }

    fn key(&self) -> Box<str> {
        match &self.adapter {
            Some(adapter) => format!("{}/{adapter}", self.model).into(),
            None => self.model.clone(),
        }
    }
}

enum Ended {
    Done,
    Failed,
    Crashed,
}

pub(super) async fn load(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let Some(order) = Order::read(req).await else {
        return error(StatusCode::BAD_REQUEST, "bad-order");
    };
    let load = Load {
        key: order.key(),
        version: order.version,
        memory_mib: order.memory_mib,
        fence: order.fence,
    };
    let started = Instant::now();
    loop {
        match begin_load(&shared, &load) {
            LoadStep::Loaded(source) => return loaded(&shared, source, started),
            LoadStep::Start { source, life } => {
                let key = load.key.clone();
                let work = finish_load(shared.clone(), key, source, life);
                return match tokio::spawn(work).await {
                    Ok(Ended::Done) => loaded(&shared, source, started),
                    Ok(Ended::Failed) => failed(),
                    Ok(Ended::Crashed) | Err(_) => cut(Bytes::new()),
                };
            }
            LoadStep::AwaitLoad => {
                until_not(&shared, &load.key, HeldState::Loading).await;
                if shared.state.borrow().find(&load.key).is_none() {
                    return failed();
                }
            }
            LoadStep::AwaitUnload => until_not(&shared, &load.key, HeldState::Unloading).await,
            LoadStep::Down => return cut(Bytes::new()),
            LoadStep::StaleFence => return error(StatusCode::CONFLICT, "stale-fence"),
            LoadStep::OtherVersion => return error(StatusCode::CONFLICT, "other-version"),
            LoadStep::NoModel => return error(StatusCode::NOT_FOUND, "no-model"),
            LoadStep::NoMemory => return error(StatusCode::INSUFFICIENT_STORAGE, "no-memory"),
        }
    }
}

pub(super) async fn unload(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let Some(order) = Order::read(req).await else {
        return error(StatusCode::BAD_REQUEST, "bad-order");
    };
    let key = order.key();
    loop {
        let step = shared.modify(|state| state.begin_unload(&key, order.fence, &shared.opts));
        match step {
            UnloadStep::Start { life } => {
                let work = finish_unload(shared.clone(), key, life);
                return match tokio::spawn(work).await {
                    Ok(Ended::Done) => unloaded(&shared),
                    _ => cut(Bytes::new()),
                };
            }
            UnloadStep::AwaitLoad => until_not(&shared, &key, HeldState::Loading).await,
            UnloadStep::AwaitUnload => {
                until_not(&shared, &key, HeldState::Unloading).await;
                return unloaded(&shared);
            }
            UnloadStep::StaleFence => return error(StatusCode::CONFLICT, "stale-fence"),
            UnloadStep::NotHeld => return error(StatusCode::NOT_FOUND, "not-held"),
        }
    }
}

fn begin_load(shared: &Shared, load: &Load) -> LoadStep {
    shared.modify(|state| {
        let step = state.begin_load(load, &shared.opts);
        if let LoadStep::Start { .. } = step {
            let name = &shared.opts.name;
            shared.recorder.hold(name, &load.key, load.memory_mib);
        }
        step
    })
}

async fn finish_load(shared: Arc<Shared>, key: Box<str>, source: Source, life: u64) -> Ended {
    let time = shared.opts.load_time(source);
    work(&shared, &key, Action::Load(source), time, life, |state| {
        // An adapter goes down with its model, also in the middle of its load.
        if state.faults.fail_loads || state.find(&key).is_none() {
            release(&shared, state, &key);
            return Ended::Failed;
        }
        state.end_load(&key);
        Ended::Done
    })
    .await
}

async fn finish_unload(shared: Arc<Shared>, key: Box<str>, life: u64) -> Ended {
    let time = shared.opts.unload;
    work(&shared, &key, Action::Unload, time, life, |state| {
        release(&shared, state, &key);
        Ended::Done
    })
    .await
}

/// Lets a load or unload take its time, and ends it unless the engine has crashed meanwhile.
async fn work<F>(
    shared: &Shared,
    key: &str,
    action: Action,
    time: Duration,
    life: u64,
    end: F,
) -> Ended
where
    F: FnOnce(&mut State) -> Ended,
{
    let index = shared.recorder.begin(&shared.opts.name, key, action);
    tokio::select! {
        () = shared.work(time) => {}
        () = shared.until(|state| state.life != life) => {}
    }
    let ended = shared.modify(|state| match state.life == life {
        true => end(state),
        false => Ended::Crashed,
    });
    let completed = matches!(ended, Ended::Done);
    shared.recorder.end(index, completed);
    ended
}

fn release(shared: &Shared, state: &mut State, key: &str) {
    for key in state.take_out(key) {
        shared.recorder.release(&shared.opts.name, &key);
    }
}

async fn until_not(shared: &Shared, key: &str, unwanted: HeldState) {
    let passed = |state: &State| {
        let held = state.find(key);
        held.is_none_or(|held| held.state != unwanted)
    };
    shared.until(passed).await;
}

fn loaded(shared: &Shared, source: Source, started: Instant) -> Response<Body> {
    let load_ms = started.elapsed().as_millis() as u64;
    let body = json!({ "source": source, "load_ms": load_ms });
    or_lost(shared, answer_json(StatusCode::OK, &body))
}

fn unloaded(shared: &Shared) -> Response<Body> {
    or_lost(shared, answer_json(StatusCode::OK, &json!({})))
}

fn failed() -> Response<Body> {
    error(StatusCode::INTERNAL_SERVER_ERROR, "load-failed")
}

fn or_lost(shared: &Shared, resp: Response<Body>) -> Response<Body> {
    let lost = shared.modify(|state| {
        let left = &mut state.faults.lose_answers;
        let lost = *left > 0;
        *left = left.saturating_sub(1);
        lost
    });
    if lost { cut(Bytes::new()) } else { resp }
}
