//! A pool of HTTP/1.1 connections to one address.
//!
//! A connection goes back to the pool only when an answer's last byte was read. One on which a
//! request timed out, failed or was given up is closed: its late answer must not reach the next
//! request. An error says whether the request may have reached the other end.
//!
//! A pooled connection can have gone silent: something between the two ends has lost track of it,
//! and neither end gets an error. A request sent on it is lost, and nobody knows whether it ran.
//! So a connection is used again only shortly after its last answer, and otherwise a fresh one is
//! opened, which shows that the path works before anything is sent. When one falls silent all
//! pooled ones are closed, since what took it has probably taken them too.

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
    client::conn::http1::{
        SendRequest,
        handshake, //
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

/// Bounds of a client.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Time to open a connection. A silent address is noticed by it.
    pub connect_timeout: Duration,
    /// Idle connections kept.
    pub max_idle: usize,
    /// Time for which an idle connection is used again.
    pub idle_time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            max_idle: 32,
            // Under load connections are used again within milliseconds; with little load a
            // handshake costs nothing that counts.
            idle_time: Duration::from_millis(500),
        }
    }
}

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request was never sent.
    #[error("not sent: {0}")]
    NotSent(Box<str>),
    /// The request was sent, and the connection failed or fell silent.
    #[error("no answer: {0}")]
    Lost(Box<str>),
    /// The answer has more bytes than the limit.
    #[error("the answer exceeds {0} bytes")]
    TooLarge(usize),
}

impl Error {
    /// Tells whether the other end may have run the request.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::NotSent(_) => Verdict::NotRun,
            Self::Lost(_) | Self::TooLarge(_) => Verdict::MayHaveRun,
        }
    }
}

/// Connections to one address. Cloning shares the pool.
#[derive(Clone)]
pub struct Client {
    inner: Arc<Inner>,
}

struct Inner {
    addr: SocketAddr,
    opts: Options,
    /// The one that was used last comes last.
    idle: Mutex<Vec<Idle>>,
}

struct Idle {
    conn: Connection,
    since: Instant,
}

type Connection = SendRequest<Full<Bytes>>;

impl Client {
    /// Makes a client; it opens no connection yet.
    pub fn new(addr: SocketAddr, opts: Options) -> Self {
        Self {
            inner: Arc::new(Inner {
                addr,
                opts,
                idle: Mutex::new(Vec::new()),
            }),
        }
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.inner.addr
    }

    /// Sends a request and waits at most `head_time` for the head of its answer.
    ///
    /// The request's URI is a path; the `Host` header is set here.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] when no byte of it was sent, [`Error::Lost`] afterwards.
    pub async fn send(
        &self,
        mut req: Request<Full<Bytes>>,
        head_time: Duration,
    ) -> Result<Answer, Error> {
        let host = self.inner.addr.to_string();
        if let Ok(host) = host.parse() {
            req.headers_mut().insert(hyper::header::HOST, host);
        }
        match timeout(head_time, self.send_on_idle_or_new(req)).await {
            Ok(Ok(resp)) if !resp.has_end() => {
                Err(Error::Lost("the answer does not say where it ends".into()))
            }
            Ok(result) => result,
            // Whether the request left before the time was up is unknown.
            Err(_) => {
                self.close_idle();
                Err(Error::Lost("no answer in time".into()))
            }
        }
    }

    async fn send_on_idle_or_new(&self, mut req: Request<Full<Bytes>>) -> Result<Answer, Error> {
        // A pooled connection may have been closed by the other end meanwhile. Hyper hands the
        // request back in that case only when it was not sent, so the next try is safe.
        while let Some(mut conn) = self.take_idle() {
            match conn.try_send_request(req).await {
                Ok(resp) => return Ok(self.response(conn, resp)),
                Err(mut e) => match e.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(Error::Lost(e.into_error().to_string().into())),
                },
            }
        }
        let mut conn = self.connect().await?;
        match conn.try_send_request(req).await {
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
        let (conn, driver) = handshake(TokioIo::new(stream))
            .await
            .map_err(|e| not_sent(&e))?;
        tokio::spawn(driver);
        Ok(conn)
    }

    fn take_idle(&self) -> Option<Connection> {
        let idle_time = self.inner.opts.idle_time;
        let mut idle = self.idle();
        while let Some(Idle { conn, since }) = idle.pop() {
            if since.elapsed() > idle_time {
                // All others have been idle for even longer.
                idle.clear();
                return None;
            }
            if conn.is_ready() {
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

/// An answer whose body is still to be read.
pub struct Answer {
    /// Status and headers.
    pub head: Parts,
    body: Incoming,
    conn: Option<Connection>,
    client: Client,
}

impl Answer {
    /// Reads the next piece of the body, or `None` at its end, waiting at most `time` for it.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`] when the body was cut or fell silent.
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

    /// Reads the rest of the body, at most `limit` bytes, waiting at most `time` for each piece.
    ///
    /// # Errors
    ///
    /// As [`Answer::chunk`], and [`Error::TooLarge`].
    pub async fn collect(mut self, limit: usize, time: Duration) -> Result<Bytes, Error> {
        let mut all = BytesMut::new();
        while let Some(data) = self.chunk(time).await? {
            if all.len() + data.len() > limit {
                return Err(Error::TooLarge(limit));
            }
            all.extend_from_slice(&data);
        }
        Ok(all.freeze())
    }

    /// Tells whether a cut can be told from the end. An answer with neither a length nor chunks ends
    /// with its connection, and so does one of which the rest was lost.
    fn has_end(&self) -> bool {
        let headers = &self.head.headers;
        hyper::body::Body::is_end_stream(&self.body)
            || headers.contains_key(hyper::header::CONTENT_LENGTH)
            || headers.contains_key(hyper::header::TRANSFER_ENCODING)
    }

    fn finish(&mut self) {
        if let Some(conn) = self.conn.take() {
            self.client.release(conn);
        }
    }
}
