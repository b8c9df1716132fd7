//! A bounded HTTP/1.1 listener with a graceful stop.

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

/// Bounds of a listener.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Connections open at once; more wait in the kernel's backlog.
    pub max_connections: usize,
    /// Time for a request's head to arrive; a slower sender is cut.
    pub header_timeout: Duration,
    /// Bytes of a request's head.
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

/// Serves until `stop` turns true, then closes idle connections, lets the requests that are being
/// served finish, and returns.
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
            // Out of file descriptors, for instance: accepting again at once would spin.
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
