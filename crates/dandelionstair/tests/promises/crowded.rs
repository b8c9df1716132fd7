//! A grant moves away from a target whose memory is full of models in use.

use std::time::Duration;

use stair_standin::engine;

use crate::support::{
    Ask,
    Options,
    World,
    eventually,
    world::ModelSpec, //
};

/// One model fills an engine, so that two models granted to the same one cannot both be loaded.
fn options() -> Options {
    let model = |name: &str| ModelSpec {
        memory_mib: 15_000,
        ..ModelSpec::new(name, 1)
    };
    Options {
        engines: 2,
        engine: engine::Options {
            memory_mib: 20_000,
            ..engine::Options::default()
        },
        models: vec![model("a"), model("b"), model("c")],
        ..Options::default()
    }
}

/// Returns two models whose grants share a target.
fn neighbours(world: &World) -> [&'static str; 2] {
    let pairs = [["a", "b"], ["a", "c"], ["b", "c"]];
    let shared = pairs
        .into_iter()
        .find(|[x, y]| world.holder(x) == world.holder(y));
    shared.expect("three models on two engines share one")
}

// A long draft runs on a model, and a clerk's check comes for another model whose only grant is at
// the same target. There is no room beside the draft, while the other engine idles. Without a move
// the clerk would wait until the draft is done.
#[tokio::test(flavor = "multi_thread")]
async fn grant_moves() {
    let world = World::start(options()).await;
    let [busy, wanted] = neighbours(&world);
    let before = world.holder(wanted);
    let caller = world.caller(0);
    let draft = Ask::completion(busy, "draft", 20_000).streamed();
    let draft = tokio::spawn(async move { caller.ask(&draft).await });
    eventually("the draft runs", async || {
        !world.recorder.runs_of("draft").is_empty()
    })
    .await;

    let check = world
        .caller(1)
        .ask(&Ask::completion(wanted, "check", 3))
        .await;

    assert!(check.is_answered(), "{check:?}");
    assert!(!draft.is_finished(), "the check waited for the draft");
    assert_ne!(world.holder(wanted), before, "the grant stayed");
    for model in [busy, wanted] {
        assert_eq!(world.recorder.max_holders(model), 1);
    }
    draft.abort();
}

// Both engines are full of work in use. Moving a grant would only cost loads and writes, so it
// stays, and the check is answered when a draft ends.
#[tokio::test(flavor = "multi_thread")]
async fn no_better_place() {
    let opts = Options {
        engines: 1,
        ..options()
    };
    let world = World::start(opts).await;
    let caller = world.caller(0);
    let draft = Ask::completion("a", "draft", 3_000).streamed();
    let draft = tokio::spawn(async move { caller.ask(&draft).await });
    eventually("the draft runs", async || {
        !world.recorder.runs_of("draft").is_empty()
    })
    .await;
    let grants = world.grants("b");

    let check = world
        .caller(1)
        .ask(&Ask::completion("b", "check", 3).within(Duration::from_secs(30)))
        .await;

    assert!(check.is_answered(), "{check:?}");
    assert_eq!(world.grants("b"), grants);
    let draft = draft.await.expect("the task ends");
    assert!(draft.is_answered(), "the draft was cut");
}
