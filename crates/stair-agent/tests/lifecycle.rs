//! Starts and stops of agents.

mod common;

use common::{
    World,
    entry::Stream,
    eventually,
    until, //
};
use stair_agent::Agent;
use stair_platform::{
    IncarnationRecord,
    Kind, //
};
use stair_standin::memory::Fault;
use stair_types::{
    FencingToken,
    Reason,
    Verdict, //
};
use stair_wire::control::AgentControl;

fn record(world: &World) -> IncarnationRecord {
    let object = world.store.object(Kind::Incarnation, "t1");
    let value = object.expect("the agent registered").value;
    serde_json::from_value(value).expect("a record")
}

#[tokio::test(flavor = "multi_thread")]
async fn raises_incarnation() {
    let world = World::new(&["m1"]).await;
    let first = world.agent().await;
    let token = first.incarnation();
    first.stop().await.expect("stops");

    let second = world.agent().await;

    assert_eq!(token, FencingToken(1));
    assert_eq!(second.incarnation(), FencingToken(2));
    assert_eq!(record(&world).link, second.link_addr());
    assert_eq!(second.linked().len(), 1);
}

// The platform writes the new incarnation and its answer is lost, after it was down for a while.
// An agent that wrote again would come to another number than entries have read; one that gave up
// would leave its target unused.
#[tokio::test(flavor = "multi_thread")]
async fn lost_put_reconciled() {
    let world = World::new(&["m1"]).await;
    world.store.refuse(3);
    world.store.fail_write(Kind::Incarnation, Fault::LostAfter);

    let agent = world.agent().await;

    assert_eq!(agent.incarnation(), FencingToken(1));
    assert_eq!(record(&world).token, FencingToken(1));
}

// The operator starts a second agent of a target by mistake, or a supervisor restarts one that
// is merely paused. Both would order the engine.
#[tokio::test(flavor = "multi_thread")]
async fn second_agent_refused() {
    let world = World::new(&["m1"]).await;
    let first = world.agent().await;
    let keys = world.authority.issue().expect("keys can be made");

    let second = Agent::start(world.settings(), keys, world.store.clone()).await;

    assert!(second.is_err(), "a second agent started");
    assert_eq!(record(&world).token, first.incarnation());
}

// A VM is to be taken away while requests run and wait there. What runs has to be finished, and
// what waits has to go elsewhere at once, with the certainty that it has not run.
#[tokio::test(flavor = "multi_thread")]
async fn stop_finishes_running() {
    let mut world = World::new(&["m1"]).await;
    world.policy.engine_concurrency = 1;
    world.write_grants();
    world.engine.open.send_replace(false);
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;
    let mut running = Stream::offer(&link, 1, "m1", false).await;
    running.start().await;
    eventually(|| !world.engine.runs().is_empty()).await;
    let mut waiting = Stream::offer(&link, 2, "m1", false).await;
    until(&agent, |d| d.waiting.len() == 1).await;

    let stopped = tokio::spawn(agent.stop());
    let refusal = waiting.finish().await.refusal();
    let late = Stream::offer(&link, 3, "m1", false).await.finish().await;
    assert!(!stopped.is_finished(), "the running request was cut");
    world.engine.open.send_replace(true);

    assert_eq!(refusal.reason, Reason::Leaving);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(late.refusal().reason, Reason::Leaving);
    assert_eq!(running.finish().await.body(), r#"{"text":"done"}"#);
    stopped.await.expect("ends").expect("stops");
    let leaving = |s: &AgentControl| *s == AgentControl::Leaving;
    assert!(world.entry.has_received(leaving));
}

// An idle agent stops. Nothing holds it up, and its entries have to hear that it leaves, or they
// offer it requests until the platform's list says so.
#[tokio::test(flavor = "multi_thread")]
async fn idle_announces_drain() {
    let world = World::new(&["m1"]).await;
    let agent = world.agent().await;
    eventually(|| !agent.linked().is_empty()).await;

    agent.stop().await.expect("stops");

    let leaving = |s: &AgentControl| *s == AgentControl::Leaving;
    eventually(|| world.entry.has_received(leaving)).await;
}
