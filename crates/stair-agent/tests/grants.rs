//! Grants are given back only when the engine surely holds the model no longer.

mod common;

use common::{
    World,
    entry::Stream,
    eventually,
    until, //
};
use stair_types::{
    GrantId,
    Reason, //
};
use stair_wire::control::AgentControl;

fn releases(msg: &AgentControl, id: u64) -> bool {
    match msg {
        AgentControl::Released { grants } => grants.iter().any(|(_, g)| *g == GrantId(id)),
        _ => false,
    }
}

// The grant of a model is taken back while a request runs on it. If the agent said that it was
// free before the engine has unloaded it, another target would load it meanwhile and the model
// would be there more often than was decided.
#[tokio::test(flavor = "multi_thread")]
async fn revoke_unloads_first() {
    let mut world = World::new(&["m1"]).await;
    world.engine.open.send_replace(false);
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;
    let mut running = Stream::offer(&link, 1, "m1", false).await;
    running.start().await;
    eventually(|| !world.engine.runs().is_empty()).await;

    world.grants[0].revoking = true;
    world.write_grants();
    until(&agent, |d| {
        let mut grants = d.shards.iter().flat_map(|s| &s.grants);
        grants.any(|g| g.revoking)
    })
    .await;
    let refused = Stream::offer(&link, 2, "m1", false).await.finish().await;
    assert_eq!(refused.refusal().reason, Reason::NotGranted);
    assert!(
        !world.entry.has_received(|s| releases(s, 1)),
        "released too early"
    );
    assert_eq!(world.engine.models(), ["m1"]);

    world.engine.open.send_replace(true);

    assert_eq!(running.finish().await.body(), r#"{"text":"done"}"#);
    eventually(|| world.entry.has_received(|s| releases(s, 1))).await;
    assert!(world.engine.models().is_empty());
}

// An agent gives a grant back, the platform removes it, and the agent's process is started again.
// An entry that lags still lists the old grant. Without the versions read at the start the new
// process would take it and load a model that another target holds by now.
#[tokio::test(flavor = "multi_thread")]
async fn stale_after_restart() {
    let mut world = World::new(&["m1"]).await;
    let stale = world.assignment();
    world.grants.clear();
    world.write_grants();
    world.entry.assign(stale);

    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;

    let refused = Stream::offer(&link, 1, "m1", false).await.finish().await;
    assert_eq!(refused.refusal().reason, Reason::NotGranted);
    assert_eq!(world.engine.loads(), 0);
}

// Two agents' worth of history: the platform said that the grant is revoking while no agent ran.
// The engine still holds the model from before.
#[tokio::test(flavor = "multi_thread")]
async fn revoked_while_down() {
    let mut world = World::new(&["m1"]).await;
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;
    Stream::offer(&link, 1, "m1", false).await.finish().await;
    agent.stop().await.expect("stops");
    assert_eq!(world.engine.models(), ["m1"]);

    world.grants[0].revoking = true;
    world.write_grants();
    let _agent = world.agent().await;

    eventually(|| world.entry.has_received(|s| releases(s, 1))).await;
    assert!(world.engine.models().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn new_version_replaces() {
    let mut world = World::new(&["m1"]).await;
    let agent = world.agent().await;
    let link = world.entry.link(&agent).await;
    Stream::offer(&link, 1, "m1", false).await.finish().await;

    world.config = 2;
    world.models[0].version = "v2".into();
    world.write_grants();
    until(&agent, |d| d.config.0 == 2).await;
    let ended = Stream::offer(&link, 2, "m1", false).await.finish().await;

    assert_eq!(ended.body(), r#"{"text":"done"}"#);
    assert_eq!(world.engine.version("m1").as_deref(), Some("v2"));
    let in_force =
        |s: &AgentControl| matches!(s, AgentControl::InForce { config } if config.0 == 2);
    eventually(|| world.entry.has_received(in_force)).await;
}
