//! The HTTP listener for operators, separate from the listener for callers.
//!
//! | request | response |
//! | --- | --- |
//! | `GET /status` | a short JSON object: name, active version, whether the process drains |
//! | `GET /dump` | the whole state as JSON |
//! | `POST /drain` | starts the drain; 202 without waiting for its end |

use std::time::Duration;

use hyper::{
    Method,
    Request,
    Response,
    StatusCode,
    body::Incoming,
    header::{
        CONTENT_TYPE,
        HeaderValue, //
    }, //
};
use serde_json::{
    Value,
    json, //
};
use stair_http::{
    body::{
        Body,
        full, //
    },
    server, //
};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::timeout, //
};

/// Connection limit. Operators and their tools need only a few connections.
const MAX_CONNECTIONS: usize = 32;

/// Limit on the time until the process reports its state. Without it, a hung control thread would
/// block the request of the operator who investigates the hang.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Callbacks into the process that the listener serves.
#[derive(Debug, Clone)]
pub struct Routes<S, D, R> {
    /// Returns the response body of `GET /status`.
    pub status: S,
    /// Returns the response body of `GET /dump`.
    pub dump: D,
    /// Starts the drain and returns without waiting for its end.
    pub drain: R,
}

/// Serves requests until `stop` turns true.
///
/// Responds with 503 when a callback takes longer than five seconds.
pub async fn serve<S, SF, D, DF, R, RF>(
    listener: TcpListener,
    stop: watch::Receiver<bool>,
    routes: Routes<S, D, R>,
) where
    S: Fn() -> SF + Clone + Send + Sync + 'static,
    SF: Future<Output = Value> + Send + 'static,
    D: Fn() -> DF + Clone + Send + Sync + 'static,
    DF: Future<Output = Value> + Send + 'static,
    R: Fn() -> RF + Clone + Send + Sync + 'static,
    RF: Future<Output = ()> + Send + 'static,
{
    let opts = server::Options {
        max_connections: MAX_CONNECTIONS,
        ..server::Options::default()
    };
    let handler = move |req: Request<Incoming>| {
        let routes = routes.clone();
        async move { respond(&req, &routes).await }
    };
    server::serve(listener, opts, stop, handler).await;
}

async fn respond<S, SF, D, DF, R, RF>(
    req: &Request<Incoming>,
    routes: &Routes<S, D, R>,
) -> Response<Body>
where
    S: Fn() -> SF,
    SF: Future<Output = Value>,
    D: Fn() -> DF,
    DF: Future<Output = Value>,
    R: Fn() -> RF,
    RF: Future<Output = ()>,
{
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/status") => state_response((routes.status)()).await,
        (&Method::GET, "/dump") => state_response((routes.dump)()).await,
        (&Method::POST, "/drain") => match timeout(RESPONSE_TIMEOUT, (routes.drain)()).await {
            Ok(()) => json_response(StatusCode::ACCEPTED, &json!({ "draining": true })),
            Err(_) => timed_out(),
        },
        (_, "/status" | "/dump") => wrong_method("GET"),
        (_, "/drain") => wrong_method("POST"),
        _ => json_response(
            StatusCode::NOT_FOUND,
            &json!({ "error": "no such page; there are GET /status, GET /dump and POST /drain" }),
        ),
    }
}

pub(crate) async fn state_response<F>(state: F) -> Response<Body>
where
    F: Future<Output = Value>,
{
    match timeout(RESPONSE_TIMEOUT, state).await {
        Ok(value) => json_response(StatusCode::OK, &value),
        Err(_) => timed_out(),
    }
}

fn timed_out() -> Response<Body> {
    let message = format!("the process did not tell its state within {RESPONSE_TIMEOUT:?}");
    json_response(
        StatusCode::SERVICE_UNAVAILABLE,
        &json!({ "error": message }),
    )
}

fn wrong_method(allowed: &'static str) -> Response<Body> {
    let message = format!("this page takes {allowed} only");
    json_response(StatusCode::METHOD_NOT_ALLOWED, &json!({ "error": message }))
}

fn json_response(status: StatusCode, value: &Value) -> Response<Body> {
    // The alternate form has line breaks, for operators who read it with curl.
    let mut resp = Response::new(full(format!("{value:#}\n")));
    *resp.status_mut() = status;
    resp.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    resp
}
