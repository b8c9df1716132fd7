//! Answers that come whole.

mod support;

use hyper::StatusCode;
use stair_wire::request::Work;
use support::{
    agent::{
        Event,
        FakeAgent, //
    },
    rig::{
        BILLED,
        FREE,
        GOLD,
        Rig,
        keys,
        request, //
    },
};

#[tokio::test]
async fn billed_starts_once() {
    let keys = keys();
    let mut agent = FakeAgent::start("t1", &keys, |s| s.serve("{\"ok\":1}"));
    let rig = Rig::start(&keys, &[&agent]).await;

    let got = rig.post(GOLD, BILLED, &[]).await;

    assert_eq!(got.status, StatusCode::OK);
    assert_eq!(&*got.verdict, "answered");
    assert_eq!(&got.body[..], b"{\"ok\":1}");
    assert_eq!(agent.next().await, Event::Offered);
    assert_eq!(agent.next().await, Event::Started);
    assert_eq!(agent.rest(), []);
}

#[tokio::test]
async fn free_starts_itself() {
    let keys = keys();
    let mut agent = FakeAgent::start("t1", &keys, |s| async move {
        assert!(s.offer().start_when_ready);
        assert_eq!(&s.body[..], FREE.as_bytes());
        s.serve("{}").await;
    });
    let rig = Rig::start(&keys, &[&agent]).await;

    let got = rig.post(GOLD, FREE, &[]).await;

    assert_eq!(got.status, StatusCode::OK);
    assert_eq!(agent.next().await, Event::Offered);
    assert_eq!(agent.rest(), []);
}

#[tokio::test]
async fn adapter_reaches_agent() {
    let keys = keys();
    let agent = FakeAgent::start("t1", &keys, |s| async move {
        let Work::Model { model, adapter } = &s.offer().work else {
            panic!("not for a model");
        };
        let text = format!("{model} {}", adapter.as_ref().expect("an adapter"));
        s.serve(&text).await;
    });
    let rig = Rig::start(&keys, &[&agent]).await;

    let got = rig.post(GOLD, r#"{"model":"billed/short"}"#, &[]).await;

    assert_eq!(&got.body[..], b"billed short");
}

#[tokio::test]
async fn service_gets_path() {
    let keys = keys();
    let agent = FakeAgent::start("t1", &keys, |s| async move {
        let offer = s.offer();
        let text = format!("{} {} {}", offer.method, offer.path, offer.repeatable);
        s.serve(&text).await;
    });
    let rig = Rig::start(&keys, &[&agent]).await;
    let get = request("GET", "/services/lookup/words/a?n=1", GOLD, "", &[]);
    let post = request("POST", "/services/lookup", GOLD, "body", &[]);

    assert_eq!(&rig.call(get).await.body[..], b"GET /words/a?n=1 true");
    assert_eq!(&rig.call(post).await.body[..], b"POST / false");
}

#[tokio::test]
async fn long_response_whole() {
    let keys = keys();
    let text = "0123456789".repeat(100_000);
    let sent = text.clone();
    let agent = FakeAgent::start("t1", &keys, move |s| {
        let text = sent.clone();
        async move { s.serve(&text).await }
    });
    let rig = Rig::start(&keys, &[&agent]).await;

    let got = rig.post(GOLD, BILLED, &[]).await;

    assert_eq!(got.body.len(), text.len());
    assert!(got.body[..] == *text.as_bytes());
}
