//! A connection that records whether anything was sent on it.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
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

/// Whether the system has accepted bytes for a connection. Without any, the other end has received none.
#[derive(Debug, Clone, Default)]
pub(super) struct Written(Arc<AtomicBool>);

impl Written {
    pub(super) fn any(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// A connection that records the first bytes that are written.
pub(super) struct Counted {
    stream: TcpStream,
    written: Written,
}

impl Counted {
    pub(super) fn new(stream: TcpStream) -> (Self, Written) {
        let written = Written::default();
        let counted = Self {
            stream,
            written: written.clone(),
        };
        (counted, written)
    }

    fn record(&self, outcome: &Poll<io::Result<usize>>) {
        if matches!(outcome, Poll::Ready(Ok(1..))) {
            self.written.0.store(true, Ordering::Release);
        }
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record(&outcome);
        outcome
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record(&outcome);
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
