//! The plain service's stand-in: answers any call with what it was asked.
//!
//! The answer is 200 with [`Reply`] as JSON. The marker is the header `X-Marker` or, without it,
//! the body. Each call is recorded as a run from its arrival on, with the header `X-Request-Id`.

use std::{
    io,
    net::SocketAddr,
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
    body::Incoming,
    header::HeaderValue, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use stair_http::Body;
use tokio::sync::watch;

use crate::{
    recorder::Recorder,
    server::{
        Rejection,
        Server,
        cut,
        error,
        header,
        json,
        read, //
    },
};

/// What a service is like.
#[derive(Debug, Clone)]
pub struct Options {
    /// The target's name in the records.
    pub name: Box<str>,
    /// Time of a call.
    pub latency: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "service".into(),
            latency: Duration::ZERO,
        }
    }
}

/// Faults, all switched off at first.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Calls begin and do not end, until switched off.
    pub stall: bool,
    /// Breaks the connection after so many bytes of an answer's body.
    pub cut_after: Option<usize>,
    /// Answers with a body that does not end.
    pub endless: bool,
}

/// The body of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The call's method.
    pub method: Box<str>,
    /// The call's path with its query.
    pub path: Box<str>,
    /// The call's marker.
    pub marker: Box<str>,
    /// Calls that have arrived, with this one.
    pub count: u64,
}

#[derive(Default)]
struct State {
    faults: Faults,
    count: u64,
}

struct Shared {
    opts: Options,
    recorder: Recorder,
    state: watch::Sender<State>,
}

/// A running service. Dropping it ends it.
pub struct Service {
    server: Server,
    shared: Arc<Shared>,
}

impl Service {
    /// Starts one; port 0 lets the system choose.
    ///
    /// # Errors
    ///
    /// When the address cannot be had.
    pub async fn start(addr: SocketAddr, opts: Options, recorder: Recorder) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            opts,
            recorder,
            state: watch::channel(State::default()).0,
        });
        let handler = shared.clone();
        let server = Server::start(addr, move |req| answer(handler.clone(), req))?;
        Ok(Self { server, shared })
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Names a limit of calls per second in all answers from now on, or none.
    ///
    /// # Panics
    ///
    /// When the text cannot be a header's value.
    pub fn name_limit(&self, limit: Option<&str>) {
        let value = limit.map(|l| HeaderValue::from_str(l).expect("a header's value"));
        self.server.name_limit(value);
    }

    /// Names the version of its software in all answers to calls that come from now on.
    ///
    /// # Panics
    ///
    /// When the text cannot be a header's value.
    pub fn name_version(&self, version: &str) {
        let value = HeaderValue::from_str(version).expect("a header's value");
        self.server.name_version(Some(value));
    }

    /// States in all answers from now on that it shuts down, or no longer.
    pub fn drain(&self, draining: bool) {
        self.server.drain(draining);
    }

    /// Rejects all calls from now on, or none.
    pub fn reject(&self, rejection: Option<Rejection>) {
        self.server.reject(rejection);
    }

    /// Arrivals of the calls that were rejected.
    pub fn rejected(&self) -> Vec<Instant> {
        self.server.rejected()
    }

    /// Arrivals of all calls, whoever sent them.
    pub fn received(&self) -> Vec<Instant> {
        self.server.received()
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        let state = &self.shared.state;
        state.send_modify(|state| change(&mut state.faults));
    }

    /// Breaks connections and refuses new ones until [`Service::restart`].
    ///
    /// # Errors
    ///
    /// When the address cannot be kept.
    pub async fn stop(&self) -> io::Result<()> {
        self.server.kill().await
    }

    /// Comes back after a stop.
    ///
    /// # Errors
    ///
    /// When the address cannot be had again.
    pub fn restart(&self) -> io::Result<()> {
        self.server.revive()
    }
}

/// A body that ends when its reader closes the connection.
fn endless() -> Response<Body> {
    let (tx, body) = stair_http::body::channel(1);
    tokio::spawn(async move {
        let piece = Bytes::from(vec![b'x'; 16 << 10]);
        while tx.send(Some(piece.clone())).await.is_ok() {}
    });
    Response::new(body)
}

async fn answer(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let id: Box<str> = header(&req, "x-request-id").into();
    let method: Box<str> = req.method().as_str().into();
    let path: Box<str> = req.uri().path_and_query().map_or("", |p| p.as_str()).into();
    let mut marker: Box<str> = header(&req, "x-marker").into();
    let Some(body) = read(req.into_body()).await else {
        return error(StatusCode::BAD_REQUEST, "the body cannot be read");
    };
    if marker.is_empty() {
        marker = String::from_utf8_lossy(&body).into();
    }
    let run = shared.recorder.run(&id, &marker, &path, &shared.opts.name);
    let mut count = 0;
    shared.state.send_modify(|state| {
        state.count += 1;
        count = state.count;
    });
    tokio::time::sleep(shared.opts.latency).await;
    let mut rx = shared.state.subscribe();
    // The sender lives in `shared`.
    let _ = rx.wait_for(|state| !state.faults.stall).await;
    let reply = Reply {
        method,
        path,
        marker,
        count,
    };
    let cut_after = shared.state.borrow().faults.cut_after;
    if let Some(limit) = cut_after {
        let body = Bytes::from(serde_json::to_vec(&reply).unwrap_or_default());
        return cut(body.slice(..limit.min(body.len())));
    }
    if shared.state.borrow().faults.endless {
        return endless();
    }
    run.complete();
    json(StatusCode::OK, &reply)
}
