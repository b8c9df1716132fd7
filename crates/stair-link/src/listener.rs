//! Accepts links.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use quinn::{
    Endpoint,
    Incoming, //
};
use tokio::sync::{
    Mutex,
    mpsc, //
};

use crate::{
    Error,
    Keys,
    Link,
    socket, //
};

/// Maximum number of links that wait for [`Listener::accept`] after their handshake.
const ACCEPT_QUEUE_DEPTH: usize = 64;

/// Time limit for a handshake, after which the connection is dropped.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Limit of the wait in [`Listener::close`]. A lost close frame must not delay the process exit.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// A bound UDP address that accepts links from other processes. Clones share it.
#[derive(Clone)]
pub struct Listener {
    endpoint: Endpoint,
    links: Arc<Mutex<mpsc::Receiver<Link>>>,
}

impl Listener {
    /// Binds an address; with port 0 the system chooses a free port.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] when the address cannot be bound, [`Error::Keys`] when the keys cannot be
    /// used.
    pub fn bind(addr: SocketAddr, keys: &Keys) -> Result<Self, Error> {
        let endpoint = socket::endpoint(addr, Some(keys.server_config()?))?;
        let (tx, rx) = mpsc::channel(ACCEPT_QUEUE_DEPTH);
        tokio::spawn(accept_all(endpoint.clone(), tx));
        Ok(Self {
            endpoint,
            links: Arc::new(Mutex::new(rx)),
        })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] when the socket cannot report its address.
    pub fn addr(&self) -> Result<SocketAddr, Error> {
        Ok(self.endpoint.local_addr()?)
    }

    /// Waits for the next link whose handshake succeeded; `None` once the listener is closed.
    ///
    /// A peer without a certificate of the authority, or with another protocol version, fails the
    /// handshake and is skipped.
    pub async fn accept(&self) -> Option<Link> {
        self.links.lock().await.recv().await
    }

    /// Closes all links with a message to the peers, and waits a short time for the connections to
    /// end.
    pub async fn close(&self) {
        self.endpoint.close(crate::link::CODE_CLOSED, b"leaving");
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.endpoint.wait_idle()).await;
    }
}

async fn accept_all(endpoint: Endpoint, tx: mpsc::Sender<Link>) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(handshake(incoming, tx.clone()));
    }
}

/// Completes one handshake. Each runs in its own task, so that a peer that stops responding during
/// its handshake does not delay others.
async fn handshake(incoming: Incoming, tx: mpsc::Sender<Link>) {
    let Ok(connecting) = incoming.accept() else {
        return;
    };
    if let Ok(Ok(conn)) = tokio::time::timeout(HANDSHAKE_TIMEOUT, connecting).await {
        let _ = tx.send(Link::accepted(conn)).await;
    }
}
