//! A server that can be killed and started again on its address, and the answers of all stand-ins.

use std::{
    future::pending,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
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
    header::{
        CONTENT_TYPE,
        HeaderName,
        HeaderValue,
        RETRY_AFTER, //
    }, //
};
use serde::Serialize;
use stair_http::{
    Body,
    body,
    server, //
};
use tokio::{
    net::{
        TcpListener,
        TcpSocket, //
    },
    sync::{
        mpsc,
        watch, //
    },
    task::JoinHandle,
    time::timeout, //
};

/// Time within which the port of a server that has ended is free again, and the pause between attempts.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
const BIND_PAUSE: Duration = Duration::from_millis(20);

const LIMIT: HeaderName = HeaderName::from_static("server-limit");
const DRAINING: HeaderName = HeaderName::from_static("server-leaving");
const VERSION: HeaderName = HeaderName::from_static("server-version");
const NOT_RUN: HeaderName = HeaderName::from_static("dandelionstair-not-executed");
const BACKLOG: u32 = 1024;
const FLUSH_TIME: Duration = Duration::from_millis(20);
/// Longer than any condition takes on a busy machine.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// A body larger than any that a test sends.
pub(crate) const MAX_BODY_BYTES: usize = 16 << 20;

type Spawn = Box<dyn Fn(TcpListener, watch::Receiver<bool>) -> JoinHandle<()> + Send>;

/// Waits for what a test expects.
///
/// # Panics
///
/// After [`WAIT_LIMIT`], so that a test that waits in vain fails instead of hanging.
pub(crate) async fn expected<T>(condition: impl Future<Output = T>) -> T {
    let result = timeout(WAIT_LIMIT, condition).await;
    result.expect("what the test waits for has not come")
}

/// The calls of a server, and what all its answers state.
#[derive(Default)]
struct Traffic {
    received: Vec<Instant>,
    limit: Option<HeaderValue>,
    draining: bool,
    version: Option<HeaderValue>,
    rejection: Option<Rejection>,
    rejected: Vec<Instant>,
}

/// How a server rejects all calls.
#[derive(Debug, Clone)]
pub struct Rejection {
    /// The value of `Retry-After`.
    pub retry_after: HeaderValue,
    /// Whether the answer states that the request has not run.
    pub not_run: bool,
}

impl Rejection {
    fn answer(&self) -> Response<Body> {
        let mut resp = error(StatusCode::SERVICE_UNAVAILABLE, "busy");
        let headers = resp.headers_mut();
        headers.insert(RETRY_AFTER, self.retry_after.clone());
        if self.not_run {
            headers.insert(NOT_RUN, HeaderValue::from_static("1"));
        }
        resp
    }
}

fn lock(traffic: &Mutex<Traffic>) -> MutexGuard<'_, Traffic> {
    traffic.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A listener with its connections. Dropping it ends them.
pub(crate) struct Server {
    addr: SocketAddr,
    traffic: Arc<Mutex<Traffic>>,
    inner: Mutex<Inner>,
}

struct Inner {
    spawn: Spawn,
    stop: watch::Sender<bool>,
    task: Option<JoinHandle<()>>,
    /// Keeps the port while the server is dead: bound and not listening, it refuses connections.
    reserved: Option<TcpSocket>,
}

impl Server {
    pub(crate) fn start<H, F>(addr: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let socket = bind(addr)?;
        let addr = socket.local_addr()?;
        let traffic: Arc<Mutex<Traffic>> = Arc::default();
        let own = traffic.clone();
        let handler = move |req| {
            let rejection = {
                let mut traffic = lock(&own);
                let now = Instant::now();
                traffic.received.push(now);
                let rejection = traffic.rejection.clone();
                if rejection.is_some() {
                    traffic.rejected.push(now);
                }
                rejection
            };
            // A run that has begun goes on at the version that began it.
            let version = lock(&own).version.clone();
            let (answer, own) = (handler(req), own.clone());
            async move {
                let mut resp = match rejection {
                    Some(rejection) => rejection.answer(),
                    None => answer.await,
                };
                let traffic = lock(&own);
                if let Some(limit) = &traffic.limit {
                    resp.headers_mut().insert(LIMIT, limit.clone());
                }
                if let Some(version) = version {
                    resp.headers_mut().insert(VERSION, version);
                }
                if traffic.draining {
                    let value = HeaderValue::from_static("1");
                    resp.headers_mut().insert(DRAINING, value);
                }
                resp
            }
        };
        let spawn: Spawn = Box::new(move |listener, stop| {
            let opts = server::Options::default();
            tokio::spawn(server::serve(listener, opts, stop, handler.clone()))
        });
        let server = Self {
            addr,
            traffic,
            inner: Mutex::new(Inner {
                spawn,
                stop: watch::channel(false).0,
                task: None,
                reserved: Some(socket),
            }),
        };
        server.revive()?;
        Ok(server)
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Arrivals of all calls, whoever sent them.
    pub(crate) fn received(&self) -> Vec<Instant> {
        lock(&self.traffic).received.clone()
    }

    /// Names a limit of calls per second in all answers from now on, or none.
    pub(crate) fn name_limit(&self, limit: Option<HeaderValue>) {
        lock(&self.traffic).limit = limit;
    }

    /// States in all answers from now on that the server shuts down, or no longer.
    pub(crate) fn drain(&self, draining: bool) {
        lock(&self.traffic).draining = draining;
    }

    /// Names the version of the software in all answers to calls that come from now on.
    pub(crate) fn name_version(&self, version: Option<HeaderValue>) {
        lock(&self.traffic).version = version;
    }

    /// Rejects all calls from now on, or none.
    pub(crate) fn reject(&self, rejection: Option<Rejection>) {
        lock(&self.traffic).rejection = rejection;
    }

    /// Arrivals of the calls that were rejected.
    pub(crate) fn rejected(&self) -> Vec<Instant> {
        lock(&self.traffic).rejected.clone()
    }

    /// Breaks all connections and refuses new ones.
    pub(crate) async fn kill(&self) -> io::Result<()> {
        let task = {
            let mut inner = self.lock();
            inner.stop.send_replace(true);
            inner.task.take()
        };
        let Some(task) = task else {
            return Ok(());
        };
        // Requests in work may never end by themselves, so their connections end with the task.
        task.abort();
        let _ = task.await;
        let socket = bind_again(self.addr).await?;
        self.lock().reserved = Some(socket);
        Ok(())
    }

    /// Listens again after a kill.
    pub(crate) fn revive(&self) -> io::Result<()> {
        let mut inner = self.lock();
        let Some(socket) = inner.reserved.take() else {
            return Ok(());
        };
        let listener = socket.listen(BACKLOG)?;
        let (stop, stopped) = watch::channel(false);
        inner.stop = stop;
        let task = (inner.spawn)(listener, stopped);
        inner.task = Some(task);
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let mut inner = self.lock();
        inner.stop.send_replace(true);
        if let Some(task) = inner.task.take() {
            task.abort();
        }
    }
}

/// Binds the address of a server that has just ended. A connection of another process may have got the
/// port for its own end meanwhile.
async fn bind_again(addr: SocketAddr) -> io::Result<TcpSocket> {
    let until = Instant::now() + BIND_TIMEOUT;
    loop {
        match bind(addr) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && Instant::now() < until => {
                tokio::time::sleep(BIND_PAUSE).await;
            }
            bound => return bound,
        }
    }
}

fn bind(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut resp = Response::new(body::full(text));
    *resp.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    resp.headers_mut().insert(CONTENT_TYPE, kind);
    resp
}

pub(crate) fn error(status: StatusCode, text: &str) -> Response<Body> {
    json(status, &serde_json::json!({ "error": text }))
}

/// Sends these bytes of a body and then breaks the connection.
pub(crate) fn cut(bytes: Bytes) -> Response<Body> {
    let (tx, body) = body::channel(1);
    if !bytes.is_empty() {
        tokio::spawn(send_and_cut(tx, bytes));
    }
    Response::new(body)
}

/// Sends these bytes into a body and then breaks its connection.
pub(crate) async fn send_and_cut(tx: mpsc::Sender<Option<Bytes>>, bytes: Bytes) {
    let _ = tx.send(Some(bytes)).await;
    // Hyper throws away what it has not flushed when the body fails. Once the place is free again
    // it has taken the bytes, and flushes them when it finds nothing more.
    let _ = tx.reserve().await;
    tokio::time::sleep(FLUSH_TIME).await;
}

/// Keeps the connection open for as long as the other end does, and never answers.
pub(crate) async fn silent() -> Response<Body> {
    pending().await
}

pub(crate) async fn read(body: Incoming) -> Option<Bytes> {
    body::read(body, MAX_BODY_BYTES, READ_TIMEOUT).await.ok()
}

pub(crate) fn header<'a>(req: &'a Request<Incoming>, name: &str) -> &'a str {
    let value = req.headers().get(name);
    value.and_then(|v| v.to_str().ok()).unwrap_or_default()
}
