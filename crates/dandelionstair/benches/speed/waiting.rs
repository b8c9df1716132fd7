//! Memory of an entry with many waiting requests.

use std::time::Duration;

use serde_json::Value;
use stair_standin::engine;
use tokio::task::JoinSet;

use crate::{
    load::{
        self,
        Goal, //
    },
    proc,
    support::{
        eventually,
        world::dump, //
    },
    world,
};

const STEPS: [usize; 5] = [0, 1_000, 2_500, 5_000, 10_000];

pub(crate) async fn measure() {
    let engine = engine::Options {
        first_token: Duration::from_secs(300),
        ..engine::Options::default()
    };
    let world = world(engine).await;
    let entry = &world.entries[0];
    let goal = Goal::entry(&world, load::body(1, false));
    println!("## A waiting request\n");
    println!("Bodies of a kilobyte; each waits on a connection of its own.\n");
    println!(
        "| waiting | entry's resident memory, MiB | KiB a request since the row before | one agent's resident memory, MiB |"
    );
    println!("| --- | --- | --- | --- |");
    let mut asks = JoinSet::new();
    let mut before = 0;
    for step in STEPS {
        let sent = step - asks.len();
        while asks.len() < step {
            let (goal, turn) = (goal.clone(), asks.len());
            asks.spawn(async move { goal.send(turn).await });
        }
        eventually("all of them wait", async || {
            waiting(&dump(entry.operator).await) >= step as u64
        })
        .await;
        let resident = proc::resident(entry.process.id());
        let each = match sent {
            0 => "-".to_owned(),
            n => format!("{:.1}", (resident - before) as f64 / 1024.0 / n as f64),
        };
        let mib = |bytes: u64| bytes as f64 / f64::from(1 << 20);
        let agent = proc::resident(world.agents[0].process.id());
        println!(
            "| {step} | {:.1} | {each} | {:.1} |",
            mib(resident),
            mib(agent)
        );
        before = resident;
    }
    println!();
    asks.abort_all();
}

/// Returns how many requests are in the entry and past the receipt of their bodies.
fn waiting(dump: &Value) -> u64 {
    let tiers = dump["traffic"]["in_entry"]["tiers"].as_array();
    let tiers = tiers.into_iter().flatten();
    let phases =
        tiers.map(|t| t["waiting"].as_u64().unwrap_or(0) + t["started"].as_u64().unwrap_or(0));
    phases.sum()
}
