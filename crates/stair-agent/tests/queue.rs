//! Which requests wait, and which are refused.

mod common;

use common::{
    World,
    engine::FakeEngine,
    entry::Stream,
    eventually,
    until, //
};
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

fn offer(id: u128, rank: u8, time_left_ms: u32, body: &[u8]) -> Offer {
    Offer {
        id: RequestId(id),
        work: Work::Model {
            model: common::model("m1"),
            adapter: None,
        },
        method: "POST".into(),
        path: "/v1/completions".into(),
        headers: Vec::new(),
        shard_version: StoreRevision::new(0, 0),
        content_type: "application/json".into(),
        rank: TierRank(rank),
        time_left_ms,
        repeatable: false,
        start_when_ready: false,
        max_tokens: 0,
        body_bytes: u32::try_from(body.len()).expect("a short body"),
        limit: None,
    }
}

const BODY: &[u8] = br#"{"model":"m1","n":1}"#;

/// Starts an agent whose engine has one slot, and occupies the slot with a running request.
async fn occupied(world: &mut World) -> (stair_agent::Agent, stair_link::Link, Stream) {
    world.policy.engine_concurrency = 1;
    world.write_grants();
    world.engine.open.send_replace(false);
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;
    let mut running = Stream::offer(&link, 1, "m1", false).await;
    running.start().await;
    let engine: &FakeEngine = &world.engine;
    eventually(|| !engine.runs().is_empty()).await;
    (agent, link, running)
}

// The deadlines of all requests for a model that is not loaded are shorter than its expected load
// time, so each is refused. If a refusal did not trigger a load, the model would never be served.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_triggers_load() {
    let world = World::new(&["m1"]).await;
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;

    let mut first = Stream::send(&link, offer(1, 0, 1_000, BODY), BODY).await;
    let refusal = first.finish().await.refusal();
    until(&agent, |d| d.ledger.taken_mib() == 400 && d.orders == 0).await;
    let mut second = Stream::send(&link, offer(2, 0, 1_000, BODY), BODY).await;

    assert_eq!(refusal.reason, Reason::WouldMissDeadline);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.retry_after_ms > 0);
    assert_eq!(second.finish().await.body(), r#"{"text":"done"}"#);
}

#[tokio::test(flavor = "multi_thread")]
async fn waiting_expires() {
    let mut world = World::new(&["m1"]).await;
    let (_agent, link, _running) = occupied(&mut world).await;

    let mut late = Stream::send(&link, offer(2, 0, 900, BODY), BODY).await;

    let refusal = late.finish().await.refusal();
    assert_eq!(refusal.reason, Reason::DeadlinePassed);
    assert_eq!(refusal.verdict, Verdict::NotRun);
}

#[tokio::test(flavor = "multi_thread")]
async fn better_tier_displaces() {
    let mut world = World::new(&["m1"]).await;
    world.limits.max_waiting_bytes = 30;
    let (agent, link, _running) = occupied(&mut world).await;

    let mut low = Stream::send(&link, offer(2, 1, 15_000, BODY), BODY).await;
    until(&agent, |d| d.waiting == [RequestId(2)]).await;
    let _high = Stream::send(&link, offer(3, 0, 15_000, BODY), BODY).await;

    assert_eq!(low.finish().await.refusal().reason, Reason::Displaced);
    until(&agent, |d| d.waiting == [RequestId(3)]).await;
    let mut full = Stream::send(&link, offer(4, 1, 15_000, BODY), BODY).await;
    assert_eq!(full.finish().await.refusal().reason, Reason::QueueFull);
}
