//! Proxies that cut, delay and swallow what goes through them.
//!
//! What passes is numbered: TCP connections in the order in which they are accepted, UDP sources
//! (address and port) in the order in which they first send.

mod tcp;
mod udp;

use std::{
    io,
    marker::PhantomData,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::Arc,
    time::Duration,
};

use tokio::{
    net::{
        TcpListener,
        UdpSocket, //
    },
    sync::watch,
    task::JoinHandle,
};

use crate::server::expected;

const ANY_PORT: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

/// A TCP proxy.
pub type TcpProxy = Proxy<Tcp>;

/// A UDP proxy; each source has a port of its own towards the upstream.
pub type UdpProxy = Proxy<Udp>;

/// Marks a TCP proxy.
#[derive(Debug)]
pub enum Tcp {}

/// Marks a UDP proxy.
#[derive(Debug)]
pub enum Udp {}

/// What is let through.
#[derive(Debug, Default)]
struct Gate {
    opened: u64,
    /// Pieces that were read from either side of TCP connections.
    read: u64,
    /// Numbers below are closed.
    cut_below: u64,
    /// Numbers below are silent for good.
    silent_below: u64,
    all_silent: bool,
    /// What the upstreams of TCP connections say is held.
    answers_silent: bool,
    delay: Duration,
    /// Bytes let through, both ways.
    bytes: u64,
    /// Where UDP datagrams go.
    upstream: Option<SocketAddr>,
}

impl Gate {
    fn is_silent(&self, number: u64) -> bool {
        self.all_silent || number < self.silent_below
    }

    fn is_cut(&self, number: u64) -> bool {
        number < self.cut_below
    }
}

type Shared = Arc<watch::Sender<Gate>>;

/// A running proxy. Dropping it ends it with all that passes through it.
#[derive(Debug)]
pub struct Proxy<T> {
    addr: SocketAddr,
    gate: Shared,
    task: JoinHandle<()>,
    kind: PhantomData<T>,
}

impl TcpProxy {
    /// Starts one on a free port of loopback.
    ///
    /// # Errors
    ///
    /// When there is no port.
    pub async fn start(upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(ANY_PORT).await?;
        let addr = listener.local_addr()?;
        let gate = Shared::default();
        let task = tokio::spawn(tcp::run(listener, upstream, gate.clone()));
        Ok(Self::new(addr, gate, task))
    }
}

impl UdpProxy {
    /// Starts one on a free port of loopback.
    ///
    /// # Errors
    ///
    /// When there is no port.
    pub async fn start(upstream: SocketAddr) -> io::Result<Self> {
        let proxy = Self::start_detached().await?;
        proxy.attach(upstream);
        Ok(proxy)
    }

    /// Starts one that loses everything until [`UdpProxy::attach`], for an upstream that is told
    /// the proxy's address before it has one of its own.
    ///
    /// # Errors
    ///
    /// When there is no port.
    pub async fn start_detached() -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(ANY_PORT).await?);
        let addr = socket.local_addr()?;
        let gate = Shared::default();
        let task = tokio::spawn(udp::run(socket, gate.clone()));
        Ok(Self::new(addr, gate, task))
    }

    /// Sets where datagrams go from now on.
    pub fn attach(&self, upstream: SocketAddr) {
        self.gate.send_modify(|gate| gate.upstream = Some(upstream));
    }
}

impl<T> Proxy<T> {
    fn new(addr: SocketAddr, gate: Shared, task: JoinHandle<()>) -> Self {
        Self {
            addr,
            gate,
            task,
            kind: PhantomData,
        }
    }

    /// Returns the address to connect or send to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns how many connections or sources there have been.
    pub fn opened(&self) -> u64 {
        self.gate.borrow().opened
    }

    /// Waits until there have been so many connections or sources.
    ///
    /// # Panics
    ///
    /// After half a minute.
    pub async fn until_opened(&self, count: u64) {
        let mut rx = self.gate.subscribe();
        // The sender lives in `self`.
        let _ = expected(rx.wait_for(|gate| gate.opened >= count)).await;
    }

    /// Returns how many pieces were read from TCP connections so far, passed on or not.
    pub fn read(&self) -> u64 {
        self.gate.borrow().read
    }

    /// Waits until so many pieces were read from TCP connections.
    ///
    /// # Panics
    ///
    /// After half a minute.
    pub async fn until_read(&self, count: u64) {
        let mut rx = self.gate.subscribe();
        // The sender lives in `self`.
        let _ = expected(rx.wait_for(|gate| gate.read >= count)).await;
    }

    /// Returns the bytes let through so far, both ways.
    pub fn bytes(&self) -> u64 {
        self.gate.borrow().bytes
    }

    /// Lets everything through without delay, but for what went silent for good.
    pub fn pass(&self) {
        self.gate.send_modify(|gate| {
            gate.all_silent = false;
            gate.answers_silent = false;
            gate.delay = Duration::ZERO;
        });
    }

    /// Closes all connections, and forgets all sources; new ones pass.
    pub fn cut(&self) {
        self.gate.send_modify(|gate| gate.cut_below = gate.opened);
    }

    /// Makes present connections or sources silent for good, both ways and without closing them.
    pub fn blackhole_existing(&self) {
        self.gate
            .send_modify(|gate| gate.silent_below = gate.opened);
    }

    /// Makes everything silent until [`Proxy::pass`]: TCP holds its bytes, UDP loses datagrams.
    pub fn blackhole_all(&self) {
        self.gate.send_modify(|gate| gate.all_silent = true);
    }

    /// Holds what the upstreams of TCP connections say until [`Proxy::pass`], while what is said to
    /// them goes through: a cut in one way, after which a call has its effect and no answer.
    pub fn hold_answers(&self) {
        self.gate.send_modify(|gate| gate.answers_silent = true);
    }

    /// Delays each piece or datagram; pieces of a TCP connection wait for one another.
    pub fn delay(&self, delay: Duration) {
        self.gate.send_modify(|gate| gate.delay = delay);
    }
}

impl<T> Drop for Proxy<T> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Nobody waits for the count, so nobody is woken.
fn count(gate: &Shared, len: usize) {
    gate.send_if_modified(|gate| {
        gate.bytes += len as u64;
        false
    });
}

fn open(gate: &Shared) -> u64 {
    let mut number = 0;
    gate.send_modify(|gate| {
        number = gate.opened;
        gate.opened += 1;
    });
    number
}

async fn until_cut(gate: &Shared, number: u64) {
    let _ = gate.subscribe().wait_for(|gate| gate.is_cut(number)).await;
}
