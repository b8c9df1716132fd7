//! The HTTP mapping.

use std::{
    sync::Arc,
    time::Duration, //
};

use hyper::{
    Method,
    Request,
    Response,
    StatusCode,
    body::Incoming, //
};
use serde_json::{
    Value,
    json, //
};
use stair_http::Body;
use stair_platform::{
    Condition,
    Kind,
    types::ERA_HEADER,
    wire, //
};
use stair_types::StoreRevision;
use tokio::{
    sync::watch,
    time::timeout, //
};

use super::{
    Call,
    Loss,
    LostWrites,
    MAX_VALUE_BYTES,
    Outage,
    Rejected,
    State, //
};
use crate::server::{
    cut,
    error,
    header,
    json as answer_json,
    read,
    silent, //
};

type Shared = Arc<watch::Sender<State>>;

enum Route {
    Objects { kind: Kind, name: Box<str> },
    Watch(Watch),
}

struct Watch {
    kinds: Vec<Kind>,
    since: u64,
    wait: Duration,
}

pub(super) async fn answer(state: Shared, req: Request<Incoming>) -> Response<Body> {
    let mut resp = respond(state.clone(), req).await;
    let state = state.borrow();
    // During an outage a proxy in front of the platform responds, and states no era.
    if state.outage == Outage::None {
        let era = state.store.era().0;
        resp.headers_mut().insert(ERA_HEADER, era.into());
    }
    resp
}

async fn respond(state: Shared, req: Request<Incoming>) -> Response<Body> {
    let Some(route) = route(&req) else {
        return error(StatusCode::BAD_REQUEST, "no such path");
    };
    let Some(call) = call(req.method(), &route) else {
        return error(StatusCode::METHOD_NOT_ALLOWED, "no such method");
    };
    let kind = match &route {
        Route::Objects { kind, .. } => Some(*kind),
        Route::Watch(_) => None,
    };
    state.send_modify(|state| state.calls.add(call, kind));
    let (outage, delay) = {
        let state = state.borrow();
        (state.outage, state.delay)
    };
    match outage {
        Outage::None => {}
        Outage::Refuse => return cut(Default::default()),
        Outage::Unavailable => return error(StatusCode::SERVICE_UNAVAILABLE, "outage"),
        Outage::BlackHole => return silent().await,
    }
    if let (Call::Put | Call::Delete, Route::Objects { kind, name }) = (call, &route) {
        return write(state, *kind, name, req, delay).await;
    }
    tokio::time::sleep(delay).await;
    match route {
        Route::Watch(watch) => changes(&state, watch).await,
        Route::Objects { kind, .. } if call == Call::List => {
            let page = state.borrow().store.list(kind);
            answer_json(StatusCode::OK, &wire::Page::from(page))
        }
        Route::Objects { kind, name } => get(&state, kind, &name),
    }
}

fn route(req: &Request<Incoming>) -> Option<Route> {
    let path = req.uri().path();
    if path == "/watch" {
        return watch_query(req.uri().query()?).map(Route::Watch);
    }
    let rest = path.strip_prefix("/objects/")?;
    let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
    Some(Route::Objects {
        kind: parse_kind(kind)?,
        name: name.into(),
    })
}

fn watch_query(query: &str) -> Option<Watch> {
    let value = |key: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(k, _)| *k == key).map(|(_, value)| value)
    };
    let kinds = value("kinds")?.split(',').map(parse_kind);
    Some(Watch {
        kinds: kinds.collect::<Option<_>>()?,
        since: value("since")?.parse().ok()?,
        wait: Duration::from_millis(value("timeout_ms")?.parse().ok()?),
    })
}

fn parse_kind(text: &str) -> Option<Kind> {
    serde_json::from_value(Value::from(text)).ok()
}

fn call(method: &Method, route: &Route) -> Option<Call> {
    match (method, route) {
        (&Method::GET, Route::Watch(_)) => Some(Call::Watch),
        (&Method::GET, Route::Objects { name, .. }) if name.is_empty() => Some(Call::List),
        (&Method::GET, Route::Objects { .. }) => Some(Call::Get),
        (&Method::PUT, Route::Objects { .. }) => Some(Call::Put),
        (&Method::DELETE, Route::Objects { .. }) => Some(Call::Delete),
        _ => None,
    }
}

fn get(state: &Shared, kind: Kind, name: &str) -> Response<Body> {
    match state.borrow().store.get(kind, name) {
        Some(object) => answer_json(StatusCode::OK, &wire::Object::from(object)),
        None => error(StatusCode::NOT_FOUND, "no such object"),
    }
}

async fn changes(state: &Shared, watch: Watch) -> Response<Body> {
    let mut rx = state.subscribe();
    let era = state.borrow().store.era();
    let is_cut = |state: &State| state.store.era() != era && state.store.cuts_watches();
    let changed = rx.wait_for(|state| {
        if is_cut(state) {
            return true;
        }
        let page = state.store.changes(&watch.kinds, watch.since);
        page.is_none_or(|page| !page.events.is_empty())
    });
    let _ = timeout(watch.wait, changed).await;
    let state = state.borrow();
    if is_cut(&state) {
        return cut(Default::default());
    }
    match state.store.changes(&watch.kinds, watch.since) {
        Some(page) => answer_json(StatusCode::OK, &wire::Page::from(page)),
        None => error(StatusCode::GONE, "too old, list again"),
    }
}

async fn write(
    state: Shared,
    kind: Kind,
    name: &str,
    req: Request<Incoming>,
    delay: Duration,
) -> Response<Body> {
    if kind == Kind::Vm {
        return error(StatusCode::FORBIDDEN, "the platform writes this itself");
    }
    let Some(condition) = condition(&req) else {
        return error(StatusCode::PRECONDITION_REQUIRED, "needs a condition");
    };
    let is_put = req.method() == Method::PUT;
    let Some(body) = read(req.into_body()).await else {
        return error(StatusCode::PAYLOAD_TOO_LARGE, "cannot be read");
    };
    if body.len() > MAX_VALUE_BYTES {
        return error(StatusCode::PAYLOAD_TOO_LARGE, "the value is too large");
    }
    let value = match is_put.then(|| serde_json::from_slice(&body)) {
        Some(Ok(value)) => Some(value),
        Some(Err(_)) => return error(StatusCode::BAD_REQUEST, "not JSON"),
        None => None,
    };
    let lost = take_loss(&state);
    let name: Box<str> = name.into();
    // In a task of its own, because a write that was received takes effect late also when its
    // caller has hung up meanwhile.
    let effect = tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        match lost {
            Some(lost) if !lost.after_effect => cut(Default::default()),
            _ => take_effect(&state, kind, &name, value, condition),
        }
    });
    let resp = effect.await;
    match (lost.map(|lost| lost.loss), resp) {
        (None, Ok(resp)) => resp,
        (Some(Loss::Silent), _) => silent().await,
        (Some(Loss::Closed), _) | (None, Err(_)) => cut(Default::default()),
    }
}

fn condition(req: &Request<Incoming>) -> Option<Condition> {
    if header(req, "if-none-match") == "*" {
        return Some(Condition::Absent);
    }
    let counter = header(req, "if-match").parse().ok()?;
    Some(Condition::Version(StoreRevision::new(0, counter)))
}

fn take_loss(state: &Shared) -> Option<LostWrites> {
    let mut taken = None;
    state.send_modify(|state| {
        taken = state.lost.filter(|lost| lost.left > 0);
        if let Some(lost) = &mut state.lost {
            lost.left = lost.left.saturating_sub(1);
        }
    });
    taken
}

/// Puts the value, or deletes the object when there is none.
fn take_effect(
    state: &Shared,
    kind: Kind,
    name: &str,
    value: Option<Value>,
    condition: Condition,
) -> Response<Body> {
    let mut result = Err(Rejected::Conflict);
    state.send_modify(|state| {
        result = match (value, condition) {
            (Some(value), condition) => state.store.put(kind, name, value, condition),
            (None, Condition::Version(version)) => {
                let deleted = state.store.delete(kind, name, version);
                deleted.map(|()| version)
            }
            (None, Condition::Absent) => Err(Rejected::Conflict),
        };
    });
    match result {
        Ok(version) => answer_json(StatusCode::OK, &json!({ "version": version.counter })),
        Err(Rejected::Conflict) => error(StatusCode::CONFLICT, "changed meanwhile"),
        Err(Rejected::NotFound) => error(StatusCode::NOT_FOUND, "no such object"),
    }
}
