//! The caller's end of one request: the response and how it is fed.

use std::time::Duration;

use bytes::{
    Bytes,
    BytesMut, //
};
use hyper::{
    Response, StatusCode,
    header::{
        CACHE_CONTROL,
        CONTENT_TYPE,
        HeaderName,
        HeaderValue, //
    },
};
use stair_config::EntryLimits;
use stair_http::{
    Body,
    body,
    error, //
};
use stair_types::{
    Reason,
    Refusal,
    RequestId,
    Verdict, //
};
use stair_wire::request::Header;
use tokio::{
    sync::{
        mpsc,
        oneshot, //
    },
    time::timeout,
};

use super::refuse;

/// Pieces of an answer that wait for the caller to read.
const MAX_QUEUED_CHUNKS: usize = 16;

/// An answer that is no event stream is held back until it is whole, up to so many bytes: if it
/// fails meanwhile, the caller gets a plain error, or the answer of another target. Longer ones
/// are passed on as they come, lest 16,000 of them fill the memory.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Time for the last event to leave the process before the connection is cut. The HTTP library
/// drops what it has not written when a body fails.
const RESET_DELAY: Duration = Duration::from_millis(20);

const EVENT_STREAM: &str = "text/event-stream";

/// Feeds the response.
pub(super) struct Caller {
    id: RequestId,
    head: Option<oneshot::Sender<CallerResponse>>,
    body: mpsc::Sender<Option<Bytes>>,
    stall: Duration,
    response: Option<BufferedResponse>,
}

/// An answer of which the head has come.
struct BufferedResponse {
    head: Response<()>,
    is_event_stream: bool,
    buffered: Bytes,
}

impl BufferedResponse {
    /// Holds one more piece back. The usual answer is one piece, and is not copied.
    fn buffer(&mut self, bytes: Bytes) {
        if self.buffered.is_empty() {
            self.buffered = bytes;
            return;
        }
        let mut buf = BytesMut::from(std::mem::take(&mut self.buffered));
        buf.extend_from_slice(&bytes);
        self.buffered = buf.freeze();
    }
}

enum CallerResponse {
    Whole(Response<Body>),
    Stream(Response<()>),
}

/// Waits for the response.
pub(super) struct ResponseReceiver {
    head: oneshot::Receiver<CallerResponse>,
    body: Body,
}

pub(super) fn pair(limits: &EntryLimits, id: RequestId) -> (Caller, ResponseReceiver) {
    let (head_tx, head) = oneshot::channel();
    let (body_tx, body) = body::channel(MAX_QUEUED_CHUNKS);
    let caller = Caller {
        id,
        head: Some(head_tx),
        body: body_tx,
        stall: Duration::from_millis(limits.write_stall_ms.into()),
        response: None,
    };
    (caller, ResponseReceiver { head, body })
}

impl ResponseReceiver {
    pub(super) async fn response(self) -> Response<Body> {
        match self.head.await {
            Ok(CallerResponse::Whole(resp)) => resp,
            Ok(CallerResponse::Stream(head)) => head.map(|()| self.body),
            Err(_) => error::response(&Refusal::may_have_run(
                Reason::TargetFailed,
                0,
                "the request was lost in the entry",
            )),
        }
    }
}

impl Caller {
    /// Returns a future that ends when the caller has left.
    pub(super) fn disconnected(&self) -> impl Future<Output = ()> + Send + 'static {
        let body = self.body.clone();
        async move { body.closed().await }
    }

    /// Tells whether the caller has got a part of the answer, so that no other answer may follow.
    pub(super) fn head_sent(&self) -> bool {
        self.head.is_none()
    }

    /// Forgets an answer of which nothing was passed on.
    pub(super) fn discard(&mut self) {
        if !self.head_sent() {
            self.response = None;
        }
    }

    /// Begins the answer.
    pub(super) fn begin(&mut self, status: u16, content_type: &str, forwarded: &[Header]) {
        let mut head = Response::new(());
        *head.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = head.headers_mut();
        for header in forwarded {
            let name = HeaderName::from_bytes(header.name.as_bytes());
            let value = HeaderValue::from_str(&header.value);
            if let (Ok(name), Ok(value)) = (name, value) {
                headers.append(name, value);
            }
        }
        if let Ok(value) = HeaderValue::from_str(content_type) {
            headers.insert(CONTENT_TYPE, value);
        }
        let verdict = HeaderValue::from_static(Verdict::Answered.as_str());
        headers.insert(error::VERDICT_HEADER, verdict);
        let is_event_stream = content_type.starts_with(EVENT_STREAM);
        if is_event_stream {
            headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
            self.respond(CallerResponse::Stream(head.clone()));
        }
        self.response = Some(BufferedResponse {
            head,
            is_event_stream,
            buffered: Bytes::new(),
        });
    }

    /// Tells whether the answer's head has come.
    pub(super) fn has_head(&self) -> bool {
        self.response.is_some()
    }

    /// Passes on a part of the answer, or holds it back.
    ///
    /// # Errors
    ///
    /// Fails when the caller left or leaves the answer unread.
    pub(super) async fn push(&mut self, bytes: Bytes) -> Result<(), Refusal> {
        if self.head_sent() {
            return self.send(Some(bytes)).await;
        }
        let Some(response) = &mut self.response else {
            return Ok(());
        };
        response.buffer(bytes);
        if response.buffered.len() <= MAX_BUFFERED_BYTES {
            return Ok(());
        }
        let buffered = std::mem::take(&mut response.buffered);
        let head = response.head.clone();
        self.respond(CallerResponse::Stream(head));
        self.send(Some(buffered)).await
    }

    /// Completes the answer.
    ///
    /// # Errors
    ///
    /// As [`Caller::push`].
    pub(super) async fn end(&mut self) -> Result<(), Refusal> {
        if self.head_sent() {
            return self.send(None).await;
        }
        if let Some(response) = self.response.take() {
            let whole = body::full(response.buffered);
            self.respond(CallerResponse::Whole(response.head.map(|()| whole)));
        }
        Ok(())
    }

    /// Gives up on the request. An answer that has begun ends with an error that the caller can
    /// see: the connection closes without the closing chunk.
    pub(super) async fn fail(mut self, mut refusal: Refusal) {
        refuse::spread(&mut refusal, self.id);
        if !self.head_sent() {
            self.respond(CallerResponse::Whole(error::response(&refusal)));
            return;
        }
        if self.response.as_ref().is_some_and(|a| a.is_event_stream) {
            let json = error::json(&refusal, error::status(&refusal));
            let mut event = BytesMut::from(&b"event: error\ndata: "[..]);
            event.extend_from_slice(&json);
            event.extend_from_slice(b"\n\n");
            if self.send(Some(event.freeze())).await.is_ok() {
                tokio::time::sleep(RESET_DELAY).await;
            }
        }
    }

    fn respond(&mut self, response: CallerResponse) {
        if let Some(head) = self.head.take() {
            // A caller that left has dropped the other end; nothing is owed to it.
            let _ = head.send(response);
        }
    }

    /// A caller that reads nothing for long would hold memory here and at the agent for as long as
    /// it likes.
    async fn send(&self, chunk: Option<Bytes>) -> Result<(), Refusal> {
        let withdrawn = |text| Refusal::may_have_run(Reason::Withdrawn, 0, text);
        match timeout(self.stall, self.body.send(chunk)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(withdrawn("the caller left")),
            Err(_) => Err(withdrawn("the caller left the answer unread")),
        }
    }
}
