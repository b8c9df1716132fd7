//! Idempotency keys: one run a key.

mod support;

use std::sync::Arc;

use stair_config::EntryLimits;
use stair_platform::Kind;
use stair_standin::memory::{
    Fault,
    MemoryStore, //
};
use stair_types::{
    Reason,
    Refusal, //
};
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

const KEY: &[(&str, &str)] = &[("idempotency-key", "draft-1")];

// A chamber's connection goes silent during a conflict screen, and it sends the request again to
// another entry with the same key. The screen must run and be billed once.
#[tokio::test]
async fn repeat_at_another() {
    let keys = keys();
    let mut agent = FakeAgent::start("t1", &keys, |s| s.serve("{}"));
    let store = MemoryStore::default();
    let limits = EntryLimits::default();
    let one = Rig::with(&keys, &[&agent], limits.clone(), store.clone()).await;
    let other = Rig::with(&keys, &[&agent], limits, store).await;

    let first = one.post(GOLD, BILLED, KEY).await;
    let second = other.post(GOLD, BILLED, KEY).await;

    assert_eq!(first.status.as_u16(), 200);
    assert_eq!(second.status.as_u16(), 409);
    assert_eq!(second.code(), "duplicate");
    assert_eq!(&*second.verdict, "may-have-run");
    let mut starts = 0;
    for _ in 0..4 {
        starts += usize::from(agent.next().await == Event::Started);
    }
    assert_eq!(starts, 1);
}

// The platform is down when the key has to be claimed. Running all the same could bill twice; the
// caller is told that nothing ran and when to come back, and the agent's place is freed.
#[tokio::test]
async fn outage_refuses() {
    let keys = keys();
    let mut agent = FakeAgent::start("t1", &keys, |s| s.serve("{}"));
    let rig = Rig::start(&keys, &[&agent]).await;
    rig.store.set_down(true);

    let got = rig.post(GOLD, BILLED, KEY).await;

    assert_eq!(got.status.as_u16(), 503);
    assert_eq!(got.code(), "platform-down");
    assert_eq!(&*got.verdict, "not-run");
    assert!(got.retry_after.is_some());
    assert_eq!(agent.next().await, Event::Offered);
    assert_eq!(agent.next().await, Event::Cancelled);
}

// The platform hangs. The caller must hear soon that nothing ran, and not wait for its deadline
// with a place at the target held for it.
#[tokio::test]
async fn stuck_platform_refuses() {
    let keys = keys();
    let mut agent = FakeAgent::start("t1", &keys, |s| s.serve("{}"));
    let rig = Rig::start(&keys, &[&agent]).await;
    rig.store.set_stuck(true);

    let got = rig.post(GOLD, BILLED, KEY).await;

    assert_eq!(got.code(), "platform-down");
    assert_eq!(&*got.verdict, "not-run");
    assert_eq!(agent.next().await, Event::Offered);
    assert_eq!(agent.next().await, Event::Cancelled);
}

// The platform stores the claim and its answer is lost. Taking that for a failure would refuse a
// caller whose key is then used up without a run.
#[tokio::test]
async fn lost_reply_resolved() {
    let keys = keys();
    let agent = FakeAgent::start("t1", &keys, |s| s.serve("{}"));
    let rig = Rig::start(&keys, &[&agent]).await;
    rig.store.fail_write(Kind::Claims, Fault::LostAfter);

    let got = rig.post(GOLD, BILLED, KEY).await;

    assert_eq!(got.status.as_u16(), 200);
    assert_eq!(rig.claims(), 1);
}

// The agent refuses after the key was claimed, and says that nothing ran. The caller's next try
// with the same key must not be taken for a duplicate.
#[tokio::test]
async fn unused_claim_returned() {
    let keys = keys();
    let agent = FakeAgent::start("t1", &keys, |mut s: Session| async move {
        s.queued().await;
        assert!(s.ready().await);
        let refusal = Refusal::not_run(Reason::QueueFull, 500, "too late");
        s.refuse(refusal).await;
    });
    let rig = Rig::start(&keys, &[&agent]).await;

    let got = rig.post(GOLD, BILLED, KEY).await;

    assert_eq!(&*got.verdict, "not-run");
    in_time(async {
        while rig.claims() > 0 {
            tokio::task::yield_now().await;
        }
    })
    .await;
}

// Many drafts arrive at once, each with its key. One write a key would use up the platform's rate
// that all entries share.
#[tokio::test]
async fn claims_share_writes() {
    let keys = keys();
    let agent = FakeAgent::start("t1", &keys, |s| s.serve("{}"));
    let rig = Arc::new(Rig::start(&keys, &[&agent]).await);
    rig.store.set_writes_yield();

    let mut tasks = tokio::task::JoinSet::new();
    for i in 0..400 {
        let rig = rig.clone();
        tasks.spawn(async move {
            let key = format!("k{i}");
            let headers = [("idempotency-key", key.as_str())];
            rig.post(GOLD, BILLED, &headers).await.status.as_u16()
        });
    }
    let all = tasks.join_all().await;

    assert!(all.iter().all(|s| *s == 200), "{all:?}");
    assert_eq!(rig.claims(), 400);
    let writes = rig.store.puts(Kind::Claims);
    assert!(writes < 400, "400 claims took {writes} writes");
}
