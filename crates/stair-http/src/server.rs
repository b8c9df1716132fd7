//! An HTTP/1.1 listener with a connection limit and graceful shutdown.

use std::{
    convert::Infallible,
    sync::Arc,
    time::Duration, //
};

use hyper::{
    Request,
    Response,
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        OwnedSemaphorePermit,
        Semaphore,
        watch, //
    },
    task::JoinSet,
};

use crate::body::Body;

/// Limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Maximum number of open connections; further ones wait in the kernel's backlog.
    pub max_connections: usize,
    /// Time limit for a request's head; the connection of a slower sender is closed.
    pub header_timeout: Duration,
    /// Maximum size of a request's head in bytes.
    pub max_head_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_connections: 20_000,
            header_timeout: Duration::from_secs(10),
            max_head_bytes: 32 << 10,
        }
    }
}

/// Serves requests until `stop` becomes true, then closes idle connections, waits for the requests
/// in progress, and returns.
pub async fn serve<H, F>(
    listener: TcpListener,
    opts: Options,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let slots = Arc::new(Semaphore::new(opts.max_connections));
    let mut conns = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &slots) => accepted,
            _ = stop.wait_for(|s| *s) => break,
        };
        if let Some((stream, slot)) = accepted {
            let handler = handler.clone();
            conns.spawn(connection(stream, slot, opts, stop.clone(), handler));
        }
        while conns.try_join_next().is_some() {}
    }
    drop(listener);
    while conns.join_next().await.is_some() {}
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let slot = slots.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, slot)),
        Err(_) => {
            // Without a pause, a persistent error such as exhausted file descriptors would cause a
            // busy loop.
            tokio::time::sleep(Duration::from_millis(20)).await;
            None
        }
    }
}

async fn connection<H, F>(
    stream: TcpStream,
    slot: OwnedSemaphorePermit,
    opts: Options,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let _slot = slot;
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let response = handler(req);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(opts.header_timeout)
        .max_buf_size(opts.max_head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    tokio::select! {
        _ = conn.as_mut() => return,
        _ = stop.wait_for(|s| *s) => conn.as_mut().graceful_shutdown(),
    }
    let _ = conn.await;
}
