//! Answers that come as server-sent events.

mod support;

use stair_types::{
    Reason,
    Refusal, //
};
use support::{
    LONG,
    agent::{
        Event,
        FakeAgent, //
    },
    rig::{
        BILLED,
        GOLD,
        Rig,
        keys, //
    },
};
use tokio::sync::mpsc;

const EVENTS: &str = "text/event-stream";

#[tokio::test]
async fn events_forwarded_singly() {
    let keys = keys();
    let (release, released) = mpsc::channel::<()>(1);
    let released = std::sync::Arc::new(tokio::sync::Mutex::new(released));
    let agent = FakeAgent::start("t1", &keys, move |mut s| {
        let released = released.clone();
        async move {
            s.queued().await;
            assert!(s.ready().await);
            s.head(EVENTS, 0).await;
            s.body("data: 1\n\n").await;
            released.lock().await.recv().await;
            s.body("data: 2\n\n").await;
            s.end(18).await;
        }
    });
    let rig = Rig::start(&keys, &[&agent]).await;

    let mut response = rig.send(GOLD, BILLED, &[]).await;
    let first = response.chunk(LONG).await.expect("a part");
    release.send(()).await.expect("the agent waits");
    let second = response.chunk(LONG).await.expect("a part");

    assert_eq!(first.as_deref(), Some(&b"data: 1\n\n"[..]));
    assert_eq!(second.as_deref(), Some(&b"data: 2\n\n"[..]));
    assert!(response.chunk(LONG).await.expect("an end").is_none());
}

// The engine dies in the middle of a stream. The reader of a half answer must not take it for a
// whole one: it gets an event that says what happened, and the connection breaks off.
#[tokio::test]
async fn failed_stream_truncated() {
    let keys = keys();
    let agent = FakeAgent::start("t1", &keys, |mut s| async move {
        s.queued().await;
        assert!(s.ready().await);
        s.head(EVENTS, 0).await;
        s.body("data: 1\n\n").await;
        let refusal = Refusal::may_have_run(Reason::TargetFailed, 0, "the engine died");
        s.refuse(refusal).await;
    });
    let rig = Rig::start(&keys, &[&agent]).await;

    let mut response = rig.send(GOLD, BILLED, &[]).await;
    let mut text = Vec::new();
    let ended = loop {
        match response.chunk(LONG).await {
            Ok(Some(part)) => text.extend_from_slice(&part),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };

    let text = String::from_utf8(text).expect("text");
    assert!(!ended, "a cut stream looks complete: {text}");
    assert!(text.contains("event: error"), "{text}");
    assert!(text.contains("may-have-run"), "{text}");
}

// The agent says that the answer has more bytes than came. A caller who got the rest would take a
// truncated draft for a whole one.
#[tokio::test]
async fn short_response_refused() {
    let keys = keys();
    let agent = FakeAgent::start("t1", &keys, |mut s| async move {
        s.queued().await;
        assert!(s.ready().await);
        s.head("application/json", 0).await;
        s.body("{}").await;
        s.end(3).await;
    });
    let rig = Rig::start(&keys, &[&agent]).await;

    let got = rig.post(GOLD, BILLED, &[]).await;

    assert_eq!(got.status.as_u16(), 502);
    assert_eq!(&*got.verdict, "may-have-run");
}

// A reader closes the page in the middle of an answer. The run would go on for nobody and keep
// others waiting.
#[tokio::test]
async fn disconnect_cancels() {
    let keys = keys();
    let mut agent = FakeAgent::start("t1", &keys, |mut s| async move {
        s.queued().await;
        assert!(s.ready().await);
        s.head(EVENTS, 0).await;
        s.body("data: 1\n\n").await;
        s.next_message().await;
    });
    let rig = Rig::start(&keys, &[&agent]).await;

    let mut response = rig.send(GOLD, BILLED, &[]).await;
    response.chunk(LONG).await.expect("a part");
    drop(response);

    assert_eq!(agent.next().await, Event::Offered);
    assert_eq!(agent.next().await, Event::Started);
    assert_eq!(agent.next().await, Event::Cancelled);
}
