//! A request that ends each engine that runs it, and comes again.

use std::time::{
    Duration,
    Instant, //
};

use tokio::time::sleep;

use crate::support::{
    Ask,
    Options,
    World,
    world::ModelSpec, //
};

/// Marks the request.
const DEADLY: &str = "deadly";

/// Time from the start of its run to the end of the engine.
const DEATH_TIME: Duration = Duration::from_millis(30);

/// The length of its answer, a millisecond each: longer than it takes to end the engine.
const TOKENS: u32 = 300;

/// Time until the engine is back.
const DOWN: Duration = Duration::from_millis(300);

/// Time for all entries to know, from the third crash on.
const CONTACT_TIME: Duration = Duration::from_millis(3000);

/// Runs that may begin later than that.
const MAX_RETRIES: usize = 3;

/// Ends each engine that begins to run the request, for as long as it is awaited.
async fn end_engines(world: &World) {
    let mut seen = 0;
    loop {
        let runs = world.recorder.runs_of(DEADLY);
        for run in &runs[seen..] {
            sleep(DEATH_TIME).await;
            let n = run.target.trim_start_matches("engine-").parse::<usize>();
            let engine = &world.engines[n.expect("the engine's number")];
            engine.crash().await.expect("it crashes");
            sleep(DOWN).await;
            engine.restart().expect("it starts");
        }
        seen = runs.len();
        sleep(Duration::from_millis(5)).await;
    }
}

async fn send(world: &World) {
    let begun = Instant::now();
    let mut n = 0;
    while begun.elapsed() < CONTACT_TIME * 4 {
        let caller = world.caller(n % world.entries.len());
        let ask = Ask::completion("m", DEADLY, TOKENS).within(Duration::from_secs(2));
        caller.ask(&ask).await;
        n += 1;
        sleep(Duration::from_millis(100)).await;
    }
}

// A caller sends it again and again, by all entries.
#[tokio::test(flavor = "multi_thread")]
async fn deadly_request_at_agents() {
    let world = World::start(Options {
        models: vec![ModelSpec::new("m", 2)],
        ..Options::default()
    })
    .await;
    tokio::select! {
        () = end_engines(&world) => {}
        () = send(&world) => {}
    }
    let runs = world.recorder.runs_of(DEADLY);
    let known = runs.get(2).expect("three crashes").started + CONTACT_TIME;
    let late = runs.iter().filter(|r| r.started > known).count();
    assert!(late <= MAX_RETRIES, "{late} of {}", runs.len());
}
