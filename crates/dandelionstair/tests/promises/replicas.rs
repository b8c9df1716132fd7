//! No more replicas of a model are loaded than were decided.

use std::time::Duration;

use stair_platform::{
    Kind,
    VmState, //
};
use stair_standin::engine;

use crate::support::{
    Ask,
    Options,
    World,
    eventually,
    model_mut,
    world::ModelSpec, //
};

/// How a grant is moved away from its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Move {
    /// The model is removed and declared again.
    Removed,
    /// The replicas are lowered from two to one, and raised again.
    Lowered,
    /// The holder's VM is marked as leaving.
    Leaving,
}

fn engines(engines: usize, replicas: u16, engine: engine::Options) -> Options {
    Options {
        engines,
        engine,
        models: vec![ModelSpec::new("m", replicas)],
        ..Options::default()
    }
}

fn fences(checks_fence: bool) -> engine::Options {
    engine::Options {
        checks_fence,
        ..engine::Options::default()
    }
}

// An agent's VM is paused for longer than any limit, and its grant is to go elsewhere meanwhile.
// Its engine holds the model all the time, so another engine that loaded it would make one too
// many, which takes accelerator memory that was paid for by others. When the VM wakes up, the
// model must move and callers be served.
async fn frozen_holder(how: Move, checks_fence: bool) {
    let replicas = if how == Move::Lowered { 2 } else { 1 };
    let opts = engines(usize::from(replicas) + 1, replicas, fences(checks_fence));
    let world = World::start(opts).await;
    world.until_loaded("m").await;
    let held = world.grants("m");
    let holders: Vec<usize> = held
        .iter()
        .map(|g| world.agent_of(g.target.as_str()))
        .collect();
    for i in &holders {
        world.agents[*i].process.freeze();
    }

    move_away(&world, how, holders[0]).await;
    let (left, right) = (world.caller(0), world.caller(1));
    let ask = Ask::completion("m", "moved", 2).within(Duration::from_millis(300));
    world
        .holds_past_limits("the frozen holders keep their grants", async || {
            tokio::join!(left.ask(&ask), right.ask(&ask));
            let now = world.grants("m");
            let same = |g: &stair_state::Grant| held.iter().any(|h| h.id == g.id);
            now.len() == held.len() && now.iter().all(same)
        })
        .await;
    for i in &holders {
        world.agents[*i].process.thaw();
    }

    world.until_settled("m", usize::from(replicas)).await;
    for entry in 0..2 {
        world.until_served(entry, "m").await;
    }
    assert_eq!(world.recorder.max_holders("m"), u32::from(replicas));
}

async fn move_away(world: &World, how: Move, holder: usize) {
    let mut without = world.catalogue();
    match how {
        Move::Removed => without.models.clear(),
        Move::Lowered => model_mut(&mut without, "m").replicas = 1,
        Move::Leaving => {
            let name = &world.agents[holder].name;
            world.platform.set_vm_state(name, VmState::Leaving);
        }
    }
    if how != Move::Leaving {
        world.apply(&without).await;
    }
    eventually("a grant is being revoked", async || {
        world.grants("m").iter().any(|g| g.revoking)
    })
    .await;
    if how != Move::Leaving {
        world.apply(&world.catalogue()).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_and_removed() {
    frozen_holder(Move::Removed, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_and_removed_unfenced() {
    frozen_holder(Move::Removed, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_and_lowered() {
    frozen_holder(Move::Lowered, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_and_lowered_unfenced() {
    frozen_holder(Move::Lowered, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_and_leaving() {
    frozen_holder(Move::Leaving, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_and_leaving_unfenced() {
    frozen_holder(Move::Leaving, false).await;
}

// An agent's process dies in the middle of a load, and its replacement starts at once, for a VM
// that is to leave. The engine goes on loading all the while. If the replacement took it for empty
// and gave the grant back, another engine would load the model beside it.
#[tokio::test(flavor = "multi_thread")]
async fn killed_in_load() {
    let engine = engine::Options {
        load_from_remote: Duration::from_secs(2),
        ..engine::Options::default()
    };
    let mut world = World::start(engines(2, 1, engine)).await;
    let caller = world.caller(0);
    let first = tokio::spawn(async move { caller.ask(&Ask::completion("m", "first", 2)).await });
    let holder = world.holder("m");
    world.recorder.until(|r| !r.changes.is_empty()).await;

    world.agents[holder].process.kill().await;
    let name = world.agents[holder].name.clone();
    world.platform.set_vm_state(&name, VmState::Leaving);
    world.restart_agent(holder).await;

    eventually("the grant has moved", async || {
        world.holder_if_any("m") != Some(holder)
    })
    .await;
    world.until_served(1, "m").await;
    let first = first.await.expect("ends");
    assert!(first.is_answered() || first.status >= 500, "{first:?}");
    assert_eq!(world.recorder.loads("m").len(), 2);
    assert_eq!(world.recorder.max_holders("m"), 1);
}

// The same with an order that is still under way to the engine when its agent dies, and arrives
// when the replacement has read the engine's list and found nothing.
async fn killed_before_load(checks_fence: bool, delay: Duration) {
    let mut world = World::start(engines(2, 1, fences(checks_fence))).await;
    let holder = world.holder("m");
    let agent = &mut world.agents[holder];
    let name = agent.name.clone();
    agent.to_target.delay(delay);
    let read = agent.to_target.read();
    let caller = world.caller(0);
    let first = tokio::spawn(async move { caller.ask(&Ask::completion("m", "first", 2)).await });
    let agent = &mut world.agents[holder];
    agent.to_target.until_read(read + 1).await;

    agent.process.kill().await;
    agent.to_target.until_read(read + 2).await;
    agent.to_target.pass();
    world.platform.set_vm_state(&name, VmState::Leaving);
    world.restart_agent(holder).await;

    eventually("the grant has moved", async || {
        world.holder_if_any("m") != Some(holder)
    })
    .await;
    world.until_served(1, "m").await;
    first.abort();
    world
        .holds_past_limits("one engine holds the model", async || {
            world.recorder.max_holders("m") == 1
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_before_load_fenced() {
    killed_before_load(true, Duration::from_secs(4)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_before_load_unfenced() {
    killed_before_load(false, Duration::from_secs(1)).await;
}

// The platform writes a change of a grant, and its answer never comes: the connection is closed
// or goes silent. The writer must find out what became of it; who takes it for lost could grant
// twice, who takes it for done could leave the model without a holder.
async fn lost_write(silent: bool) {
    let world = World::start(engines(2, 1, engine::Options::default())).await;
    world.until_served(0, "m").await;
    let holder = world.holder("m");
    let faults = world.platform.faults();

    // To revoke, to confirm, and to grant.
    match silent {
        true => faults.hold_answers(3, true),
        false => faults.lose_answers(3, true),
    }
    let name = &world.agents[holder].name;
    world.platform.set_vm_state(name, VmState::Leaving);

    eventually("another target holds the model", async || {
        let grants = world.grants("m");
        let moved = |g: &stair_state::Grant| *g.target.as_str() != **name && !g.revoking;
        grants.len() == 1 && moved(&grants[0])
    })
    .await;
    for entry in 0..2 {
        world.until_served(entry, "m").await;
    }
    assert_eq!(world.recorder.max_holders("m"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn write_answers_lost() {
    lost_write(false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn write_answers_held() {
    lost_write(true).await;
}

// An entry is cut off from the platform, and does not hear that a grant was moved. It tells a
// restarted agent of the old grant and sends it requests; if the agent believed it, two engines
// would hold the model.
#[tokio::test(flavor = "multi_thread")]
async fn stale_entry() {
    let mut world = World::start(engines(2, 1, engine::Options::default())).await;
    for entry in 0..2 {
        world.until_served(entry, "m").await;
    }
    let old = world.holder("m");
    world.entries[0].to_platform.blackhole_all();
    let name = world.agents[old].name.clone();
    world.platform.set_vm_state(&name, VmState::Leaving);
    eventually("the grant has moved", async || {
        world.holder_if_any("m") != Some(old)
    })
    .await;
    world.until_settled("m", 1).await;
    world.until_served(1, "m").await;

    // The restarted agent finds none but the stale entry.
    world.agents[old].process.kill().await;
    world.entries[1].to_link.blackhole_all();
    world.restart_agent(old).await;
    world.platform.set_vm_state(&name, VmState::Live);
    eventually("the agent is linked to the stale entry", async || {
        world.is_linked(&world.entries[0], &name).await
    })
    .await;
    // The first may find out only that the link to the old process is dead.
    let ask = Ask::completion("m", "stale", 2).within(Duration::from_secs(5));
    for _ in 0..3 {
        let stale = world.caller(0).ask(&ask).await;
        assert!(!stale.is_answered(), "{stale:?}");
    }
    world.entries[0].to_platform.pass();
    world.entries[1].to_link.pass();
    world.until_served(0, "m").await;
    assert_eq!(world.recorder.max_holders("m"), 1);
}

// The VM of a holder is taken away. Its models must be served elsewhere within seconds, and what
// it left in the platform be cleared away; but a new VM may bear its name before the platform's
// list shows it, and clearing that one's record away would hide it for good.
#[tokio::test(flavor = "multi_thread")]
async fn vm_gone() {
    let mut world = World::start(engines(2, 1, engine::Options::default())).await;
    world.until_served(0, "m").await;
    let gone = world.holder("m");
    let name = world.agents[gone].name.clone();

    world.agents[gone].process.kill().await;
    world.engines[gone].crash().await.expect("it crashes");
    world.platform.remove_vm(&name);

    eventually("another target is granted", async || {
        world.holder_if_any("m") != Some(gone)
    })
    .await;
    world.until_settled("m", 1).await;
    world.until_served(1, "m").await;
    eventually("the record is deleted", async || {
        world.platform.get(Kind::Incarnation, &name).is_none()
    })
    .await;

    // The new VM of the name starts, and the list shows it late.
    world.engines[gone].restart().expect("it starts");
    world.restart_agent(gone).await;
    world
        .holds_past_limits("the new record stays", async || {
            world.platform.get(Kind::Incarnation, &name).is_some()
        })
        .await;
    world.add_vm(gone);
    let mut two = world.catalogue();
    model_mut(&mut two, "m").replicas = 2;
    world.apply(&two).await;
    world.until_settled("m", 2).await;
    assert!(world.recorder.max_holders("m") <= 2);
}
