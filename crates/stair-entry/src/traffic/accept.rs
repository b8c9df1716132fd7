//! Accepts connections and returns a response or a refusal for each request.

use std::{
    sync::Arc,
    time::Duration, //
};

use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{
        CONNECTION,
        CONTENT_TYPE,
        HeaderValue, //
    },
};
use stair_http::{
    Body,
    body::full,
    server, //
};
use stair_platform::ObjectStore;
use stair_types::{
    Reason,
    RequestId, //
};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::Instant, //
};

use super::{
    Cx, auth, models,
    refuse::Refused,
    request,
    route::{
        self,
        Route, //
    },
    run,
};

const REQUEST_ID_HEADER: &str = "dandelionstair-request-id";

pub(super) async fn serve<S>(cx: Arc<Cx<S>>, listener: TcpListener, stop: watch::Receiver<bool>)
where
    S: ObjectStore,
{
    let opts = server::Options {
        max_connections: cx.limits.max_connections as usize,
        sheds: true,
        header_timeout: Duration::from_millis(cx.limits.receive_timeout_ms.into()),
        ..server::Options::default()
    };
    let open = cx.connections.clone();
    let handler = move |req| respond(cx.clone(), req);
    server::serve_in(open, listener, opts, stop, handler).await;
}

async fn respond<S>(cx: Arc<Cx<S>>, req: Request<Incoming>) -> Response<Body>
where
    S: ObjectStore,
{
    let id = RequestId(rand::random());
    let mut resp = match handle(&cx, id, req).await {
        Ok(resp) => resp,
        Err(refused) => {
            cx.refused(id, &refused.refusal);
            refused.into_response(id)
        }
    };
    let headers = resp.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    // A caller that reuses its connection would be refused by a draining entry again and again
    // although the balancer has others, so it must open a new connection.
    if cx.is_draining() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    resp
}

async fn handle<S>(
    cx: &Arc<Cx<S>>,
    id: RequestId,
    req: Request<Incoming>,
) -> Result<Response<Body>, Refused>
where
    S: ObjectStore,
{
    let received = Instant::now();
    let view = cx.latest();
    let route = route::route(&req)?;
    if matches!(route, Route::Health) {
        return Ok(health(!cx.is_draining() && view.config.0 > 0));
    }
    if cx.is_draining() {
        return Err(Refused::later(
            Reason::Leaving,
            Duration::ZERO,
            "this entry is leaving; send the request again on a new connection",
        ));
    }
    if view.config.0 == 0 {
        return Err(Refused::later(
            Reason::PlatformDown,
            Duration::from_secs(1),
            "this entry knows no configuration yet",
        ));
    }
    let identity = auth::authenticate(&view.catalogue, req.headers())?;
    if matches!(route, Route::Models) {
        return Ok(models::response(&view.catalogue));
    }
    let (req, admitted) = request::receive(cx, &view, id, received, route, &identity, req).await?;
    cx.quarantine.admit(&req)?;
    Ok(run::spawn(cx.clone(), req, admitted).await)
}

fn health(healthy: bool) -> Response<Body> {
    let (status, text) = match healthy {
        true => (StatusCode::OK, "ok\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not serving\n"),
    };
    let mut resp = Response::new(full(text));
    *resp.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain");
    resp.headers_mut().insert(CONTENT_TYPE, plain);
    resp
}
