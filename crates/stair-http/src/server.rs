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
use tokio::{net::TcpListener, sync::watch, task::JoinSet};

use crate::{
    body::Body,
    connections::{
        Connection,
        Connections,
        Stream, //
    },
};

/// Limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Maximum number of open connections. Beyond, idle ones give way, or new ones are closed unread.
    pub max_connections: usize,
    /// Whether new connections are closed unread while the processor is used up.
    pub sheds: bool,
    /// Time limit for a request's head; the connection of a slower sender is closed.
    pub header_timeout: Duration,
    /// Maximum size of a request's head in bytes.
    pub max_head_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_connections: 20_000,
            sheds: false,
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
    stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let open = Connections::new(opts.max_connections);
    serve_in(open, listener, opts, stop, handler).await;
}

/// As [`serve`], with the set that the connections belong to, whose limit applies.
pub async fn serve_in<H, F>(
    open: Arc<Connections>,
    listener: TcpListener,
    opts: Options,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let mut conns = JoinSet::new();
    let watch = async {
        match opts.sheds {
            true => open.watch_delay().await,
            false => std::future::pending().await,
        }
    };
    tokio::pin!(watch);
    loop {
        let (stream, connection) = tokio::select! {
            accepted = open.accept(&listener) => accepted,
            () = watch.as_mut() => continue,
            _ = stop.wait_for(|s| *s) => break,
        };
        let (opts, stop, handler) = (opts, stop.clone(), handler.clone());
        conns.spawn(serve_one(stream, connection, opts, stop, handler));
        while conns.try_join_next().is_some() {}
    }
    drop(listener);
    while conns.join_next().await.is_some() {}
}

async fn serve_one<H, F>(
    stream: Stream,
    connection: Connection,
    opts: Options,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let connection = Arc::new(connection);
    let own = connection.clone();
    let service = service_fn(move |req| {
        let guard = own.begin_request();
        let response = handler(req);
        async move { Ok::<_, Infallible>(guard.until_taken(response.await)) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(opts.header_timeout)
        .max_buf_size(opts.max_head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    tokio::select! {
        _ = conn.as_mut() => return,
        // It is idle, so that nothing is lost.
        () = connection.evicted() => return,
        _ = stop.wait_for(|s| *s) => conn.as_mut().graceful_shutdown(),
    }
    let _ = conn.await;
}
