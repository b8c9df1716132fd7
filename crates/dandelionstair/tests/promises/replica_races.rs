//! Entries that change the same grants at once, lag, or die on the way.

use std::time::{
    Duration,
    Instant, //
};

use stair_platform::VmState;
use stair_standin::engine;
use stair_types::{
    ModelName,
    rendezvous, //
};

use crate::support::{
    Ask,
    Options,
    World,
    eventually,
    model_mut,
    world::ModelSpec, //
};

/// Slower than any reaction of an entry, so that its calls overlap with what others do.
const SLOW_CALL: Duration = Duration::from_millis(400);

fn options(entries: usize, engines: usize, models: &[&str]) -> Options {
    Options {
        entries,
        engines,
        engine: engine::Options {
            checks_fence: false,
            ..engine::Options::default()
        },
        models: models.iter().map(|m| ModelSpec::new(m, 1)).collect(),
        ..Options::default()
    }
}

/// Returns the entry that is first for a model's grants, as all entries see it.
fn first_for(world: &World, model: &str) -> usize {
    let model = ModelName::try_from(model).expect("a good name");
    let key = format!("grants-{}", stair_state::grants::shard_of(&model));
    let names = world.entries.iter().map(|e| &*e.name);
    rendezvous::ranked(&key, names)[0]
}

// Operators remove and declare models in quick succession and VMs come and go, while the entries'
// lists of VMs differ, so that two of them are first for the same grants and propose at once from
// different states. If both were believed, a model would get both their grants.
#[tokio::test(flavor = "multi_thread")]
async fn two_proposers() {
    let models = ["a", "b", "c", "d"];
    let world = World::start(options(3, 4, &models)).await;
    world.entries[1].to_platform.delay(SLOW_CALL);
    // The others believe now that they are first where this one believes so, too.
    world.platform.remove_vm("entry-0");
    let mut asks = tokio::task::JoinSet::new();
    for (i, model) in models.into_iter().cycle().take(12).enumerate() {
        let caller = world.caller(i % 3);
        let ask = Ask::completion(model, "busy", 2).within(Duration::from_secs(2));
        asks.spawn(async move {
            loop {
                caller.ask(&ask).await;
            }
        });
    }

    for round in 0..16 {
        let vm = format!("engine-{}", round % 4);
        let removed = models[round % 3];
        let mut without = world.catalogue();
        without.models.retain(|m| m.name.as_str() != removed);
        world.platform.set_vm_state(&vm, VmState::Leaving);
        world.apply(&without).await;
        for model in models.into_iter().filter(|m| *m != removed) {
            eventually("a model moves off the leaving VM", async || {
                let grants = world.grants(model);
                grants
                    .iter()
                    .any(|g| *g.target.as_str() != *vm && !g.revoking)
            })
            .await;
        }
        world.apply(&world.catalogue()).await;
        world.platform.set_vm_state(&vm, VmState::Live);
    }

    for model in models {
        world.until_settled(model, 1).await;
        world.until_served(0, model).await;
        assert_eq!(world.recorder.max_holders(model), 1, "{model}");
    }
    asks.shutdown().await;
}

// An entry dies after its change of a grant took effect and before it heard so. Another has to go
// on from what the platform holds, within seconds, or the model has no holder until an operator
// notices.
#[tokio::test(flavor = "multi_thread")]
async fn proposer_killed() {
    let mut world = World::start(options(2, 2, &["m"])).await;
    world.until_served(0, "m").await;
    let first = first_for(&world, "m");
    let other = 1 - first;
    let holder = world.holder("m");
    world.platform.faults().hold_answers(1, true);

    let name = world.agents[holder].name.clone();
    world.platform.set_vm_state(&name, VmState::Leaving);
    eventually("the change took effect", async || {
        world.grants("m").iter().any(|g| g.revoking)
    })
    .await;
    world.entries[first].process.kill().await;
    let killed = Instant::now();

    eventually("the other entry grants", async || {
        world.holder_if_any("m") != Some(holder)
    })
    .await;
    world.until_settled("m", 1).await;
    let granted = killed.elapsed();
    world.until_served(other, "m").await;
    println!(
        "granted {granted:?} and served {:?} after the kill",
        killed.elapsed()
    );
    assert!(granted < Duration::from_secs(10), "{granted:?}");
    assert_eq!(world.recorder.max_holders("m"), 1);
}

// An entry was cut off for so long that it has to list everything again, and the platform answers
// it slowly. It learns of a grant before it learns of the new VM that holds it; who takes that VM
// for gone removes the grant, and a second engine loads the model beside the first.
#[tokio::test(flavor = "multi_thread")]
async fn relisting_entry() {
    let mut world = World::start(options(2, 1, &["m"])).await;
    let first = first_for(&world, "m");
    world.until_served(0, "m").await;
    let lagging = &world.entries[first].to_platform;
    lagging.blackhole_all();
    lagging.cut();
    world.add_engine().await;
    move_to(&world, 1).await;
    world.until_served(1 - first, "m").await;
    world.platform.set_vm_state("engine-0", VmState::Live);
    world.platform.faults().forget_history();

    let lagging = &world.entries[first].to_platform;
    lagging.pass();
    lagging.delay(SLOW_CALL);
    let ask = Ask::completion("m", "relisted", 2).within(Duration::from_millis(300));
    let caller = world.caller(first);
    world
        .holds_past_limits("the new VM keeps its grant", async || {
            caller.ask(&ask).await;
            world.holder_if_any("m") == Some(1)
        })
        .await;

    world.until_served(first, "m").await;
    assert_eq!(world.recorder.max_holders("m"), 1);
}

async fn move_to(world: &World, agent: usize) {
    let old = &world.agents[1 - agent].name;
    world.platform.set_vm_state(old, VmState::Leaving);
    eventually("the grant has moved", async || {
        world.holder_if_any("m") == Some(agent)
    })
    .await;
    world.until_settled("m", 1).await;
}

// The connection over which an entry hears of changes has gone silent, while its other calls to
// the platform work. An agent gives a grant back through it, and it reads a shard that is newer
// than the list of VMs it has; a grant of a VM that it has not heard of must not look like one of
// a VM that is gone.
#[tokio::test(flavor = "multi_thread")]
async fn silent_watch() {
    // Both models are in the same shard.
    let pair = same_shard();
    let mut world = World::start(options(2, 1, &[&pair.0, &pair.1])).await;
    world.until_served(0, &pair.0).await;
    let first = first_for(&world, &pair.0);
    world.entries[first].to_platform.blackhole_existing();
    world.add_engine().await;
    let mut two = world.catalogue();
    model_mut(&mut two, &pair.0).replicas = 2;
    world.apply(&two).await;
    world.until_settled(&pair.0, 2).await;
    world.until_loaded(&pair.0).await;
    let granted = world.grants(&pair.0);

    // The first engine gives the other model back, and only this entry can write that.
    let other = &world.agents[world.holder(&pair.1)].process;
    other.freeze();
    let mut without = two.clone();
    without.models.retain(|m| *m.name.as_str() != *pair.1);
    world.apply(&without).await;
    eventually("the other model is being revoked", async || {
        world.grants(&pair.1).iter().any(|g| g.revoking)
    })
    .await;
    world.entries[1 - first].to_platform.blackhole_all();
    other.thaw();
    eventually("the other model is given back", async || {
        world.grants(&pair.1).is_empty()
    })
    .await;

    world
        .holds_past_limits("the new VM keeps its grant", async || {
            let now = world.grants(&pair.0);
            now.iter().zip(&granted).all(|(a, b)| a.id == b.id) && now.len() == 2
        })
        .await;
    assert_eq!(world.recorder.max_holders(&pair.0), 2);
}

fn same_shard() -> (String, String) {
    let shard = |name: &str| {
        let name = ModelName::try_from(name).expect("a good name");
        stair_state::grants::shard_of(&name)
    };
    let mut names = (0..).map(|i| format!("m{i}"));
    let second = names.find(|n| shard(n) == shard("m"));
    ("m".to_owned(), second.expect("shards are few"))
}

// A VM is replaced by a new one of the same name. What the old agent said at its end, that it is
// leaving, must not be held against the new one, which would get no grant and no request for good.
#[tokio::test(flavor = "multi_thread")]
async fn vm_name_again() {
    let mut world = World::start(options(2, 1, &["m"])).await;
    world.until_served(0, "m").await;
    world.agents[0].process.terminate();
    world.agents[0].process.ended().await;
    world.engines[0].crash().await.expect("it crashes");
    world.platform.remove_vm("engine-0");
    eventually("the record is deleted", async || {
        let kind = stair_platform::Kind::Incarnation;
        world.platform.get(kind, "engine-0").is_none()
    })
    .await;

    world.engines[0].restart().expect("it starts");
    world.add_vm(0);
    world.restart_agent(0).await;

    for entry in 0..2 {
        world.until_served(entry, "m").await;
    }
    assert_eq!(world.recorder.max_holders("m"), 1);
}
