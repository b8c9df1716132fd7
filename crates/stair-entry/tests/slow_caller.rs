//! Callers that send or read too slowly, or leave.

mod support;

use stair_config::EntryLimits;
use stair_standin::memory::MemoryStore;
use support::{
    agent::{
        Event,
        FakeAgent,
        Session, //
    },
    in_time,
    rig::{
        BILLED,
        GOLD,
        Rig,
        keys, //
    },
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
};

fn limits() -> EntryLimits {
    EntryLimits {
        receive_timeout_ms: 200,
        write_stall_ms: 200,
        ..EntryLimits::default()
    }
}

async fn connect(rig: &Rig, body: &str, announced: usize) -> TcpStream {
    let mut stream = TcpStream::connect(rig.addr).await.expect("connects");
    let text = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {GOLD}\r\n\
         content-length: {announced}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).await.expect("writes");
    stream
}

// A caller announces a body and does not send it. Its place and memory would be held for ever.
#[tokio::test]
async fn slow_sender_disconnected() {
    let keys = keys();
    let agent = FakeAgent::start("t1", &keys, |s| s.serve("{}"));
    let rig = Rig::with(&keys, &[&agent], limits(), MemoryStore::default()).await;

    let mut stream = connect(&rig, "{", 100).await;
    let mut text = String::new();
    let read = in_time(stream.read_to_string(&mut text)).await;

    read.expect("the entry closes the connection");
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
    assert!(text.contains("not-run"), "{text}");
    in_time(rig.traffic.drained()).await;
}

// A caller stops reading in the middle of a long answer. The run would block the target's place
// for as long as the caller likes.
#[tokio::test]
async fn unread_response_cancelled() {
    let keys = keys();
    let mut agent = FakeAgent::start("t1", &keys, |mut s: Session| async move {
        s.queued().await;
        assert!(s.ready().await);
        s.head("text/event-stream", 0).await;
        let part = "x".repeat(1 << 20);
        for _ in 0..64 {
            s.body(&part).await;
        }
        s.next_message().await;
    });
    let rig = Rig::with(&keys, &[&agent], limits(), MemoryStore::default()).await;

    let _stream = connect(&rig, BILLED, BILLED.len()).await;

    assert_eq!(agent.next().await, Event::Offered);
    assert_eq!(agent.next().await, Event::Started);
    assert_eq!(agent.next().await, Event::Cancelled);
    in_time(rig.traffic.drained()).await;
}

// A caller gives up while its request waits in a queue. Running it later would bill work that
// nobody reads.
#[tokio::test]
async fn waiting_caller_disconnects() {
    let keys = keys();
    let mut agent = FakeAgent::start("t1", &keys, Session::hold);
    let rig = Rig::start(&keys, &[&agent]).await;

    let stream = connect(&rig, BILLED, BILLED.len()).await;
    assert_eq!(agent.next().await, Event::Offered);
    drop(stream);

    assert_eq!(agent.next().await, Event::Cancelled);
    in_time(rig.traffic.drained()).await;
}
