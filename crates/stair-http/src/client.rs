//! A pool of HTTP/1.1 connections to one address.
//!
//! A connection returns to the pool only after the last byte of a response was read. A connection
//! on which a request timed out, failed or was cancelled is closed, because its late response must
//! not reach the next request. An error states whether the server may have run the request.
//!
//! A pooled connection can be dead without an error at either end, for example because a device on
//! the path dropped its connection-tracking entry. A request sent on it is lost, and the client
//! cannot know whether it ran. An idle connection is therefore reused only for
//! [`Options::idle_time`]. After that a new connection is opened, whose TCP handshake proves the
//! path before a request is sent. When a response times out, all idle connections are closed,
//! because the same fault has probably affected them too.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Request,
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{
            SendRequest,
            handshake, //
        },
    },
    http::response::Parts,
};
use hyper_util::rt::TokioIo;
use stair_types::Verdict;
use tokio::{
    net::TcpStream,
    time::{
        Instant,
        timeout, //
    },
};

use crate::counted::{
    Counted,
    Passed, //
};

/// Limits of a client.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Time limit for opening a connection; detects an address that does not respond.
    pub connect_timeout: Duration,
    /// Maximum number of idle connections in the pool.
    pub max_idle: usize,
    /// Time after its last response for which an idle connection may be reused.
    pub idle_time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            max_idle: 32,
            // Under load connections are reused within milliseconds; under low load the cost of
            // a handshake is negligible.
            idle_time: Duration::from_millis(500),
        }
    }
}

/// The reason why a request got no complete response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request was never sent.
    #[error("not sent: {0}")]
    NotSent(Box<str>),
    /// The request may have been sent, and the connection failed or the response timed out.
    #[error("no answer: {0}")]
    Lost(Box<str>),
    /// The response has more bytes than the limit.
    #[error("the answer exceeds {0} bytes")]
    TooLarge(usize),
}

impl Error {
    /// Returns whether the server may have run the request.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::NotSent(_) => Verdict::NotRun,
            Self::Lost(_) | Self::TooLarge(_) => Verdict::MayHaveRun,
        }
    }
}

/// A client for one address. Clones share the connection pool.
#[derive(Clone)]
pub struct Client {
    inner: Arc<Inner>,
}

struct Inner {
    addr: SocketAddr,
    opts: Options,
    /// Ordered by `since`; the most recently used connection is the last.
    idle: Mutex<Vec<Idle>>,
}

struct Idle {
    conn: Connection,
    since: Instant,
}

struct Connection {
    tx: SendRequest<Full<Bytes>>,
    passed: Passed,
}

impl Connection {
    async fn try_send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<hyper::Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.passed.await_head();
        let sent = self.tx.try_send_request(req).await;
        self.passed.head_arrived();
        sent
    }
}

impl Client {
    /// Returns a client without opening a connection.
    pub fn new(addr: SocketAddr, opts: Options) -> Self {
        Self {
            inner: Arc::new(Inner {
                addr,
                opts,
                idle: Mutex::new(Vec::new()),
            }),
        }
    }

    /// Returns the address that the client connects to.
    pub fn addr(&self) -> SocketAddr {
        self.inner.addr
    }

    /// Sends a request and returns the response once its head has arrived.
    ///
    /// The request's URI must be a path; this method sets the `Host` header. `head_time` bounds
    /// connecting, sending and the wait for the head together.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] when no byte of the request was sent, [`Error::Lost`] when some may have
    /// been sent, when `head_time` has passed, or when the response has no explicit end.
    pub async fn send(
        &self,
        req: Request<Full<Bytes>>,
        head_time: Duration,
    ) -> Result<Answer, Error> {
        match self.send_any(req, head_time).await {
            Ok(resp) if !resp.has_end() => {
                Err(Error::Lost("the answer does not say where it ends".into()))
            }
            result => result,
        }
    }

    /// As [`Client::send`], but also returns a response that ends with its connection. The caller has to
    /// find out whether such a response is complete, see [`Answer::has_end`].
    ///
    /// # Errors
    ///
    /// As [`Client::send`], except for a response without an explicit end.
    pub async fn send_any(
        &self,
        mut req: Request<Full<Bytes>>,
        head_time: Duration,
    ) -> Result<Answer, Error> {
        let host = self.inner.addr.to_string();
        if let Ok(host) = host.parse() {
            req.headers_mut().insert(hyper::header::HOST, host);
        }
        match timeout(head_time, self.send_on_idle_or_new(req)).await {
            Ok(result) => result,
            // The request may or may not have been sent before the timeout.
            Err(_) => {
                self.close_idle();
                Err(Error::Lost("no answer in time".into()))
            }
        }
    }

    async fn send_on_idle_or_new(&self, mut req: Request<Full<Bytes>>) -> Result<Answer, Error> {
        // The server may have closed an idle connection in the meantime. Hyper returns the request
        // only if it was not sent, so sending it on another connection is safe.
        while let Some(mut conn) = self.take_idle() {
            match conn.try_send(req).await {
                Ok(resp) => return Ok(self.response(conn, resp)),
                Err(mut e) => match e.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(Error::Lost(e.into_error().to_string().into())),
                },
            }
        }
        let mut conn = self.connect().await?;
        match conn.try_send(req).await {
            Ok(resp) => Ok(self.response(conn, resp)),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(Error::NotSent(e.into_error().to_string().into())),
                None => Err(Error::Lost(e.into_error().to_string().into())),
            },
        }
    }

    async fn connect(&self) -> Result<Connection, Error> {
        let not_sent = |e: &dyn std::fmt::Display| Error::NotSent(e.to_string().into());
        let connecting = TcpStream::connect(self.inner.addr);
        let stream = match timeout(self.inner.opts.connect_timeout, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(not_sent(&e)),
            Err(_) => return Err(not_sent(&"no connection in time")),
        };
        stream.set_nodelay(true).map_err(|e| not_sent(&e))?;
        let (stream, passed) = Counted::new(stream);
        let (tx, driver) = handshake(TokioIo::new(stream))
            .await
            .map_err(|e| not_sent(&e))?;
        tokio::spawn(driver);
        Ok(Connection { tx, passed })
    }

    fn take_idle(&self) -> Option<Connection> {
        let idle_time = self.inner.opts.idle_time;
        let mut idle = self.idle();
        while let Some(Idle { conn, since }) = idle.pop() {
            if since.elapsed() > idle_time {
                // All remaining connections have been idle for longer.
                idle.clear();
                return None;
            }
            if conn.tx.is_ready() {
                return Some(conn);
            }
        }
        None
    }

    fn release(&self, conn: Connection) {
        let since = Instant::now();
        let mut idle = self.idle();
        if idle.len() < self.inner.opts.max_idle {
            idle.push(Idle { conn, since });
        }
    }

    fn close_idle(&self) {
        self.idle().clear();
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.inner
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn response(&self, conn: Connection, resp: hyper::Response<Incoming>) -> Answer {
        let (head, body) = resp.into_parts();
        Answer {
            head,
            body,
            conn: Some(conn),
            client: self.clone(),
        }
    }
}

/// A response whose head has arrived and whose body is read on demand.
pub struct Answer {
    /// Status and headers.
    pub head: Parts,
    body: Incoming,
    conn: Option<Connection>,
    client: Client,
}

impl Answer {
    /// Reads the next chunk of the body, or `None` at its end, and waits at most `time` for it.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`] when the connection failed or no chunk arrived in time.
    pub async fn chunk(&mut self, time: Duration) -> Result<Option<Bytes>, Error> {
        loop {
            let frame = match timeout(time, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(e))) => return Err(Error::Lost(e.to_string().into())),
                Ok(None) => {
                    self.finish();
                    return Ok(None);
                }
                Err(_) => {
                    self.client.close_idle();
                    return Err(Error::Lost("the answer fell silent".into()));
                }
            };
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the rest of the body, at most `limit` bytes, within `time`.
    ///
    /// # Errors
    ///
    /// As [`Answer::chunk`], and [`Error::TooLarge`].
    pub async fn collect(mut self, limit: usize, time: Duration) -> Result<Bytes, Error> {
        let end = Instant::now() + time;
        let mut all = BytesMut::new();
        // A server that sends a byte at a time would otherwise never be given up.
        while let Some(data) = self
            .chunk(end.saturating_duration_since(Instant::now()))
            .await?
        {
            if all.len() + data.len() > limit {
                return Err(Error::TooLarge(limit));
            }
            all.extend_from_slice(&data);
        }
        Ok(all.freeze())
    }

    /// Returns whether a truncated body can be distinguished from a complete one. A response with
    /// neither a content length nor chunked encoding ends when the connection closes, and so does a
    /// truncated one.
    pub fn has_end(&self) -> bool {
        let headers = &self.head.headers;
        hyper::body::Body::is_end_stream(&self.body)
            || headers.contains_key(hyper::header::CONTENT_LENGTH)
            || headers.contains_key(hyper::header::TRANSFER_ENCODING)
    }

    fn finish(&mut self) {
        let conn = self.conn.take();
        if let Some(conn) = conn.filter(|_| self.has_end()) {
            self.client.release(conn);
        }
    }
}
