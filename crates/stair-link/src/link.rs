//! One link, with probes while it is in use.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicU32,
            Ordering, //
        }, //
    },
    time::Duration,
};

use bytes::Bytes;
use quinn::{
    Connection,
    RecvStream,
    SendStream,
    VarInt, //
};
use tokio::sync::watch;

use crate::{
    Dialer,
    Error,
    keys::INITIAL_STREAMS, //
};

/// Close code of a link that either process closed on purpose.
pub(crate) const CODE_CLOSED: VarInt = VarInt::from_u32(1);

/// Close code of a link whose probes were not acknowledged.
const CODE_UNRESPONSIVE: VarInt = VarInt::from_u32(2);

/// Settings for the probes of a link in use.
///
/// In each interval one probe is sent, which the peer has to acknowledge. A link that receives no
/// packet for `misses` consecutive intervals is closed as unresponsive. Idle links are not probed:
/// with 410 entries and 12,000 agents their probes alone would exceed the control budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probing {
    /// Time between probes.
    pub interval: Duration,
    /// Consecutive intervals without a received packet after which the link is closed.
    pub misses: u32,
}

impl Probing {
    /// For links that carry requests. An unresponsive link is detected within 1.2 s, since a packet
    /// may still arrive early in the first interval. That leaves time to resume on a new link
    /// within 2 s, of which a connection attempt may take 0.75 s. With a shorter time, the link of
    /// a busy or briefly paused VM would be closed.
    pub const REQUESTS: Self = Self {
        interval: Duration::from_millis(200),
        misses: 5,
    };

    /// For the control links of agents. An unresponsive link is detected within 5 s, since a packet
    /// may still arrive early in the first interval. A configuration change must be in force within
    /// 8 s and meanwhile arrives over the agent's other link, unless that is unresponsive too. At
    /// this interval 60 links per entry cost about 4 KB/s; a shorter one would exceed the 7 KB/s
    /// that an entry may spend. A link that is closed too early costs a handshake.
    pub const CONTROL: Self = Self {
        interval: Duration::from_millis(1_660),
        misses: 2,
    };
}

/// A link to another process. Clones share the connection.
#[derive(Clone)]
pub struct Link {
    conn: Connection,
    in_use: watch::Sender<u32>,
    /// Maximum number of concurrent streams that the peer may open.
    stream_limit: Arc<AtomicU32>,
}

/// Guard that marks a link as in use until it is dropped.
pub struct InUse {
    in_use: watch::Sender<u32>,
}

impl Drop for InUse {
    fn drop(&mut self) {
        self.in_use.send_modify(|n| *n -= 1);
    }
}

impl Link {
    pub(crate) fn accepted(conn: Connection) -> Self {
        let (in_use, _) = watch::channel(0);
        Self::new(conn, in_use)
    }

    pub(crate) fn dialed(
        conn: Connection,
        dialer: Dialer,
        generation: u64,
        probing: Probing,
    ) -> Self {
        let (in_use, rx) = watch::channel(0);
        tokio::spawn(probe(conn.clone(), rx, dialer, generation, probing));
        Self::new(conn, in_use)
    }

    fn new(conn: Connection, in_use: watch::Sender<u32>) -> Self {
        Self {
            conn,
            in_use,
            stream_limit: Arc::new(AtomicU32::new(INITIAL_STREAMS)),
        }
    }

    /// Marks the link as in use until the returned guard is dropped.
    pub fn use_it(&self) -> InUse {
        self.in_use.send_modify(|n| *n += 1);
        InUse {
            in_use: self.in_use.clone(),
        }
    }

    /// Opens a bidirectional stream.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] when the link is closed.
    pub async fn open(&self) -> Result<(SendStream, RecvStream), Error> {
        Ok(self.conn.open_bi().await?)
    }

    /// Waits for the peer to open a bidirectional stream.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] when the link is closed.
    pub async fn accept(&self) -> Result<(SendStream, RecvStream), Error> {
        Ok(self.conn.accept_bi().await?)
    }

    /// Raises the limit of concurrent streams of the peer to `streams`; never lowers it.
    ///
    /// A peer at its limit has to wait until one of its streams ends.
    pub fn allow_streams(&self, streams: u32) {
        if streams > self.stream_limit.fetch_max(streams, Ordering::Relaxed) {
            let streams = VarInt::from_u32(streams);
            self.conn.set_max_concurrent_bi_streams(streams);
        }
    }

    /// Waits until either process closed the link or it became unresponsive.
    pub async fn closed(&self) {
        self.conn.closed().await;
    }

    /// Returns whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.conn.close_reason().is_some()
    }

    /// Closes the link; streams on it end with an error.
    pub fn close(&self) {
        self.conn.close(CODE_CLOSED, b"closed");
    }

    /// Returns the address of the peer.
    pub fn peer(&self) -> SocketAddr {
        self.conn.remote_address()
    }

    /// Returns the bytes sent and received on the link, as UDP payload.
    pub fn bytes(&self) -> Bytecount {
        let stats = self.conn.stats();
        Bytecount {
            sent: stats.udp_tx.bytes,
            received: stats.udp_rx.bytes,
        }
    }
}

/// Traffic of a link in bytes of UDP payload.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Bytecount {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Probes a link while it is in use, and closes it when it is unresponsive.
///
/// A connection can stop passing packets permanently when a device on the path loses its
/// connection-tracking entry. Neither process gets an error; the only sign is that acknowledgements
/// are missing. Each probe is therefore a datagram that the peer has to acknowledge.
async fn probe(
    conn: Connection,
    mut in_use: watch::Receiver<u32>,
    dialer: Dialer,
    generation: u64,
    probing: Probing,
) {
    let mut misses = 0;
    loop {
        let idle = tokio::select! {
            idle = in_use.wait_for(|n| *n > 0) => idle.is_err(),
            _ = conn.closed() => return,
        };
        if idle {
            return;
        }
        let before = conn.stats().udp_rx.datagrams;
        let _ = conn.send_datagram(Bytes::from_static(b"probe"));
        tokio::select! {
            () = tokio::time::sleep(probing.interval) => {}
            _ = conn.closed() => return,
        }
        if conn.stats().udp_rx.datagrams != before {
            misses = 0;
            continue;
        }
        misses += 1;
        if misses >= probing.misses {
            dialer.rotate(generation);
            conn.close(CODE_UNRESPONSIVE, b"silent");
            return;
        }
    }
}
