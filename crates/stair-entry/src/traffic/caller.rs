//! The caller's side of one request: builds the response and sends its body.

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

/// Chunks of a response that may wait for the caller to read.
const MAX_QUEUED_CHUNKS: usize = 16;

/// Largest response that is buffered until it is complete, unless it is an event stream. If a buffered
/// response fails, the caller gets a plain error or the response of another target. Longer responses
/// are forwarded as they arrive; 16,000 of them would exhaust the memory.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Time for the last event to be written before the connection is reset. The HTTP library discards
/// unwritten data when a body fails.
const RESET_DELAY: Duration = Duration::from_millis(20);

const EVENT_STREAM: &str = "text/event-stream";

/// The sending side of a response.
pub(super) struct Caller {
    id: RequestId,
    head: Option<oneshot::Sender<CallerResponse>>,
    body: mpsc::Sender<Option<Bytes>>,
    stall: Duration,
    response: Option<BufferedResponse>,
}

/// A response whose head has arrived.
struct BufferedResponse {
    head: Response<()>,
    is_event_stream: bool,
    buffered: Bytes,
}

impl BufferedResponse {
    /// Appends a chunk. Most responses have one chunk, which is not copied.
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

/// The receiving side of a response.
pub(super) struct ResponseReceiver {
    head: oneshot::Receiver<CallerResponse>,
    body: Body,
}

/// Creates both sides of the response to a request.
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
    /// Returns a future that completes when the caller has disconnected.
    pub(super) fn disconnected(&self) -> impl Future<Output = ()> + Send + 'static {
        let body = self.body.clone();
        async move { body.closed().await }
    }

    /// Returns whether a response's head has been sent to the caller, so that no other response can
    /// follow.
    pub(super) fn head_sent(&self) -> bool {
        self.head.is_none()
    }

    /// Discards a response of which nothing has been sent.
    pub(super) fn discard(&mut self) {
        if !self.head_sent() {
            self.response = None;
        }
    }

    /// Begins a response with its head. The head of an event stream is sent at once.
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

    /// Returns whether the head of a response has arrived.
    pub(super) fn has_head(&self) -> bool {
        self.response.is_some()
    }

    /// Sends a chunk of the body, or buffers it.
    ///
    /// # Errors
    ///
    /// Fails when the caller has disconnected or does not read the response.
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

    /// Completes the response.
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

    /// Ends the request with a refusal. A response whose head was sent ends visibly incomplete: the
    /// connection closes without the final chunk.
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
            // The receiver is dropped when the caller has disconnected.
            let _ = head.send(response);
        }
    }

    /// Sends a chunk, or the end of the body for `None`, with a timeout: a caller that does not read
    /// would hold memory here and at the agent without a bound.
    async fn send(&self, chunk: Option<Bytes>) -> Result<(), Refusal> {
        let withdrawn = |text| Refusal::may_have_run(Reason::Withdrawn, 0, text);
        match timeout(self.stall, self.body.send(chunk)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(withdrawn("the caller left")),
            Err(_) => Err(withdrawn("the caller left the answer unread")),
        }
    }
}
