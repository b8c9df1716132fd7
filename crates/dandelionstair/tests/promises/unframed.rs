//! Responses with neither a length nor chunks, which end with their connection.

use std::time::Duration;

use stair_standin::engine;

use crate::support::{
    Ask,
    Options,
    World,
    world::ModelSpec, //
};

const TOKENS: u32 = 12;

async fn start(per_token: Duration) -> World {
    let world = World::start(Options {
        models: vec![ModelSpec::new("m", 2)],
        engine: engine::Options {
            per_token,
            ..engine::Options::default()
        },
        ..Options::default()
    })
    .await;
    for engine in &world.engines {
        engine.set_faults(|f| f.unframed = true);
    }
    world
}

// Whole answers and streams reach their callers as such.
#[tokio::test(flavor = "multi_thread")]
async fn unframed_whole() {
    let world = start(Duration::from_millis(1)).await;
    for n in 0..10 {
        let ask = Ask::completion("m", &format!("plain-{n}"), TOKENS);
        let answer = world.caller(n % 2).ask(&ask).await;
        assert!(answer.is_answered(), "{answer:?}");
        assert_eq!(answer.text(), ask.expected());
        let ask = Ask::completion("m", &format!("stream-{n}"), TOKENS).streamed();
        let answer = world.caller(n % 2).ask(&ask).await;
        assert!(answer.is_whole_stream(), "{answer:?}");
        assert_eq!(answer.streamed_text(), ask.expected());
    }
}

// A stream that ends inside an event has been broken off, and must not look complete.
#[tokio::test(flavor = "multi_thread")]
async fn unframed_inside_event() {
    let world = start(Duration::from_millis(1)).await;
    for engine in &world.engines {
        engine.set_faults(|f| f.cut_after = Some(250));
    }
    for n in 0..10 {
        let ask = Ask::completion("m", &format!("stream-{n}"), TOKENS).streamed();
        let answer = world.caller(n % 2).ask(&ask.repeatable(false)).await;
        assert!(!answer.is_answered(), "{answer:?}");
    }
}

// The engine ends between two events, which closes its connections as a complete response does.
#[tokio::test(flavor = "multi_thread")]
async fn unframed_engine_ends() {
    let world = start(Duration::from_millis(30)).await;
    let ask = Ask::completion("m", "ends", TOKENS)
        .streamed()
        .repeatable(false);
    let caller = world.caller(0);
    let crash = async {
        world.recorder.until(|r| !r.runs.is_empty()).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        for engine in &world.engines {
            engine.crash().await.expect("it crashes");
        }
    };
    let (answer, ()) = tokio::join!(caller.ask(&ask), crash);
    assert!(!answer.is_answered(), "{answer:?}");
}
