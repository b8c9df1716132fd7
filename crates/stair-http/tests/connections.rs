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
        TcpSocket,
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

/// Size of a response that the buffers of a connection do not hold.
const LONG_BYTES: usize = 24 << 20;

/// Starts a server that responds after a pause to `/slow`, and with [`LONG_BYTES`] to `/long`.
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
        if req.uri().path() == "/long" {
            return Response::new(full(vec![b'x'; LONG_BYTES]));
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

/// Requests `/long` on a connection with a small receive buffer, and reads the beginning of the response.
async fn begin_long(addr: SocketAddr) -> (TcpStream, usize) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(64 << 10).expect("set");
    let mut stream = socket.connect(addr).await.expect("a connection");
    send(&mut stream, "/long").await;
    let mut buf = [0; 512];
    let read = stream.read(&mut buf).await.expect("a head");
    // The handler has returned by now, and the HTTP library has taken the body.
    sleep(Duration::from_millis(200)).await;
    (stream, read)
}

/// Whether the rest of the response to `/long` is whole.
async fn is_whole((mut stream, mut read): (TcpStream, usize)) -> bool {
    let mut buf = vec![0; 1 << 20];
    while read <= LONG_BYTES {
        match timeout(LIMIT, stream.read(&mut buf))
            .await
            .expect("in time")
        {
            Ok(n) if n > 0 => read += n,
            _ => return false,
        }
    }
    true
}

/// A connection whose client still reads a long response counts as idle and is closed for a new one.
#[tokio::test]
async fn unsent_stays() {
    let (addr, _stop) = start().await;
    let mut long = Vec::new();
    for _ in 0..MAX {
        long.push(begin_long(addr).await);
    }
    let mut new = connect(addr).await;
    send(&mut new, "/").await;
    assert!(!is_served(&mut new).await);
    for one in long {
        assert!(is_whole(one).await);
    }
}

/// A long response is sent: its connection stays counted as one in use, and is never closed for a new one.
#[tokio::test]
async fn sent_gives_way() {
    let (addr, _stop) = start().await;
    let mut long = Vec::new();
    for _ in 0..MAX {
        long.push(begin_long(addr).await);
    }
    assert!(is_whole(long.remove(0)).await);
    let mut new = connect(addr).await;
    send(&mut new, "/").await;
    assert!(is_served(&mut new).await);
}

/// A server stops while a client still reads a long response, and cuts it.
#[tokio::test]
async fn unsent_at_stop() {
    let (addr, stop) = start().await;
    let long = begin_long(addr).await;
    stop.send_replace(true);
    sleep(Duration::from_millis(500)).await;
    assert!(is_whole(long).await);
}
