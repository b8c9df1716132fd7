//! Servers that send bytes without end, or one by one, to the client of a pool.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use stair_http::client::{
    Client,
    Error,
    Options, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpListener,
    time::{
        Instant,
        sleep, //
    },
};

/// Time that the client grants, far above the time that it takes to read what it accepts.
const LIMIT: Duration = Duration::from_secs(20);

/// Starts a server that reads one request of a connection, sends `head`, and repeats `rest` with a pause.
async fn start(head: &'static str, rest: &'static [u8], pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                let _ = stream.read(&mut buf).await;
                let _ = stream.write_all(head.as_bytes()).await;
                while stream.write_all(rest).await.is_ok() {
                    if !pause.is_zero() {
                        sleep(pause).await;
                    }
                }
            });
        }
    });
    addr
}

fn get() -> Request<Full<Bytes>> {
    Request::get("/").body(Full::default()).expect("a request")
}

/// Guards against interim responses without end, which the HTTP library skips until the time is over.
#[tokio::test]
async fn interim_responses() {
    let interim = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    let addr = start("", interim, Duration::ZERO).await;
    let begun = Instant::now();
    let sent = Client::new(addr, Options::default())
        .send(get(), LIMIT)
        .await;
    assert!(matches!(sent, Err(Error::Lost(_))));
    assert!(begun.elapsed() < LIMIT / 2);
}

/// Guards against a body that comes byte by byte and is read for ever, as no byte comes late.
#[tokio::test]
async fn dripping_body() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n";
    let addr = start(head, b"x", Duration::from_millis(20)).await;
    let client = Client::new(addr, Options::default());
    let response = client.send(get(), LIMIT).await.expect("a head");
    let begun = Instant::now();
    let read = response.collect(1 << 20, Duration::from_millis(300)).await;
    assert!(matches!(read, Err(Error::Lost(_))));
    assert!(begun.elapsed() < LIMIT / 2);
}

/// A long body is not taken for a head that does not end.
#[tokio::test]
async fn long_body() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n";
    let addr = start(head, &[b'x'; 4000], Duration::ZERO).await;
    let response = Client::new(addr, Options::default())
        .send(get(), LIMIT)
        .await;
    let body = response.expect("a head").collect(8 << 20, LIMIT).await;
    assert_eq!(body.expect("whole").len(), 8_000_000);
}
