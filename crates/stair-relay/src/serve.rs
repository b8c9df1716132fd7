//! Listeners for clients, for the balancer's readiness probes and for metrics.

use std::{
    convert::Infallible,
    sync::Arc,
    time::Duration, //
};

use hyper::{
    Request,
    Response,
    StatusCode,
    body::Incoming,
    header::{
        CONNECTION,
        HeaderValue, //
    },
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use nix::sys::resource::{
    Resource,
    getrlimit, //
};
use serde_json::json;
use stair_http::{
    body::{
        Body,
        full, //
    },
    connections::{
        Connection,
        Stream, //
    },
    server,
};
use stair_telemetry::observe;
use tokio::{net::TcpListener, sync::watch};

use crate::{
    context::Context,
    dump,
    relay, //
};

/// Limit of open client connections, where the process may have enough descriptors.
const MAX_CONNECTIONS: usize = 1800;

/// Descriptors that are not used for clients and their targets: links, listeners and calls of the store.
const RESERVED_DESCRIPTORS: u64 = 300;

/// Smallest buffer for a request's head that the HTTP library accepts.
const MIN_HEAD_BYTES: usize = 8192;

/// Time beyond the declared idle time after which an idle connection is closed. A client that reuses a
/// connection right before its own idle limit must not meet a close.
const IDLE_SLACK: Duration = Duration::from_millis(1000);

/// The limit of open client connections. Each request uses a second descriptor for its target.
pub(crate) fn max_connections() -> usize {
    let Ok((descriptors, _)) = getrlimit(Resource::RLIMIT_NOFILE) else {
        return MAX_CONNECTIONS;
    };
    let usable = descriptors
        .saturating_sub(RESERVED_DESCRIPTORS)
        .max(descriptors / 2);
    let connections = usize::try_from(usable / 2).unwrap_or(usize::MAX);
    connections.min(MAX_CONNECTIONS)
}

/// Accepts client connections until the process ends.
pub async fn clients(cx: Arc<Context>, listener: TcpListener) {
    tokio::join!(cx.connections.watch_delay(), accept(&cx, listener));
}

async fn accept(cx: &Arc<Context>, listener: TcpListener) {
    loop {
        let (stream, open) = cx.connections.accept(&listener).await;
        tokio::spawn(connection(cx.clone(), stream, open));
    }
}

async fn connection(cx: Arc<Context>, stream: Stream, open: Connection) {
    let limits = cx
        .state()
        .catalogue
        .as_ref()
        .map(|c| c.limits)
        .unwrap_or_default();
    let head_time = limits.idle_time.max(limits.head_time) + IDLE_SLACK;
    let service = service_fn(|req| {
        let (cx, guard) = (cx.clone(), open.begin_request());
        async move { Ok::<_, Infallible>(guard.until_taken(respond(cx, req).await)) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_time)
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // An error here concerns only the client's connection; requests are logged on their own.
        _ = conn => {}
        () = open.evicted() => {}
    }
}

async fn respond(cx: Arc<Context>, req: Request<Incoming>) -> Response<Body> {
    let mut resp = relay::serve(cx.clone(), req).await;
    // The next request of an entry without time for it reaches another one on a new connection.
    if cx.draining() || cx.connections.is_overloaded() {
        let close = HeaderValue::from_static("close");
        resp.headers_mut().insert(CONNECTION, close);
    }
    resp
}

/// Serves readiness probes of the balancer until `stop` turns true.
pub async fn readiness(cx: Arc<Context>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let handler = move |_: Request<Incoming>| {
        let ready = cx.ready();
        async move {
            let mut resp = Response::new(full(if ready { "ready\n" } else { "not ready\n" }));
            if !ready {
                *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            resp
        }
    };
    server::serve(listener, server::Options::default(), stop, handler).await;
}

/// Serves metrics and the state dump until `stop` turns true.
pub async fn metrics(cx: Arc<Context>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let dumped = cx.clone();
    let opts = observe::Options {
        page: move || {
            cx.gauges();
            cx.page.text()
        },
        dump: move || {
            let dump = json!(dump::dump(&dumped));
            async move { dump }
        },
    };
    observe::serve(listener, stop, opts).await;
}
