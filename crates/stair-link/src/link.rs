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

pub(crate) const CODE_CLOSED: VarInt = VarInt::from_u32(1);
const CODE_UNRESPONSIVE: VarInt = VarInt::from_u32(2);

/// How a link is probed while it is in use.
///
/// A link that receives nothing for `misses` intervals, although each interval sent a probe that
/// the other end has to acknowledge, is closed as silent. A link that is not in use is not probed:
/// at 410 entries and 12,000 agents, probes on idle links alone would exceed the control budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probing {
    /// Time between probes.
    pub interval: Duration,
    /// Intervals without a packet after which the link is given up.
    pub misses: u32,
}

impl Probing {
    /// For links that carry requests: silence is noticed within 1.2 s, as the first of the
    /// intervals may have begun with a packet. That leaves time to resume on a new link within 2 s,
    /// of which an attempt may take 0.75. Shorter would take a busy or briefly paused VM for a
    /// silent link.
    pub const REQUESTS: Self = Self {
        interval: Duration::from_millis(200),
        misses: 5,
    };

    /// For the control links of agents: silence is noticed within 5 s, as the first of the
    /// intervals may have begun with a packet. A configuration change has 8 s to be in force and
    /// comes over the agent's other link meanwhile, unless that is silent too. 60 links an entry
    /// cost about 4 KB a second at this interval, and a shorter one would exceed the 7 KB that an
    /// entry may spend; a link that is given up too early costs a handshake.
    pub const CONTROL: Self = Self {
        interval: Duration::from_millis(1_660),
        misses: 2,
    };
}

/// A link to another process. Cloning shares it.
#[derive(Clone)]
pub struct Link {
    conn: Connection,
    in_use: watch::Sender<u32>,
    /// Streams that the other end may have open at once.
    stream_limit: Arc<AtomicU32>,
}

/// Marks a link as in use while it lives.
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

    /// Marks the link as in use until the mark is dropped.
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

    /// Waits for the other end to open a bidirectional stream.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] when the link is closed.
    pub async fn accept(&self) -> Result<(SendStream, RecvStream), Error> {
        Ok(self.conn.accept_bi().await?)
    }

    /// Lets the other end have so many streams open at once, if that is more than it may have now.
    ///
    /// It waits for a stream of its own to end otherwise.
    pub fn allow_streams(&self, streams: u32) {
        if streams > self.stream_limit.fetch_max(streams, Ordering::Relaxed) {
            let streams = VarInt::from_u32(streams);
            self.conn.set_max_concurrent_bi_streams(streams);
        }
    }

    /// Waits until the link is closed by either end or went silent.
    pub async fn closed(&self) {
        self.conn.closed().await;
    }

    /// Tells whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.conn.close_reason().is_some()
    }

    /// Closes the link; streams on it end with an error.
    pub fn close(&self) {
        self.conn.close(CODE_CLOSED, b"closed");
    }

    /// Returns the address of the other end.
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

/// Bytes of a link, as UDP payload.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Bytecount {
    /// Sent.
    pub sent: u64,
    /// Received.
    pub received: u64,
}

/// An open connection can go silent for good because something between the two ends has lost
/// track of it. Neither end gets an error. It shows only as the lack of acknowledgements of what
/// was sent, so while the link is in use something is sent that has to be acknowledged.
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
