//! Which connections give way at the limit of a listener.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use hyper::Response;
use stair_http::{
    body::full,
    server, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    time::{
        sleep,
        timeout, //
    },
};

const LIMIT: Duration = Duration::from_secs(5);
const MAX: usize = 4;

/// Starts a server that responds after a pause to `/slow`.
async fn start() -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    let (stop, stopped) = watch::channel(false);
    let opts = server::Options {
        max_connections: MAX,
        ..server::Options::default()
    };
    let handler = |req: hyper::Request<hyper::body::Incoming>| async move {
        if req.uri().path() == "/slow" {
            sleep(Duration::from_millis(500)).await;
        }
        Response::new(full("yes"))
    };
    tokio::spawn(server::serve(listener, opts, stopped, handler));
    (addr, stop)
}

async fn send(stream: &mut TcpStream, path: &str) {
    let raw = format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
    stream.write_all(raw.as_bytes()).await.expect("sent");
}

/// Whether a response arrives before the connection ends.
async fn is_served(stream: &mut TcpStream) -> bool {
    let mut buf = [0; 512];
    let read = timeout(LIMIT, stream.read(&mut buf))
        .await
        .expect("in time");
    read.is_ok_and(|n| buf[..n].starts_with(b"HTTP/1.1 200"))
}

async fn connect(addr: SocketAddr) -> TcpStream {
    TcpStream::connect(addr).await.expect("a connection")
}

#[tokio::test]
async fn idle_gives_way() {
    let (addr, _stop) = start().await;
    let mut open = Vec::new();
    for _ in 0..MAX {
        let mut stream = connect(addr).await;
        send(&mut stream, "/").await;
        assert!(is_served(&mut stream).await);
        open.push(stream);
    }
    let mut new = connect(addr).await;
    send(&mut new, "/").await;
    assert!(is_served(&mut new).await);
    // The one that has been idle for the longest time.
    assert!(!is_served(&mut open[0]).await);
    send(&mut open[1], "/").await;
    assert!(is_served(&mut open[1]).await);
}

/// Requests are not cut for new connections, which are closed unread.
#[tokio::test]
async fn busy_stays() {
    let (addr, _stop) = start().await;
    let mut busy = Vec::new();
    for _ in 0..MAX {
        let mut stream = connect(addr).await;
        send(&mut stream, "/slow").await;
        busy.push(stream);
    }
    sleep(Duration::from_millis(100)).await;
    let mut new = connect(addr).await;
    send(&mut new, "/").await;
    assert!(!is_served(&mut new).await);
    for mut stream in busy {
        assert!(is_served(&mut stream).await);
    }
}
