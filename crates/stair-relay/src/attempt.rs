//! Sends a request to a target once.
//!
//! Each attempt has a connection of its own. On a kept one a lost or crossed answer would leave open whether the request
//! has run.

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
    body::Incoming,
    client::conn::http1::Builder, //
};
use hyper_util::rt::TokioIo;
use platform_adapter::response::{
    self,
    ResponseKind, //
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

/// Time to open a connection. A lost packet is sent again after a second; another target is faster.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// Longest head of a target's answer.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Longest answer that is read as a whole.
const MAX_BODY_BYTES: usize = 16 << 20;

/// What came of an attempt.
pub enum Outcome {
    /// Nothing was sent.
    NotSent(Box<str>),
    /// The target says that it has not run the request and will not.
    NotRun {
        /// Whether because it is another life of the target, or lacks the model.
        misdirected: bool,
        /// The life that answered, where it says so.
        instance: Option<Box<str>>,
        /// The status it said so with.
        status: u16,
    },
    /// It may have run: the answer was lost, late, or not the target's.
    Lost(Box<str>),
    /// The time was up before the head of the answer.
    Late,
    /// The head of the target's own answer.
    Head(Live),
}

/// An answer whose body is still to be read. Dropping it closes the connection, which makes the
/// target stop its work.
pub struct Live {
    /// Status and headers.
    pub head: hyper::http::response::Parts,
    body: Incoming,
    _conn: Conn,
}

struct Conn(JoinHandle<()>);

impl Drop for Conn {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends `req`, which has the id `id`, and waits for the head of the answer.
pub async fn send(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    id: &str,
    until: Instant,
) -> Outcome {
    let stream = match timeout(CONNECT_TIME, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Outcome::NotSent(e.to_string().into()),
        Err(_) => return Outcome::NotSent("no connection in time".into()),
    };
    // Without it a small request may wait some milliseconds; it still arrives.
    let _ = stream.set_nodelay(true);
    let handshake = Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (mut tx, driver) = match handshake {
        Ok(both) => both,
        Err(e) => return Outcome::NotSent(e.to_string().into()),
    };
    let conn = Conn(tokio::spawn(async move {
        // An error of the connection reaches the request or the body as well.
        let _ = driver.await;
    }));
    match timeout_at(until, tx.try_send_request(req)).await {
        Err(_) => Outcome::Late,
        Ok(Ok(resp)) => head(resp, conn, id),
        Ok(Err(mut e)) => match e.take_message() {
            Some(_) => Outcome::NotSent(e.into_error().to_string().into()),
            None => Outcome::Lost(e.into_error().to_string().into()),
        },
    }
}

fn head(resp: Response<Incoming>, conn: Conn, id: &str) -> Outcome {
    let (head, body) = resp.into_parts();
    let status = head.status.as_u16();
    let instance = response::instance(&head.headers).map(Into::into);
    match response::classify(head.status, &head.headers, id) {
        ResponseKind::NotRun => Outcome::NotRun {
            misdirected: false,
            instance,
            status,
        },
        ResponseKind::Misdirected => Outcome::NotRun {
            misdirected: true,
            instance,
            status,
        },
        ResponseKind::Unrelated => Outcome::Lost("not an answer to this request".into()),
        ResponseKind::Genuine => Outcome::Head(Live {
            head,
            body,
            _conn: conn,
        }),
    }
}

impl Live {
    /// Reads the next bytes, `None` at the end of a complete body.
    ///
    /// # Errors
    ///
    /// When the body was cut.
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

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// When it was cut, too long, or not there in time.
    pub async fn collect(&mut self, until: Instant) -> Result<Bytes, Box<str>> {
        let mut all = Vec::new();
        loop {
            match timeout_at(until, self.chunk()).await {
                Err(_) => return Err("the answer was not complete in time".into()),
                Ok(Err(e)) => return Err(e.to_string().into()),
                Ok(Ok(None)) => return Ok(all.into()),
                Ok(Ok(Some(data))) if all.len() + data.len() <= MAX_BODY_BYTES => {
                    all.extend_from_slice(&data);
                }
                Ok(Ok(Some(_))) => return Err("the answer is too long".into()),
            }
        }
    }
}
