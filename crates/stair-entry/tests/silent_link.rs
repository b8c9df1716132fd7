//! Links that go silent for good while new ones work.

mod support;

use std::time::Instant;

use support::{
    LONG,
    agent::{
        Event,
        FakeAgent,
        Session, //
    },
    relay::Relay,
    rig::{
        BILLED,
        GOLD,
        Rig,
        keys, //
    },
};

const EVENTS: &str = "text/event-stream";

/// Sends the first event, and the second one only on a new link.
async fn two_events(mut s: Session) {
    if s.is_resume() {
        s.head(EVENTS, 9).await;
        s.body("data: 2\n\n").await;
        return s.end(18).await;
    }
    s.queued().await;
    assert!(s.ready().await);
    s.head(EVENTS, 0).await;
    s.body("data: 1\n\n").await;
    s.next_message().await;
}

// Something between the entry and the target loses track of their link during a stream. Neither
// end gets an error. A new link from the same local port would stay silent too, so the entry has
// to take a new one; the caller notices a pause.
#[tokio::test]
async fn stream_survives_silence() {
    let keys = keys();
    let mut agent = FakeAgent::start("t1", &keys, two_events);
    let relay = Relay::start(agent.addr).await;
    agent.addr = relay.addr;
    let rig = Rig::start(&keys, &[&agent]).await;

    let mut response = rig.send(GOLD, BILLED, &[]).await;
    let first = response.chunk(LONG).await.expect("a part");
    relay.silence();
    let began = Instant::now();
    let rest = response.collect(1 << 16, LONG).await.expect("whole");
    println!("the pause took {:?}", began.elapsed());

    assert_eq!(first.as_deref(), Some(&b"data: 1\n\n"[..]));
    assert_eq!(&rest[..], b"data: 2\n\n");
    assert_eq!(agent.next().await, Event::Offered);
    assert_eq!(agent.next().await, Event::Started);
    assert_eq!(agent.next().await, Event::Resumed(9));
    assert_eq!(rig.traffic.dump()["ports_replaced"], 1);
}
