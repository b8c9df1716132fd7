//! A client's connection that counts what passes, and bounds the heads of responses.
//!
//! A server in trouble may send interim responses without end. The HTTP library skips them, so that only the
//! bytes on the connection tell that no response comes.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll, //
    },
};

use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
};

/// Bytes that a server may send before the head of a response has been read: the head itself, interim
/// responses, and the beginning of the body that is read with it.
pub const MAX_HEAD_PHASE_BYTES: usize = 512 << 10;

/// What has passed on a connection.
#[derive(Debug, Clone, Default)]
pub struct Passed(Arc<Counters>);

#[derive(Debug, Default)]
struct Counters {
    /// Whether the system has accepted bytes. Without any, the other end has received none.
    written: AtomicBool,
    awaits_head: AtomicBool,
    /// Bytes read since the last request.
    read: AtomicUsize,
}

impl Passed {
    /// Whether any bytes were written.
    pub fn any_written(&self) -> bool {
        self.0.written.load(Ordering::Acquire)
    }

    /// Records that a request is sent; reading fails after [`MAX_HEAD_PHASE_BYTES`] without the head of its
    /// response.
    pub fn await_head(&self) {
        self.0.read.store(0, Ordering::Relaxed);
        self.0.awaits_head.store(true, Ordering::Release);
    }

    /// Records that the head of the response has been read.
    pub fn head_arrived(&self) {
        self.0.awaits_head.store(false, Ordering::Release);
    }

    fn record_read(&self, bytes: usize) -> io::Result<()> {
        if !self.0.awaits_head.load(Ordering::Acquire) {
            return Ok(());
        }
        let before = self.0.read.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes > MAX_HEAD_PHASE_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the head of the response does not end",
            ));
        }
        Ok(())
    }
}

/// A connection that counts what passes.
#[derive(Debug)]
pub struct Counted {
    stream: TcpStream,
    passed: Passed,
}

impl Counted {
    /// Wraps a connection on which nothing has passed.
    pub fn new(stream: TcpStream) -> (Self, Passed) {
        let passed = Passed::default();
        let counted = Self {
            stream,
            passed: passed.clone(),
        };
        (counted, passed)
    }

    fn record_write(&self, outcome: &Poll<io::Result<usize>>) {
        if matches!(outcome, Poll::Ready(Ok(1..))) {
            self.passed.0.written.store(true, Ordering::Release);
        }
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Ready(Ok(())) => {
                Poll::Ready(self.passed.record_read(buf.filled().len() - before))
            }
            other => other,
        }
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&outcome);
        outcome
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&outcome);
        outcome
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
