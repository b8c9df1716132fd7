//! Bodies made of channels, and bounded reading.

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
    Incoming, //
};
use tokio::sync::mpsc;

/// The body of every response that this crate serves.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Makes a body of bytes that are at hand.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Makes a body that is fed through a channel.
///
/// The body is complete when the sender sends `None`. A sender that is dropped before, or sends an
/// error, ends the body with an error: the connection is closed without the closing chunk, so a
/// cut answer never looks complete to the caller.
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

/// Why a body could not be read whole.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// It has more bytes than the limit.
    #[error("the body exceeds {0} bytes")]
    TooLarge(usize),
    /// It did not arrive in time.
    #[error("the body did not arrive within {0:?}")]
    TooSlow(Duration),
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Broken(#[from] hyper::Error),
}

/// Reads a whole body of at most `limit` bytes within `time`, so that a slow or endless sender
/// holds neither memory nor a connection.
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
            // The usual body is one frame, and is not copied.
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
