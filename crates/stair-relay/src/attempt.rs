//! Sends a request to a target once.
//!
//! Each attempt has a connection of its own. On a reused one, a lost response or the response to another
//! request would leave open whether the request has run.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Request,
    Response,
    body::{
        Body as _,
        Incoming, //
    },
    client::conn::http1::Builder,
    header::{
        CONTENT_LENGTH,
        TRANSFER_ENCODING, //
    }, //
};
use hyper_util::rt::TokioIo;
use platform_adapter::response::{
    self,
    ResponseKind,
    Stated, //
};
use stair_http::{
    body::{
        Body,
        full,
        holding, //
    },
    counted::Counted, //
};
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{
        Instant,
        timeout,
        timeout_at, //
    },
};

use crate::buffers::{
    Buffers,
    MAX_BODY_BYTES,
    MEDIUM_BYTES,
    SMALL_BYTES,
    Share, //
};

/// Limit for opening a connection. A lost packet is sent again only after a second; another target is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest head of a target's response, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The outcome of an attempt, and what the response states about its target.
pub struct Sent {
    /// The outcome.
    pub outcome: Outcome,
    /// What the head of the response states; `None` if no response to the request arrived.
    pub stated: Option<Stated>,
}

impl Sent {
    /// What the response of the selected target states. A response that the request was misdirected may be
    /// another target's.
    pub fn of_target(&self) -> Option<&Stated> {
        let misdirected = matches!(
            self.outcome,
            Outcome::NotRun {
                misdirected: true,
                ..
            }
        );
        self.stated.as_ref().filter(|_| !misdirected)
    }
}

impl From<Outcome> for Sent {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            stated: None,
        }
    }
}

/// The outcome of an attempt.
pub enum Outcome {
    /// Nothing was sent; the error.
    NotSent(Box<str>),
    /// Nothing was sent, since the target takes no requests any more.
    Withheld,
    /// The target states that it has not run the request and will not.
    NotRun {
        /// Whether the reason is that it is another incarnation of the target, or lacks the model.
        misdirected: bool,
        /// The incarnation that responded, if the response states it.
        instance: Option<Box<str>>,
        /// The status of the response.
        status: u16,
        /// The time after which the target wants to be asked again, if it states one.
        retry_after: Option<Duration>,
    },
    /// The request may have run: the response was lost, or is not the target's; the error.
    Lost(Box<str>),
    /// The head of the response did not arrive in time; the request may have run.
    Late,
    /// The target itself responded.
    Head(LiveResponse),
}

/// A response whose body has not been read. Dropping it closes the connection, which makes the target stop
/// its work.
pub struct LiveResponse {
    /// Status and headers.
    pub head: hyper::http::response::Parts,
    /// Whether the end of the connection is the only mark of the body's end. A target that ends makes such a
    /// response look complete.
    pub unframed: bool,
    body: Incoming,
    _conn: Conn,
}

struct Conn(JoinHandle<()>);

impl Drop for Conn {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends `req`, which has the id `id`, and waits for the head of the response until `until`. When the
/// connection is open, `takes` tells whether the target still takes the request.
pub async fn send<F>(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    id: &str,
    until: Instant,
    takes: F,
) -> Sent
where
    F: FnOnce() -> bool,
{
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Outcome::NotSent(e.to_string().into()).into(),
        Err(_) => return Outcome::NotSent("no connection in time".into()).into(),
    };
    // Only a latency option: a small request may wait some milliseconds without it.
    let _ = stream.set_nodelay(true);
    let (stream, passed) = Counted::new(stream);
    let handshake = Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (mut tx, driver) = match handshake {
        Ok(both) => both,
        Err(e) => return Outcome::NotSent(e.to_string().into()).into(),
    };
    let conn = Conn(tokio::spawn(async move {
        // An error of the connection reaches the request or the body as well.
        let _ = driver.await;
    }));
    if !takes() {
        return Outcome::Withheld.into();
    }
    passed.await_head();
    let sent = timeout_at(until, tx.try_send_request(req)).await;
    passed.head_arrived();
    match sent {
        Err(_) => Outcome::Late.into(),
        Ok(Ok(resp)) => {
            let stated = Stated::decode(resp.status(), resp.headers());
            let outcome = classify(resp, conn, id, &stated);
            let is_related = !matches!(outcome, Outcome::Lost(_));
            Sent {
                stated: is_related.then_some(stated),
                outcome,
            }
        }
        Ok(Err(mut e)) => {
            // A target that ends right after it has accepted a connection resets it before the first write.
            let is_unsent = e.take_message().is_some() || !passed.any_written();
            let text = e.into_error().to_string().into();
            match is_unsent {
                true => Outcome::NotSent(text).into(),
                false => Outcome::Lost(text).into(),
            }
        }
    }
}

fn classify(resp: Response<Incoming>, conn: Conn, id: &str, stated: &Stated) -> Outcome {
    let (head, body) = resp.into_parts();
    let status = head.status.as_u16();
    let instance = stated.incarnation.clone();
    let retry_after = stated.retry_after.as_ref().ok().copied().flatten();
    match response::classify(head.status, &head.headers, id) {
        ResponseKind::NotRun => Outcome::NotRun {
            misdirected: false,
            instance,
            status,
            retry_after,
        },
        ResponseKind::Misdirected => Outcome::NotRun {
            misdirected: true,
            instance,
            status,
            retry_after,
        },
        ResponseKind::Unrelated => Outcome::Lost("not a response to this request".into()),
        ResponseKind::Genuine => Outcome::Head(LiveResponse {
            unframed: is_unframed(&head, &body),
            head,
            body,
            _conn: conn,
        }),
    }
}

fn is_unframed(head: &hyper::http::response::Parts, body: &Incoming) -> bool {
    let is_framed = |name| head.headers.contains_key(name);
    !body.is_end_stream() && !is_framed(CONTENT_LENGTH) && !is_framed(TRANSFER_ENCODING)
}

impl LiveResponse {
    /// Reads the next bytes of the body; `None` at the end of a complete one.
    ///
    /// # Errors
    ///
    /// When the body was truncated.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, hyper::Error> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(e)) => return Err(e),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Reads the whole body, with its share of the buffers as long as it is held.
    ///
    /// # Errors
    ///
    /// When the body was truncated, is too large, or was not complete in time.
    pub(crate) async fn collect(
        &mut self,
        buffers: &Buffers,
        until: Instant,
    ) -> Result<WholeBody, Box<str>> {
        if self.body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return Err("the response body is too large".into());
        }
        let mut all = Vec::new();
        let mut shares = Vec::new();
        loop {
            let data = match timeout_at(until, self.chunk()).await {
                Err(_) => return Err("the response was not complete in time".into()),
                Ok(Err(e)) => return Err(e.to_string().into()),
                Ok(Ok(None)) => {
                    return Ok(WholeBody {
                        bytes: all.into(),
                        shares,
                    });
                }
                Ok(Ok(Some(data))) => data,
            };
            let len = all.len() + data.len();
            if len > MAX_BODY_BYTES {
                return Err("the response body is too large".into());
            }
            let (share, capacity) = match shares.len() {
                0 if len > SMALL_BYTES => (buffers.medium(until).await, MEDIUM_BYTES),
                1 if len > MEDIUM_BYTES => (buffers.large(until).await, MAX_BODY_BYTES),
                _ => {
                    all.extend_from_slice(&data);
                    continue;
                }
            };
            let share = share.ok_or("other large responses were not sent in time")?;
            shares.push(share);
            // No more than the share: a vector that grows by itself doubles.
            all.reserve_exact(capacity.saturating_sub(all.len()));
            all.extend_from_slice(&data);
        }
    }
}

/// A response body that was read as a whole.
pub struct WholeBody {
    bytes: Bytes,
    /// None for a small body, one for a medium one, two for a large one.
    shares: Vec<Share>,
}

impl WholeBody {
    /// Its length in bytes.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }

    /// The body for the client. Its shares are returned when it has been sent.
    pub fn into_body(self) -> Body {
        match self.shares.is_empty() {
            true => full(self.bytes),
            false => holding(full(self.bytes), self.shares),
        }
    }
}
