//! Orders to a failing engine.

mod common;

use std::time::Duration;

use common::{
    World,
    declared,
    entry::Stream,
    until, //
};
use stair_config::Adapter;
use stair_types::{
    Reason,
    RequestId,
    StoreRevision,
    TierRank,
    Verdict, //
};
use stair_wire::request::{
    Offer,
    Work, //
};

// The engine loads a model and its reply is lost. A second load would be refused or take the memory
// twice; if the model counted as not loaded, another one would overfill the accelerator.
#[tokio::test(flavor = "multi_thread")]
async fn lost_load_reconciled() {
    let mut world = World::new(&["m1", "m2"]).await;
    world.limits.load_timeout_ms = 200;
    world.engine.lose_loads(1);
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;

    let ended = Stream::offer(&link, 1, "m1", false).await.finish().await;

    assert_eq!(ended.body(), r#"{"text":"done"}"#);
    assert_eq!(world.engine.loads(), 1);
    let dump = agent.dump().await.expect("the agent is running");
    assert!(!dump.in_doubt);
    assert_eq!(dump.ledger.taken_mib(), 400);
}

// The engine's process restarts and loses all models. The first request after that is refused as
// not run, and later ones are served after a new load.
#[tokio::test(flavor = "multi_thread")]
async fn engine_restarts() {
    let world = World::new(&["m1"]).await;
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;
    Stream::offer(&link, 1, "m1", false).await.finish().await;

    world.engine.restart();
    let first = Stream::offer(&link, 2, "m1", false).await.finish().await;
    let next = Stream::offer(&link, 3, "m1", false).await.finish().await;

    assert_eq!(first.refusal().verdict, Verdict::NotRun);
    assert_eq!(next.body(), r#"{"text":"done"}"#);
    assert_eq!(world.engine.loads(), 2);
}

// A checkpoint cannot be read, and each load fails. The waiting requests have to be refused as not
// run well before their deadlines.
#[tokio::test(flavor = "multi_thread")]
async fn load_keeps_failing() {
    let world = World::new(&["m1"]).await;
    world.engine.fail_loads(u32::MAX);
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;

    let ended = Stream::offer(&link, 1, "m1", false).await.finish().await;

    let refusal = ended.refusal();
    assert_eq!(refusal.reason, Reason::LoadFailed);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.retry_after_ms > 0);
    assert_eq!(
        agent
            .dump()
            .await
            .expect("the agent is running")
            .ledger
            .taken_mib(),
        0
    );
}

// A newer agent of the target has sent orders to the engine while this one was paused or cut off.
// If this one continued, two agents would send orders to one engine and overfill its memory.
#[tokio::test(flavor = "multi_thread")]
async fn superseded_ends() {
    let world = World::new(&["m1"]).await;
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;
    world.engine.raise_fence(u64::MAX);

    let _stream = Stream::offer(&link, 1, "m1", false).await;
    let (_stop, stopping) = tokio::sync::watch::channel(false);
    let ended = tokio::time::timeout(common::WAIT_TIMEOUT, agent.run_until(stopping)).await;

    assert!(ended.expect("ends in time").is_err());
    assert!(world.engine.models().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn adapter_after_base() {
    let mut world = World::new(&["m1", "m2", "m3"]).await;
    let adapter = Adapter {
        name: "a1".try_into().expect("a name"),
        version: "v1".into(),
        memory_mib: 50,
    };
    world.models[0].adapters.push(adapter);
    world.write_grants();
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;
    let body = br#"{"model":"m1"}"#;
    let offer = Offer {
        id: RequestId(1),
        work: Work::Model {
            model: common::model("m1"),
            adapter: Some("a1".try_into().expect("a name")),
        },
        method: "POST".into(),
        path: "/v1/completions".into(),
        headers: Vec::new(),
        shard_version: StoreRevision::new(0, 0),
        content_type: "application/json".into(),
        rank: TierRank(0),
        time_left_ms: 15_000,
        repeatable: true,
        start_when_ready: true,
        max_tokens: 0,
        body_bytes: body.len() as u32,
        limit: None,
    };

    let ended = Stream::send(&link, offer, body).await.finish().await;

    assert_eq!(ended.body(), r#"{"text":"done"}"#);
    assert_eq!(world.engine.adapters("m1"), 1);
    // The other two models fit only once the base model is unloaded, which follows its adapter.
    for (id, name) in [(2, "m2"), (3, "m3")] {
        let ended = Stream::offer(&link, id, name, false).await.finish().await;
        assert_eq!(ended.body(), r#"{"text":"done"}"#);
    }
    assert!(!world.engine.exceeded_memory());
    assert_eq!(world.engine.models(), ["m2", "m3"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn never_fits() {
    let mut world = World::new(&["m1"]).await;
    world.models = vec![stair_config::Model {
        memory_mib: 5000,
        ..declared("m1")
    }];
    world.write_grants();
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;

    let ended = Stream::offer(&link, 1, "m1", false).await.finish().await;

    assert_eq!(ended.refusal().reason, Reason::LoadFailed);
    assert_eq!(world.engine.loads(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_unloads() {
    let mut world = World::new(&["m1"]).await;
    world.policy.keep.min_idle_ms = 0;
    world.policy.keep.max_idle_ms = 50;
    world.write_grants();
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;
    Stream::offer(&link, 1, "m1", false).await.finish().await;

    until(&agent, |d| d.ledger.taken_mib() == 0).await;
    tokio::time::timeout(Duration::from_secs(5), agent.stop())
        .await
        .expect("stops in time")
        .expect("stops");
}
