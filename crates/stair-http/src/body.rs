//! Channel-fed bodies, and reading with limits on size and time.

use std::{
    io,
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
    time::Duration, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::{
    BodyExt,
    Full,
    combinators::UnsyncBoxBody, //
};
use hyper::body::{
    Frame,
    Incoming,
    SizeHint, //
};
use tokio::sync::mpsc;

/// The body of every response that this crate serves.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Returns a body that consists of `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns the same body without stating its length.
pub fn without_length(body: Body) -> Body {
    body.map_frame(|frame| frame).boxed_unsync()
}

/// Returns the same body, with a value that is dropped together with it.
pub fn holding<T>(body: Body, held: T) -> Body
where
    T: Send + Unpin + 'static,
{
    Holding { body, _held: held }.boxed_unsync()
}

struct Holding<T> {
    body: Body,
    _held: T,
}

impl<T> hyper::body::Body for Holding<T>
where
    T: Unpin,
{
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Returns a body and the sender that feeds it; `depth` is the channel's capacity in chunks.
///
/// The body is complete when the sender sends `None`. When the sender is dropped before, the body
/// ends with an error: the connection is closed without the final chunk, so a truncated response
/// never looks complete to the client.
pub fn channel(depth: usize) -> (mpsc::Sender<Option<Bytes>>, Body) {
    let (tx, rx) = mpsc::channel(depth);
    let body = ChannelBody { rx, done: false };
    (tx, body.boxed_unsync())
}

struct ChannelBody {
    rx: mpsc::Receiver<Option<Bytes>>,
    done: bool,
}

impl hyper::body::Body for ChannelBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.done {
            return Poll::Ready(None);
        }
        match self.rx.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Some(bytes))) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Poll::Ready(Some(None)) => {
                self.done = true;
                Poll::Ready(None)
            }
            Poll::Ready(None) => {
                self.done = true;
                Poll::Ready(Some(Err(io::Error::other("the answer was cut"))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.done
    }
}

/// The reason why a body could not be read completely.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The body has more bytes than the limit.
    #[error("the body exceeds {0} bytes")]
    TooLarge(usize),
    /// The body did not arrive within the time limit.
    #[error("the body did not arrive within {0:?}")]
    TooSlow(Duration),
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Broken(#[from] hyper::Error),
}

/// Reads a complete body of at most `limit` bytes within `time`.
///
/// The two limits keep a slow or endless sender from occupying memory and a connection.
///
/// # Errors
///
/// See [`ReadError`].
pub async fn read(mut body: Incoming, limit: usize, time: Duration) -> Result<Bytes, ReadError> {
    let all = async {
        let mut first = Bytes::new();
        let mut rest = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if first.len() + rest.len() + data.len() > limit {
                return Err(ReadError::TooLarge(limit));
            }
            // Most bodies are a single frame, which is returned without a copy.
            if first.is_empty() && rest.is_empty() {
                first = data;
            } else {
                rest.extend_from_slice(&data);
            }
        }
        if rest.is_empty() {
            return Ok(first);
        }
        let mut joined = BytesMut::with_capacity(first.len() + rest.len());
        joined.extend_from_slice(&first);
        joined.extend_from_slice(&rest);
        Ok(joined.freeze())
    };
    match tokio::time::timeout(time, all).await {
        Ok(result) => result,
        Err(_) => Err(ReadError::TooSlow(time)),
    }
}
