//! Work that may not be repeated runs at most once also without a key, and at a plain service.

use std::time::Duration;

use stair_standin::recorder::Recorder;

use crate::{
    at_most_once::options,
    support::{
        Answer, Ask, Caller, Options, World,
        told::{
            Burst,
            print_counts,
            until_quiet, //
        },
    },
};

// Work without a key is not repeated by the project either, whatever breaks.
#[tokio::test(flavor = "multi_thread")]
async fn without_key() {
    let mut world = World::start(options(2)).await;
    let mut burst = Burst::default();
    for i in 0..120 {
        let caller = world.caller(i % 2);
        burst.send(
            &caller,
            "billed",
            format!("plain-{i}"),
            30,
            i % 3 == 0,
            |ask| ask,
        );
    }

    world.recorder.until(|r| r.runs.len() >= 10).await;
    world.agents[0].to_link.cut();
    world.agents[1].to_target.cut();
    world.recorder.until(|r| r.runs.len() >= 40).await;
    world.agents[1].process.kill().await;
    world.agents[0].to_link.blackhole_existing();
    world.restart_agent(1).await;
    let told = burst.told().await;

    print_counts("without key", &told);
    until_quiet(&mut world).await;
    for told in &told {
        told.check_text();
        let runs = world.recorder.runs_of(&told.marker).len();
        assert!(runs <= 1, "{told:?} ran {runs} times");
        assert!(!told.is_not_run() || runs == 0, "{told:?}");
    }
}

/// Pause of a caller before it asks again.
const CALLER_PAUSE: Duration = Duration::from_millis(50);

/// Calls the service until the answer is not "not run"; what surely has not run may be asked for
/// again with its key.
async fn call_service(caller: Caller, recorder: Recorder, marker: String) -> (String, Answer) {
    let ask = Ask::service("lookup/find", &marker)
        .repeatable(false)
        .once(&marker);
    loop {
        let answer = caller.ask(&ask).await;
        if &*answer.verdict != "not-run" {
            return (marker, answer);
        }
        assert!(recorder.runs_of(&marker).is_empty(), "{answer:?}");
        tokio::time::sleep(CALLER_PAUSE).await;
    }
}

// A service's route may not be repeated although its declaration allows it, because the caller says
// so; its connection breaks in the call.
#[tokio::test(flavor = "multi_thread")]
async fn service_call() {
    let opts = Options {
        engines: 0,
        models: Vec::new(),
        services: 2,
        ..Options::default()
    };
    let mut world = World::start(opts).await;
    let mut calls = tokio::task::JoinSet::new();
    for round in 0..3 {
        let before = world.recorder.runs(|_| true).len();
        for i in 0..40_usize {
            let caller = world.caller(i % 2);
            let recorder = world.recorder.clone();
            calls.spawn(call_service(caller, recorder, format!("call-{round}-{i}")));
        }
        // All calls of a round may be under way at the cut, and none of them runs again.
        world
            .recorder
            .until(move |r| r.runs.len() >= before + 5)
            .await;
        for agent in &world.agents {
            agent.to_target.cut();
            agent.to_link.cut();
        }
    }
    let all = calls.join_all().await;

    until_quiet(&mut world).await;
    for (marker, answer) in &all {
        let runs = world.recorder.runs_of(marker).len();
        assert!(runs <= 1, "{marker} ran {runs} times");
        assert!(&*answer.verdict != "not-run" || runs == 0, "{answer:?}");
    }
}
