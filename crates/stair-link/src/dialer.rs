//! Opens links, and switches to a new local port after a link became unresponsive.

use std::{
    net::{
        Ipv4Addr,
        Ipv6Addr,
        SocketAddr, //
    },
    sync::{
        Arc,
        Mutex,
        PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration,
};

use quinn::{
    ClientConfig,
    Connection,
    Endpoint, //
};

use crate::{
    Error,
    Keys,
    Link,
    keys::SERVER_NAME,
    link::Probing,
    socket, //
};

/// Share of the connect timeout for the attempt from the current port, in percent.
///
/// A handshake takes one round trip, some ten milliseconds between data centres. 300 ms of 750 are
/// enough for a busy VM; waiting longer does not help after a lost first packet, because the
/// transport retransmits it only after a second.
const FIRST_ATTEMPT_PERCENT: u32 = 40;

/// Opens links. Clones share the local ports.
///
/// A connection-tracking table between two VMs can lose the entry of a path: packets between the
/// same two addresses and ports are then dropped permanently, while others pass. A new QUIC
/// connection from the same UDP socket uses the same ports and is dropped too. After a link became
/// unresponsive the dialer therefore opens all later links from a new socket. The old socket is
/// closed with the last link on it.
#[derive(Clone)]
pub struct Dialer {
    inner: Arc<Inner>,
}

struct Inner {
    client: ClientConfig,
    connect_timeout: Duration,
    sockets: Mutex<Sockets>,
    replaced: AtomicU64,
}

#[derive(Default)]
struct Sockets {
    generation: u64,
    v4: Option<Endpoint>,
    v6: Option<Endpoint>,
}

impl Dialer {
    /// Returns a dialer without binding a port.
    ///
    /// # Errors
    ///
    /// [`Error::Keys`] when the keys cannot be used.
    pub fn new(keys: &Keys, connect_timeout: Duration) -> Result<Self, Error> {
        Ok(Self {
            inner: Arc::new(Inner {
                client: keys.client_config()?,
                connect_timeout,
                sockets: Mutex::new(Sockets::default()),
                replaced: AtomicU64::new(0),
            }),
        })
    }

    /// Opens a link and probes it with the settings in `probing` while it is in use.
    ///
    /// If the peer does not respond within [`FIRST_ATTEMPT_PERCENT`] of the timeout, the path from
    /// the current port may be broken, or the first packet was lost. The remaining time is for a
    /// second attempt from a new port. A broken path thus costs only a fraction of the timeout, and
    /// an address that responds to neither attempt is unreachable.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] when the peer does not respond in time, has no certificate of the
    /// deployment, or uses another protocol version; [`Error::Io`] when no socket can be bound.
    pub async fn connect(&self, addr: SocketAddr, probing: Probing) -> Result<Link, Error> {
        let first_timeout = self.inner.connect_timeout * FIRST_ATTEMPT_PERCENT / 100;
        let (endpoint, generation) = self.endpoint(addr)?;
        if let Some(conn) = self.attempt(&endpoint, addr, first_timeout).await? {
            return Ok(Link::dialed(conn, self.clone(), generation, probing));
        }
        self.rotate(generation);
        let (endpoint, generation) = self.endpoint(addr)?;
        let rest = self.inner.connect_timeout - first_timeout;
        match self.attempt(&endpoint, addr, rest).await? {
            Some(conn) => Ok(Link::dialed(conn, self.clone(), generation, probing)),
            None => Err(Error::Connect {
                addr,
                cause: "no response in time".into(),
            }),
        }
    }

    /// Returns `None` when the peer did not respond in time.
    async fn attempt(
        &self,
        endpoint: &Endpoint,
        addr: SocketAddr,
        time: Duration,
    ) -> Result<Option<Connection>, Error> {
        let failed = |cause: Box<str>| Error::Connect { addr, cause };
        let connecting = endpoint
            .connect_with(self.inner.client.clone(), addr, SERVER_NAME)
            .map_err(|e| failed(e.to_string().into()))?;
        match tokio::time::timeout(time, connecting).await {
            Ok(Ok(conn)) => Ok(Some(conn)),
            Ok(Err(e)) => Err(failed(e.to_string().into())),
            Err(_) => Ok(None),
        }
    }

    /// Returns the number of times that the local port was replaced.
    pub fn replaced(&self) -> u64 {
        self.inner.replaced.load(Ordering::Relaxed)
    }

    /// Opens later links from a new port, unless the port was replaced since `generation`.
    pub(crate) fn rotate(&self, generation: u64) {
        let mut sockets = self.sockets();
        if sockets.generation != generation {
            return;
        }
        *sockets = Sockets {
            generation: generation + 1,
            ..Sockets::default()
        };
        self.inner.replaced.fetch_add(1, Ordering::Relaxed);
    }

    fn endpoint(&self, addr: SocketAddr) -> Result<(Endpoint, u64), Error> {
        let mut sockets = self.sockets();
        let generation = sockets.generation;
        let (slot, local) = match addr {
            SocketAddr::V4(_) => (&mut sockets.v4, (Ipv4Addr::UNSPECIFIED, 0).into()),
            SocketAddr::V6(_) => (&mut sockets.v6, (Ipv6Addr::UNSPECIFIED, 0).into()),
        };
        if let Some(endpoint) = slot {
            return Ok((endpoint.clone(), generation));
        }
        let endpoint = socket::endpoint(local, None)?;
        *slot = Some(endpoint.clone());
        Ok((endpoint, generation))
    }

    fn sockets(&self) -> std::sync::MutexGuard<'_, Sockets> {
        self.inner
            .sockets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
