//! What the whole path costs, against a caller that goes straight to the engine's stand-in.
//!
//! The shipped binary runs as separate entry and agent processes over loopback; the stand-ins and
//! the callers run in this process. Prints Markdown tables:
//!
//!     cargo bench -p dandelionstair --bench speed [-- SECTION ...]
//!
//! Sections: `requests`, `streams`, `links`, `waiting`; all without one.

mod links;
mod load;
mod proc;
mod requests;
mod streams;
#[path = "../../tests/promises/support/mod.rs"]
mod support;
mod waiting;

use std::time::Duration;

use serde_json::json;
use stair_standin::engine;
use support::{
    ModelSpec,
    Options,
    World, //
};

/// So many engines that none of their agents is the narrowest part of the path.
const ENGINES: usize = 4;

/// Requests that one engine runs at once.
const CONCURRENCY: u16 = 256;

#[tokio::main]
async fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    // Cargo adds `--bench` to the arguments.
    let wanted: Vec<&String> = wanted.iter().filter(|a| !a.starts_with("--")).collect();
    let is_wanted = |section: &str| wanted.is_empty() || wanted.iter().any(|w| *w == section);
    println!("{}\n", proc::machine());
    if is_wanted("requests") {
        requests::measure().await;
    }
    if is_wanted("streams") {
        streams::measure().await;
    }
    if is_wanted("links") {
        links::measure().await;
    }
    if is_wanted("waiting") {
        waiting::measure().await;
    }
    println!("{}", proc::machine());
}

/// Starts one entry and the engines, with no proxy between; every engine holds the model.
async fn world(engine: engine::Options) -> World {
    let replicas = u16::try_from(ENGINES).expect("few");
    let mut opts = Options {
        entries: 1,
        engines: ENGINES,
        engine: engine::Options {
            concurrency: CONCURRENCY.into(),
            ..engine
        },
        models: vec![ModelSpec::new("m", replicas)],
        concurrency: CONCURRENCY,
        entry_limits: json!({ "drain_linger_ms": 0, "max_requests": 16_000 }),
        direct: true,
        ..Options::default()
    };
    for tier in &mut opts.tiers {
        tier.timeout = Duration::from_secs(600);
        tier.max_waiting = 4_000;
    }
    World::start(opts).await
}

/// An engine that answers at once.
fn instant_engine() -> engine::Options {
    engine::Options {
        first_token: Duration::ZERO,
        per_token: Duration::ZERO,
        ..engine::Options::default()
    }
}
