//! Detection of truncated responses.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use hyper::Request;
use stair_http::{
    Client,
    client, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpListener,
};

const LONG: Duration = Duration::from_secs(30);

/// Responds to one request with these bytes and closes the connection.
async fn serve_once(response: &'static str) -> SocketAddr {
    let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
    let listener = TcpListener::bind(any_port).await.expect("a free port");
    let addr = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let _ = stream.read(&mut [0; 4096]).await;
        let _ = stream.write_all(response.as_bytes()).await;
    });
    addr
}

async fn fetch(response: &'static str) -> Result<Bytes, client::Error> {
    let client = Client::new(serve_once(response).await, client::Options::default());
    let req = Request::get("/")
        .body(Default::default())
        .expect("a request");
    client.send(req, LONG).await?.collect(1 << 20, LONG).await
}

// A service without content length or chunked encoding ends a response by closing the connection.
// If its VM fails during a response the connection closes too, and the client would take a
// truncated document for a complete one.
#[tokio::test]
async fn closed_connection() {
    let got = fetch("HTTP/1.1 200 OK\r\n\r\nhalf of the te").await;

    assert!(matches!(got, Err(client::Error::Lost(_))), "{got:?}");
}

#[tokio::test]
async fn explicit_end() {
    let by_length = fetch("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc").await;
    let by_chunks = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let by_chunks = fetch(by_chunks).await;
    let without_body = fetch("HTTP/1.1 204 No Content\r\n\r\n").await;

    assert_eq!(by_length.expect("it is whole"), "abc");
    assert_eq!(by_chunks.expect("it is whole"), "abc");
    assert_eq!(without_body.expect("it is whole"), "");
}

#[tokio::test]
async fn truncated_before_end() {
    let by_length = fetch("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc").await;
    let by_chunks = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";
    let by_chunks = fetch(by_chunks).await;

    assert!(
        matches!(by_length, Err(client::Error::Lost(_))),
        "{by_length:?}"
    );
    assert!(
        matches!(by_chunks, Err(client::Error::Lost(_))),
        "{by_chunks:?}"
    );
}
