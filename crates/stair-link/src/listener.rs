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

/// Links whose handshake is done and that nobody has taken yet.
const ACCEPT_QUEUE_DEPTH: usize = 64;

/// A peer that stops in the middle of its handshake is forgotten after this time.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// A lost close frame must not hold up the end of the process.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// A bound UDP address on which other processes open links. Cloning shares it.
#[derive(Clone)]
pub struct Listener {
    endpoint: Endpoint,
    links: Arc<Mutex<mpsc::Receiver<Link>>>,
}

impl Listener {
    /// Binds an address; port 0 lets the system choose.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken or the keys cannot be used.
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
    /// Fails when the socket is gone.
    pub fn addr(&self) -> Result<SocketAddr, Error> {
        Ok(self.endpoint.local_addr()?)
    }

    /// Waits for the next link whose handshake succeeded; `None` once the listener is closed.
    ///
    /// A peer without a certificate of the authority, or with other messages, fails the handshake
    /// and is passed over.
    pub async fn accept(&self) -> Option<Link> {
        self.links.lock().await.recv().await
    }

    /// Tells the other ends that this process goes, and waits until they know or a short time has
    /// passed.
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

/// Each handshake has a task of its own, so that a peer that stops in the middle of one holds up
/// no other.
async fn handshake(incoming: Incoming, tx: mpsc::Sender<Link>) {
    let Ok(connecting) = incoming.accept() else {
        return;
    };
    if let Ok(Ok(conn)) = tokio::time::timeout(HANDSHAKE_TIMEOUT, connecting).await {
        let _ = tx.send(Link::accepted(conn)).await;
    }
}
