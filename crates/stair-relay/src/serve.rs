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
use serde_json::json;
use stair_http::{
    body::{
        Body,
        full, //
    },
    server,
};
use stair_telemetry::observe;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        Semaphore,
        watch, //
    },
};

use crate::{
    context::Context,
    dump,
    relay, //
};

/// Limit of open client connections. An entry VM has about 4000 file descriptors, and each request uses a
/// second one for its target.
const MAX_CONNECTIONS: usize = 1800;

/// Smallest buffer for a request's head that the HTTP library accepts.
const MIN_HEAD_BYTES: usize = 8192;

/// Time beyond the declared idle time after which an idle connection is closed. A client that reuses a
/// connection right before its own idle limit must not meet a close.
const IDLE_SLACK: Duration = Duration::from_millis(1000);

/// Accepts client connections until the process ends.
pub async fn clients(cx: Arc<Context>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let cx = cx.clone();
                tokio::spawn(async move {
                    connection(cx, stream).await;
                    drop(slot);
                });
            }
            // Accepting again at once would spin, for instance when file descriptors have run out.
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn connection(cx: Arc<Context>, stream: TcpStream) {
    // Only a latency option: a small response may wait some milliseconds without it.
    let _ = stream.set_nodelay(true);
    let limits = cx
        .state()
        .catalogue
        .as_ref()
        .map(|c| c.limits)
        .unwrap_or_default();
    let head_time = limits.idle_time.max(limits.head_time) + IDLE_SLACK;
    let service = service_fn(move |req| {
        let cx = cx.clone();
        async move { Ok::<_, Infallible>(respond(cx, req).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_time)
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    // An error here concerns only the client's connection; requests are logged on their own.
    let _ = conn.await;
}

async fn respond(cx: Arc<Context>, req: Request<Incoming>) -> Response<Body> {
    let mut resp = relay::serve(cx.clone(), req).await;
    if cx.draining() {
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
