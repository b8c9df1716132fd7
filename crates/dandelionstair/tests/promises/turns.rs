//! A home of the weight store's turns that fails costs speed only.

use std::time::Duration;

use stair_types::rendezvous;
use stair_wire::control::LOAD_SLOT_OWNER_KEY;

use crate::support::{
    Ask,
    Options,
    World,
    eventually,
    world,
    world::ModelSpec, //
};

/// The next turn comes after the test.
const LOADS_PER_SECOND: f64 = 0.01;

/// Time in which a load goes on without its turn; waiting for it would take ten times as long.
const IN_TIME: Duration = Duration::from_secs(10);

/// How the home fails.
#[derive(Debug, Clone, Copy)]
enum Failure {
    Dies,
    Freezes,
    GoesSilent,
}

// The entry that gives out turns at the weight store fails while a load waits for its turn there.
// Callers of the cold model, who reach other entries, would wait for a turn that nobody gives.
async fn home_fails(how: Failure) {
    let opts = Options {
        engines: 1,
        models: vec![ModelSpec::new("a", 1), ModelSpec::new("b", 1)],
        ..Options::default()
    };
    let mut world = World::start(opts).await;
    let mut slow = world.catalogue();
    slow.policy.weight_store.loads_per_second = LOADS_PER_SECOND;
    world.apply(&slow).await;
    let names = world.entries.iter().map(|e| &*e.name);
    let home = rendezvous::ranked(LOAD_SLOT_OWNER_KEY, names)[0];
    let caller = world.caller(1 - home);
    assert!(
        caller
            .ask(&Ask::completion("a", "first", 2))
            .await
            .is_answered()
    );
    let waiting = tokio::spawn(async move { caller.ask(&Ask::completion("b", "second", 2)).await });
    let operator = world.entries[home].operator;
    eventually("a load waits for its turn", async || {
        let dump = world::dump(operator).await;
        dump["control"]["loads_waiting_for_a_turn"] == 1
    })
    .await;

    let entry = &mut world.entries[home];
    match how {
        Failure::Dies => entry.process.kill().await,
        Failure::Freezes => entry.process.freeze(),
        Failure::GoesSilent => entry.to_link.blackhole_all(),
    }

    let answer = waiting.await.expect("ends");
    assert!(answer.is_answered(), "{answer:?}");
    println!("{how:?}: served after {:?}", answer.took);
    assert!(answer.took < IN_TIME, "{:?}", answer.took);
    world.assert_memory_kept();
}

#[tokio::test(flavor = "multi_thread")]
async fn turn_home_dies() {
    home_fails(Failure::Dies).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn turn_home_freezes() {
    home_fails(Failure::Freezes).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn turn_home_silent() {
    home_fails(Failure::GoesSilent).await;
}
