//! Taking a request up again after its link broke.

mod support;

use std::sync::{
    Arc,
    atomic::{
        AtomicBool,
        Ordering, //
    }, //
};

use stair_types::{
    Reason,
    Refusal, //
};
use support::{
    LONG,
    agent::{
        Event,
        FakeAgent,
        Session, //
    },
    rig::{
        BILLED,
        FREE,
        GOLD,
        Rig,
        keys, //
    },
};

use tokio::sync::Notify;

const EVENTS: &str = "text/event-stream";

async fn break_off(mut s: Session) {
    s.queued().await;
    if !s.offer().start_when_ready {
        assert!(s.ready().await);
    }
    s.link.close();
}

// A link goes silent in the middle of a stream while the run goes on at the target. The caller
// notices a pause, and gets every byte once.
#[tokio::test]
async fn stream_resumes() {
    let keys = keys();
    let read = Arc::new(Notify::new());
    let was_read = read.clone();
    let mut agent = FakeAgent::start("t1", &keys, move |s| stream(s, was_read.clone()));
    let rig = Rig::start(&keys, &[&agent]).await;

    let mut response = rig.send(GOLD, BILLED, &[]).await;
    let first = response.chunk(LONG).await.expect("a part");
    read.notify_one();
    let rest = response.collect(1 << 16, LONG).await.expect("whole");

    assert_eq!(first.as_deref(), Some(&b"data: 1\n\n"[..]));
    assert_eq!(&rest[..], b"data: 2\n\n");
    assert_eq!(agent.next().await, Event::Offered);
    assert_eq!(agent.next().await, Event::Started);
    assert_eq!(agent.next().await, Event::Resumed(9));
}

/// Breaks the link once the caller has read the first event.
async fn stream(mut s: Session, was_read: Arc<Notify>) {
    if s.is_resume() {
        s.head(EVENTS, 9).await;
        s.body("data: 2\n\n").await;
        return s.end(18).await;
    }
    s.queued().await;
    assert!(s.ready().await);
    s.head(EVENTS, 0).await;
    s.body("data: 1\n\n").await;
    was_read.notified().await;
    s.link.close();
}

// The link breaks just after the start was sent, and the start was lost with it. The agent says
// that the work never ran, so another target may take it although it is billed.
#[tokio::test]
async fn lost_start_moves() {
    let keys = keys();
    let first = Arc::new(AtomicBool::new(true));
    let script = move |mut s: Session| {
        let first = first.clone();
        async move {
            if s.is_resume() {
                let refusal = Refusal::not_run(Reason::LinkLost, 0, "never started");
                return s.refuse(refusal).await;
            }
            match first.swap(false, Ordering::Relaxed) {
                true => break_off(s).await,
                false => s.serve("{}").await,
            }
        }
    };
    let a = FakeAgent::start("t1", &keys, script.clone());
    let b = FakeAgent::start("t2", &keys, script);
    let rig = Rig::start(&keys, &[&a, &b]).await;

    let got = rig.post(GOLD, BILLED, &[]).await;

    assert_eq!(got.status.as_u16(), 200);
    assert_eq!(&*got.verdict, "answered");
}

// The target's VM is replaced during a run. Its next agent knows nothing of it. Billed work must
// not run again elsewhere: the caller is told that it may have run.
#[tokio::test]
async fn lost_run_stays() {
    let keys = keys();
    let script = |mut s: Session| async move {
        if s.is_resume() {
            let refusal = Refusal::may_have_run(Reason::LinkLost, 0, "unknown request");
            return s.refuse(refusal).await;
        }
        break_off(s).await;
    };
    let mut a = FakeAgent::start("t1", &keys, script);
    let mut b = FakeAgent::start("t2", &keys, script);
    let rig = Rig::start(&keys, &[&a, &b]).await;

    let got = rig.post(GOLD, BILLED, &[]).await;

    assert_eq!(got.status.as_u16(), 502);
    assert_eq!(&*got.verdict, "may-have-run");
    let mut events = a.rest();
    events.extend(b.rest());
    let starts = events.iter().filter(|e| **e == Event::Started).count();
    assert_eq!(starts, 1, "{events:?}");
}

// The same loss, but the work may run twice: the caller gets the answer of another target. When
// that one refuses, the verdict stays in doubt because of the first.
#[tokio::test]
async fn free_run_repeats() {
    let keys = keys();
    let first = Arc::new(AtomicBool::new(true));
    let script = move |mut s: Session| {
        let first = first.clone();
        async move {
            if s.is_resume() {
                let refusal = Refusal::may_have_run(Reason::LinkLost, 0, "unknown request");
                return s.refuse(refusal).await;
            }
            match first.swap(false, Ordering::Relaxed) {
                true => break_off(s).await,
                false => {
                    let refusal = Refusal::not_run(Reason::QueueFull, 500, "full");
                    s.refuse(refusal).await;
                }
            }
        }
    };
    let a = FakeAgent::start("t1", &keys, script.clone());
    let b = FakeAgent::start("t2", &keys, script);
    let rig = Rig::start(&keys, &[&a, &b]).await;

    let got = rig.post(GOLD, FREE, &[]).await;

    assert_eq!(&*got.verdict, "may-have-run");
}
