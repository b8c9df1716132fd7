//! The fault-injecting proxies, before an echo.

use std::{
    io,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use stair_standin::{
    TcpProxy,
    UdpProxy, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream,
        UdpSocket, //
    },
    time::timeout,
};

const LONG: Duration = Duration::from_secs(20);
/// Silence for so long counts as silence.
const QUIET: Duration = Duration::from_millis(200);
const DELAY: Duration = Duration::from_millis(100);
const ANY: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

async fn tcp_echo() -> SocketAddr {
    let listener = TcpListener::bind(ANY).await.expect("a free port");
    let addr = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut rx, mut tx) = stream.split();
                tokio::io::copy(&mut rx, &mut tx).await
            });
        }
    });
    addr
}

async fn udp_echo() -> SocketAddr {
    let socket = UdpSocket::bind(ANY).await.expect("a free port");
    let addr = socket.local_addr().expect("bound");
    tokio::spawn(async move {
        let mut buf = [0; 16];
        while let Ok((len, from)) = socket.recv_from(&mut buf).await {
            let _ = socket.send_to(&buf[..len], from).await;
        }
    });
    addr
}

/// Sends a byte and waits for its echo; `None` is silence.
async fn tcp_ping(stream: &mut TcpStream, wait: Duration) -> Option<io::Result<u8>> {
    let exchange = async {
        stream.write_all(b"x").await?;
        stream.read_u8().await
    };
    timeout(wait, exchange).await.ok()
}

async fn udp_ping(socket: &UdpSocket, wait: Duration) -> Option<usize> {
    socket.send(b"x").await.expect("sent");
    let received = timeout(wait, socket.recv(&mut [0; 16])).await;
    Some(received.ok()?.expect("received"))
}

async fn source(proxy: &UdpProxy) -> UdpSocket {
    let socket = UdpSocket::bind(ANY).await.expect("a free port");
    socket.connect(proxy.addr()).await.expect("connected");
    socket
}

#[tokio::test]
async fn tcp_black_hole() {
    let proxy = TcpProxy::start(tcp_echo().await).await.expect("started");
    let connect = || async { TcpStream::connect(proxy.addr()).await.expect("connected") };
    let mut old = connect().await;
    assert!(matches!(tcp_ping(&mut old, LONG).await, Some(Ok(b'x'))));
    proxy.blackhole_existing();
    let mut new = connect().await;
    assert!(matches!(tcp_ping(&mut new, LONG).await, Some(Ok(b'x'))));
    assert!(tcp_ping(&mut old, QUIET).await.is_none());

    proxy.blackhole_all();
    assert!(tcp_ping(&mut new, QUIET).await.is_none());
    proxy.pass();
    assert!(matches!(tcp_ping(&mut new, LONG).await, Some(Ok(b'x'))));
    assert!(tcp_ping(&mut old, QUIET).await.is_none());
    assert_eq!(proxy.opened(), 2);
}

#[tokio::test]
async fn tcp_cut_and_delay() {
    let proxy = TcpProxy::start(tcp_echo().await).await.expect("started");
    let connect = || async { TcpStream::connect(proxy.addr()).await.expect("connected") };
    let mut old = connect().await;
    proxy.until_opened(1).await;
    proxy.cut();
    assert!(matches!(tcp_ping(&mut old, LONG).await, Some(Err(_))));

    let mut new = connect().await;
    proxy.delay(DELAY);
    let sent = Instant::now();
    assert!(matches!(tcp_ping(&mut new, LONG).await, Some(Ok(b'x'))));
    assert!(sent.elapsed() >= 2 * DELAY);
}

#[tokio::test]
async fn udp_black_hole() {
    let proxy = UdpProxy::start(udp_echo().await).await.expect("started");
    let old = source(&proxy).await;
    assert_eq!(udp_ping(&old, LONG).await, Some(1));
    proxy.blackhole_existing();
    let new = source(&proxy).await;
    assert_eq!(udp_ping(&new, LONG).await, Some(1));
    assert_eq!(udp_ping(&old, QUIET).await, None);

    proxy.blackhole_all();
    assert_eq!(udp_ping(&new, QUIET).await, None);
    proxy.pass();
    assert_eq!(udp_ping(&new, LONG).await, Some(1));
    assert_eq!(udp_ping(&old, QUIET).await, None);
}

#[tokio::test]
async fn udp_cut_and_delay() {
    let proxy = UdpProxy::start(udp_echo().await).await.expect("started");
    let socket = source(&proxy).await;
    assert_eq!(udp_ping(&socket, LONG).await, Some(1));
    proxy.cut();
    proxy.delay(DELAY);
    let sent = Instant::now();
    assert_eq!(udp_ping(&socket, LONG).await, Some(1));
    assert!(sent.elapsed() >= 2 * DELAY);
    assert_eq!(proxy.opened(), 2);
}
