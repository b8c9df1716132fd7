//! Probes whether a server has ended.

use std::{
    io::{
        self,
        ErrorKind, //
    },
    net::SocketAddr,
    time::Duration,
};

use tokio::{
    net::TcpStream,
    time::timeout, //
};

/// Limit for the address to accept or refuse a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Whether `addr` refuses connections. An address that does not reply in time does not refuse.
pub async fn is_refused(addr: SocketAddr) -> bool {
    connect(addr).await.is_some_and(|r| refused(&r))
}

/// Whether the server at `addr` is down: the address refuses connections, or closes a new one within
/// `close_window`, as a proxy in front of an ended server does.
pub async fn is_down(addr: SocketAddr, close_window: Duration) -> bool {
    match connect(addr).await {
        // A live server sends nothing before a request, so only a closed socket is readable.
        Some(Ok(stream)) => timeout(close_window, stream.readable()).await.is_ok(),
        Some(result) => refused(&result),
        None => false,
    }
}

/// The result of a connection attempt; `None` when there is none in time.
async fn connect(addr: SocketAddr) -> Option<io::Result<TcpStream>> {
    timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .ok()
}

fn refused(result: &io::Result<TcpStream>) -> bool {
    result
        .as_ref()
        .is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
}
