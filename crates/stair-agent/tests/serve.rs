//! The way of a request through the agent.

mod common;

use common::{
    World,
    entry::Stream, //
};
use stair_types::{
    Reason,
    Verdict, //
};

#[tokio::test(flavor = "multi_thread")]
async fn cold_plain() {
    let world = World::new(&["m1"]).await;
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;

    let ended = Stream::offer(&link, 1, "m1", false).await.finish().await;

    assert_eq!(ended.body(), r#"{"text":"done"}"#);
    assert_eq!(world.engine.models(), ["m1"]);
    assert_eq!(world.entry.received.lock().expect("lock").load_slots, 1);
    agent.stop().await.expect("stops");
}

#[tokio::test(flavor = "multi_thread")]
async fn warm_streamed() {
    let world = World::new(&["m1"]).await;
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;

    for id in 0..3 {
        let ended = Stream::offer(&link, id, "m1", true).await.finish().await;
        assert_eq!(ended.body(), "data: one\n\ndata: two\n\n");
    }
    assert_eq!(world.engine.loads(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn burst_loads_once() {
    let world = World::new(&["m1"]).await;
    world
        .engine
        .load_time(std::time::Duration::from_millis(200));
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;

    let mut tasks = tokio::task::JoinSet::new();
    for id in 0..20 {
        let link = link.clone();
        tasks.spawn(async move {
            let mut stream = Stream::offer(&link, id, "m1", false).await;
            stream.finish().await.body()
        });
    }

    assert_eq!(tasks.join_all().await.len(), 20);
    assert_eq!(world.engine.loads(), 1);
    assert_eq!(world.engine.runs().len(), 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn ungranted_refused() {
    let world = World::new(&["m1"]).await;
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;

    let ended = Stream::offer(&link, 1, "m2", false).await.finish().await;

    let refusal = ended.refusal();
    assert_eq!(refusal.reason, Reason::NotGranted);
    assert_eq!(refusal.verdict, Verdict::NotRun);
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_never_over() {
    let world = World::new(&["m1", "m2", "m3", "m4"]).await;
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;

    // Two of the four models fit, and all are asked for in turn and at once.
    let mut tasks = tokio::task::JoinSet::new();
    for id in 0..40 {
        let link = link.clone();
        tasks.spawn(async move {
            let name = format!("m{}", id % 4 + 1);
            let mut stream = Stream::offer(&link, id, &name, false).await;
            stream.finish().await.body()
        });
    }

    assert_eq!(tasks.join_all().await.len(), 40);
    assert!(!world.engine.exceeded_memory(), "a load had no room");
    assert!(world.engine.loads() >= 4);
}
