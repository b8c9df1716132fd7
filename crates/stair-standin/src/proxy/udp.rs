//! UDP sources.

use std::{
    io,
    net::{
        Ipv6Addr,
        SocketAddr, //
    },
    sync::Arc,
};

use tokio::{
    net::UdpSocket,
    task::JoinSet, //
};

use super::{
    ANY_PORT,
    Shared,
    count,
    open,
    until_cut, //
};

const MAX_DATAGRAM_BYTES: usize = 64 << 10;

struct Source {
    addr: SocketAddr,
    number: u64,
    /// Towards the upstream.
    socket: Arc<UdpSocket>,
}

pub(super) async fn run(front: Arc<UdpSocket>, gate: Shared) {
    let mut sources: Vec<Source> = Vec::new();
    let mut returns = JoinSet::new();
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error here tells of an earlier datagram that could not be delivered.
        let Ok((len, addr)) = front.recv_from(&mut buf).await else {
            continue;
        };
        let Some(upstream) = gate.borrow().upstream else {
            continue;
        };
        sources.retain(|source| !gate.borrow().is_cut(source.number));
        while returns.try_join_next().is_some() {}
        let at = match sources.iter().position(|source| source.addr == addr) {
            Some(at) => at,
            None => {
                let Ok(socket) = socket_for(upstream).await else {
                    continue;
                };
                let socket = Arc::new(socket);
                let number = open(&gate);
                let (back, gate) = (front.clone(), gate.clone());
                returns.spawn(answers(socket.clone(), back, addr, gate, number));
                sources.push(Source {
                    addr,
                    number,
                    socket,
                });
                sources.len() - 1
            }
        };
        let source = &sources[at];
        let socket = source.socket.clone();
        deliver(&gate, source.number, socket, upstream, &buf[..len]).await;
    }
}

async fn socket_for(upstream: SocketAddr) -> io::Result<UdpSocket> {
    let any = match upstream {
        SocketAddr::V4(_) => SocketAddr::from(ANY_PORT),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::LOCALHOST, 0)),
    };
    UdpSocket::bind(any).await
}

/// Carries the upstream's datagrams back to a source.
async fn answers(
    socket: Arc<UdpSocket>,
    front: Arc<UdpSocket>,
    addr: SocketAddr,
    gate: Shared,
    number: u64,
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buf) => received,
            () = until_cut(&gate, number) => return,
        };
        if let Ok((len, _)) = received {
            deliver(&gate, number, front.clone(), addr, &buf[..len]).await;
        }
    }
}

async fn deliver(
    gate: &Shared,
    number: u64,
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    datagram: &[u8],
) {
    let (silent, delay) = {
        let gate = gate.borrow();
        (gate.is_silent(number), gate.delay)
    };
    if silent {
        return;
    }
    count(gate, datagram.len());
    if delay.is_zero() {
        let _ = socket.send_to(datagram, to).await;
        return;
    }
    // In a task of its own, so that datagrams do not wait for one another.
    let datagram = datagram.to_vec();
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        let _ = socket.send_to(&datagram, to).await;
    });
}
