//! The operator's address: the state dump as JSON.

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
use ractor::ActorRef;
use stair_http::{
    Body,
    body::full,
    server, //
};
use tokio::{
    net::TcpListener,
    sync::{
        oneshot,
        watch, //
    },
};

use crate::{
    control::Msg,
    dump::Dump, //
};

/// Asks the control for its state.
pub(crate) async fn dump(control: &ActorRef<Msg>) -> Option<Dump> {
    let (reply, answer) = oneshot::channel();
    control.send_message(Msg::Dump { reply }).ok()?;
    answer.await.ok()
}

/// Serves `GET /dump` until `stop` turns true.
pub(crate) async fn serve(
    listener: TcpListener,
    stop: watch::Receiver<bool>,
    control: ActorRef<Msg>,
) {
    let opts = server::Options {
        max_connections: 16,
        ..server::Options::default()
    };
    server::serve(listener, opts, stop, move |req| {
        answer(req, control.clone())
    })
    .await;
}

async fn answer(req: Request<Incoming>, control: ActorRef<Msg>) -> Response<Body> {
    if req.method() != Method::GET || req.uri().path() != "/dump" {
        return status(StatusCode::NOT_FOUND);
    }
    let Some(dump) = dump(&control).await else {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    };
    let mut resp = Response::new(full(serde_json::to_vec(&dump).unwrap_or_default()));
    let json = HeaderValue::from_static("application/json");
    resp.headers_mut().insert(CONTENT_TYPE, json);
    resp
}

fn status(status: StatusCode) -> Response<Body> {
    let mut resp = Response::new(full(""));
    *resp.status_mut() = status;
    resp
}
