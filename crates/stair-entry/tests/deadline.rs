//! Each request gets its response or refusal by its deadline.

mod support;

use std::time::{
    Duration,
    Instant, //
};

use support::{
    agent::{
        Event,
        FakeAgent,
        Session, //
    },
    rig::{
        BILLED,
        GOLD,
        Rig,
        keys, //
    },
};

const SHORT: &[(&str, &str)] = &[("dandelionstair-timeout-ms", "300")];

// A target never reaches a queued request. The caller must get "not run" by the deadline, and the
// target must not run the request later.
#[tokio::test]
async fn waiting_refused_in_time() {
    let keys = keys();
    let mut agent = FakeAgent::start("t1", &keys, Session::hold);
    let rig = Rig::start(&keys, &[&agent]).await;
    let began = Instant::now();

    let got = rig.post(GOLD, BILLED, SHORT).await;

    assert_eq!(got.status.as_u16(), 504);
    assert_eq!(&*got.verdict, "not-run");
    assert!(began.elapsed() < Duration::from_secs(2));
    assert_eq!(agent.next().await, Event::Offered);
    assert_eq!(agent.next().await, Event::Cancelled);
}

// A run hangs. The caller must get "may have run" by the deadline, and the run must be cancelled.
#[tokio::test]
async fn running_refused_in_time() {
    let keys = keys();
    let mut agent = FakeAgent::start("t1", &keys, |mut s: Session| async move {
        s.queued().await;
        assert!(s.ready().await);
        s.next_message().await;
    });
    let rig = Rig::start(&keys, &[&agent]).await;

    let got = rig.post(GOLD, BILLED, SHORT).await;

    assert_eq!(got.status.as_u16(), 504);
    assert_eq!(&*got.verdict, "may-have-run");
    assert_eq!(agent.next().await, Event::Offered);
    assert_eq!(agent.next().await, Event::Started);
    assert_eq!(agent.next().await, Event::Cancelled);
}

// Packets to the only target are lost. The caller must be refused within its deadline and not only
// after the transport's timeout.
#[tokio::test]
async fn unreachable_target_refused() {
    let keys = keys();
    let mut agent = FakeAgent::start("t1", &keys, Session::hold);
    let silent = std::net::UdpSocket::bind("127.0.0.1:0").expect("binds");
    agent.addr = silent.local_addr().expect("is bound");
    let rig = Rig::start(&keys, &[&agent]).await;
    let began = Instant::now();

    let got = rig.post(GOLD, BILLED, SHORT).await;

    assert_eq!(&*got.verdict, "not-run");
    assert!(began.elapsed() < Duration::from_secs(2));
}
