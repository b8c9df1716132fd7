//! Every request gets its final answer by its deadline.

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

// A target never gets to the request. The clerk must hear by the deadline that nothing ran, and
// the target must not run it later.
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

// A run hangs. The caller must hear by the deadline that it may have run, and the run is
// cancelled.
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

// The only target is gone without a trace: packets to it are lost. The caller must hear within
// its deadline, not after the transport's own patience.
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
