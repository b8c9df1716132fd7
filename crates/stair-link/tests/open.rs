//! Opening links and streams.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration,
};

use stair_link::{
    Dialer,
    Keys,
    Listener,
    Pool,
    keys::Authority,
    link::Probing, //
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn issue(authority: &Authority) -> Keys {
    authority.issue().expect("keys can be issued")
}

fn dialer(keys: &Keys) -> Dialer {
    Dialer::new(keys, CONNECT_TIMEOUT).expect("the keys are good")
}

/// Sends the bytes of every stream back to the peer.
async fn echo(listener: Listener) {
    while let Some(link) = listener.accept().await {
        tokio::spawn(async move {
            while let Ok((mut tx, mut rx)) = link.accept().await {
                let bytes = rx.read_to_end(1 << 16).await.expect("the stream ends");
                tx.write_all(&bytes).await.expect("the stream is open");
                tx.finish().expect("the stream is open");
            }
        });
    }
}

#[tokio::test]
async fn stream_echoes() {
    let authority = Authority::generate().expect("keys can be made");
    let listener = Listener::bind(any_port(), &issue(&authority)).expect("binds");
    let addr = listener.addr().expect("is bound");
    tokio::spawn(echo(listener));
    let pool = Pool::new(dialer(&issue(&authority)), Probing::REQUESTS);

    let link = pool.get(addr).await.expect("connects");
    let _in_use = link.use_it();
    let (mut tx, mut rx) = link.open().await.expect("opens");
    tx.write_all(b"hello").await.expect("writes");
    tx.finish().expect("finishes");

    assert_eq!(rx.read_to_end(1 << 16).await.expect("reads"), b"hello");
    assert_eq!(pool.live(), 1);
}

#[tokio::test]
async fn burst_shares_link() {
    let authority = Authority::generate().expect("keys can be made");
    let listener = Listener::bind(any_port(), &issue(&authority)).expect("binds");
    let addr = listener.addr().expect("is bound");
    let (links, mut accepted) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Some(link) = listener.accept().await {
            let _ = links.send(link);
        }
    });
    let pool = Pool::new(dialer(&issue(&authority)), Probing::REQUESTS);

    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..50 {
        let pool = pool.clone();
        tasks.spawn(async move { pool.get(addr).await.expect("connects") });
    }
    let all = tasks.join_all().await;

    assert_eq!(all.len(), 50);
    accepted.recv().await.expect("one link came");
    assert!(accepted.try_recv().is_err(), "a second link was opened");
}

// A process of another deployment, or any other process on the network, connects to a link address
// with a certificate of another authority. If it could open a link, its requests would reach the
// targets.
#[tokio::test]
async fn foreign_certificate_refused() {
    let ours = Authority::generate().expect("keys can be made");
    let theirs = Authority::generate().expect("keys can be made");
    let listener = Listener::bind(any_port(), &issue(&ours)).expect("binds");
    let addr = listener.addr().expect("is bound");
    tokio::spawn(echo(listener));

    let result = dialer(&issue(&theirs))
        .connect(addr, Probing::REQUESTS)
        .await;

    assert!(
        result.is_err(),
        "a peer with a foreign certificate opened a link"
    );
}

// A target's VM was removed, and packets to its address are dropped. A burst of requests to the
// target must fail after one connect timeout; with an attempt per request, one after the other, the
// last of the 30 would wait for half a minute.
#[tokio::test(start_paused = true)]
async fn burst_shares_failure() {
    const SHORT_TIMEOUT: Duration = Duration::from_secs(1);
    let authority = Authority::generate().expect("keys can be made");
    let dead = std::net::UdpSocket::bind(any_port()).expect("binds");
    let addr = dead.local_addr().expect("is bound");
    let dialer = Dialer::new(&issue(&authority), SHORT_TIMEOUT).expect("the keys are good");
    let pool = Pool::new(dialer.clone(), Probing::REQUESTS);
    let began = tokio::time::Instant::now();

    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..30 {
        let pool = pool.clone();
        tasks.spawn(async move { pool.get(addr).await.map(drop) });
    }
    let all = tasks.join_all().await;

    assert!(
        all.iter().all(Result::is_err),
        "an unresponsive address responded"
    );
    assert!(
        began.elapsed() < SHORT_TIMEOUT * 2,
        "took {:?}",
        began.elapsed()
    );
    assert_eq!(dialer.replaced(), 1);
}

// The request that started a connection attempt is cancelled while others wait for the same link.
// The others must still get the link.
#[tokio::test]
async fn first_waiter_cancelled() {
    let authority = Authority::generate().expect("keys can be made");
    let listener = Listener::bind(any_port(), &issue(&authority)).expect("binds");
    let addr = listener.addr().expect("is bound");
    tokio::spawn(echo(listener));
    let pool = Pool::new(dialer(&issue(&authority)), Probing::REQUESTS);

    let first = pool.get(addr);
    tokio::select! {
        biased;
        _ = first => panic!("a handshake took no time"),
        () = std::future::ready(()) => {}
    }
    let second = pool.get(addr).await;

    assert!(second.is_ok());
    assert_eq!(pool.live(), 1);
}
