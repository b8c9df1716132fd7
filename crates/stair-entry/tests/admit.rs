//! Bounds on what is in the entry.

mod support;

use std::sync::Arc;

use stair_config::EntryLimits;
use stair_standin::memory::MemoryStore;
use support::{
    agent::{
        Event,
        FakeAgent,
        Session, //
    },
    rig::{
        BILLED,
        BRONZE,
        GOLD,
        Rig,
        keys, //
    },
};

// Callers of the lower tier fill the entry while the targets are full. A caller of the better tier
// must still get in; one more of the lower tier is told at once to come back.
#[tokio::test]
async fn better_tier_admitted() {
    let keys = keys();
    let mut agent = FakeAgent::start("t1", &keys, Session::hold);
    let limits = EntryLimits {
        max_requests: 8,
        ..EntryLimits::default()
    };
    let rig = Rig::with(&keys, &[&agent], limits, MemoryStore::default()).await;
    let rig = Arc::new(rig);
    for _ in 0..6 {
        let rig = rig.clone();
        tokio::spawn(async move { rig.post(BRONZE, BILLED, &[]).await });
        assert_eq!(agent.next().await, Event::Offered);
    }

    let refused = rig.post(BRONZE, BILLED, &[]).await;
    assert_eq!(refused.status.as_u16(), 429);
    assert_eq!(refused.code(), "queue-full");
    assert_eq!(&*refused.verdict, "not-run");
    assert!(refused.retry_after.is_some());

    let better = rig.clone();
    tokio::spawn(async move { better.post(GOLD, BILLED, &[]).await });
    assert_eq!(agent.next().await, Event::Offered);
    let dump = rig.traffic.dump();
    assert_eq!(dump["in_entry"]["requests"], 7);
}

// Bodies of waiting requests fill the memory set aside for them. One more would bring the process
// down with all its requests.
#[tokio::test]
async fn bytes_are_bounded() {
    let keys = keys();
    let mut agent = FakeAgent::start("t1", &keys, Session::hold);
    let limits = EntryLimits {
        max_waiting_bytes: 100,
        ..EntryLimits::default()
    };
    let rig = Rig::with(&keys, &[&agent], limits, MemoryStore::default()).await;
    let rig = Arc::new(rig);
    for _ in 0..3 {
        let rig = rig.clone();
        tokio::spawn(async move { rig.post(GOLD, BILLED, &[]).await });
        assert_eq!(agent.next().await, Event::Offered);
    }

    let refused = rig.post(GOLD, BILLED, &[]).await;

    assert_eq!(refused.code(), "queue-full");
}
