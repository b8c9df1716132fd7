//! The whole path: a caller, an entry, an agent, an engine, and back.

use stair_standin::engine;

use crate::support::{
    Ask,
    Options,
    World, //
};

#[tokio::test(flavor = "multi_thread")]
async fn cold_completion() {
    let world = World::start(Options::default()).await;

    let answer = world.caller(0).ask(&Ask::completion("m", "a", 8)).await;

    assert!(answer.is_answered(), "{answer:?}");
    assert_eq!(answer.text(), engine::text("a", 8));
    assert_eq!(world.recorder.loads("m").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn burst_loads_once() {
    let world = World::start(Options::default()).await;
    let mut asks = tokio::task::JoinSet::new();
    for i in 0..40 {
        let caller = world.caller(i % 2);
        asks.spawn(async move { caller.ask(&Ask::completion("m", &format!("b{i}"), 3)).await });
    }

    let answers = asks.join_all().await;

    let answered = answers.iter().filter(|a| a.is_answered()).count();
    assert_eq!(answered, 40, "{answers:?}");
    assert_eq!(world.recorder.loads("m").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn service_called() {
    let opts = Options {
        engines: 0,
        models: Vec::new(),
        services: 1,
        ..Options::default()
    };
    let world = World::start(opts).await;

    let answer = world.caller(1).ask(&Ask::service("lookup/find", "c")).await;

    assert!(answer.is_answered(), "{answer:?}");
    assert_eq!(world.recorder.runs_of("c").len(), 1);
}
