//! A UDP relay that can drop the traffic of its current connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
};

use tokio::net::UdpSocket;

/// Forwards datagrams to one address.
pub struct Relay {
    pub addr: SocketAddr,
    tracks: Arc<Mutex<Vec<Track>>>,
}

/// The relay's state of one sender.
struct Track {
    from: SocketAddr,
    socket: Arc<UdpSocket>,
    is_silent: bool,
}

impl Relay {
    pub async fn start(to: SocketAddr) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("binds");
        let addr = socket.local_addr().expect("is bound");
        let tracks = Arc::<Mutex<Vec<Track>>>::default();
        tokio::spawn(carry(Arc::new(socket), to, tracks.clone()));
        Self { addr, tracks }
    }

    /// Drops all datagrams from now on between the ports in use. Other ports work.
    pub fn silence(&self) {
        for track in self.tracks.lock().expect("no panic").iter_mut() {
            track.is_silent = true;
        }
    }
}

async fn carry(socket: Arc<UdpSocket>, to: SocketAddr, tracks: Arc<Mutex<Vec<Track>>>) {
    let mut buf = vec![0; 1 << 16];
    while let Ok((n, from)) = socket.recv_from(&mut buf).await {
        let known = {
            let tracks = tracks.lock().expect("no panic");
            let track = tracks.iter().find(|t| t.from == from);
            track.map(|t| (t.socket.clone(), t.is_silent))
        };
        let (out, is_silent) = match known {
            Some(known) => known,
            None => (add(&socket, from, &tracks).await, false),
        };
        if !is_silent {
            let _ = out.send_to(&buf[..n], to).await;
        }
    }
}

async fn add(
    back: &Arc<UdpSocket>,
    from: SocketAddr,
    tracks: &Arc<Mutex<Vec<Track>>>,
) -> Arc<UdpSocket> {
    let out = UdpSocket::bind("127.0.0.1:0").await.expect("binds");
    let socket = Arc::new(out);
    tracks.lock().expect("no panic").push(Track {
        from,
        socket: socket.clone(),
        is_silent: false,
    });
    tokio::spawn(carry_back(
        socket.clone(),
        back.clone(),
        from,
        tracks.clone(),
    ));
    socket
}

async fn carry_back(
    out: Arc<UdpSocket>,
    back: Arc<UdpSocket>,
    to: SocketAddr,
    tracks: Arc<Mutex<Vec<Track>>>,
) {
    let mut buf = vec![0; 1 << 16];
    while let Ok((n, _)) = out.recv_from(&mut buf).await {
        let is_silent = {
            let tracks = tracks.lock().expect("no panic");
            tracks.iter().any(|t| t.from == to && t.is_silent)
        };
        if !is_silent {
            let _ = back.send_to(&buf[..n], to).await;
        }
    }
}
