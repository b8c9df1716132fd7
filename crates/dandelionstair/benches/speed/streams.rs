//! Streamed tokens a second through one entry.

use std::time::Duration;

use crate::{
    instant_engine,
    load::{
        self,
        Goal, //
    },
    proc::Meter,
    world, //
};

const ROUNDS: usize = 3;
const CALLERS: usize = 64;
const TOKENS: u32 = 256;
const TIME: Duration = Duration::from_secs(4);

pub(crate) async fn measure() {
    let world = world(instant_engine()).await;
    let body = load::body(TOKENS, true);
    let (direct, path) = (
        Goal::engines(&world, body.clone()),
        Goal::entry(&world, body),
    );
    // Every engine loads the model.
    load::closed(&path, CALLERS, Duration::from_secs(1)).await;
    println!("## Streamed tokens a second\n");
    println!(
        "{CALLERS} callers, {TOKENS} tokens an answer, each token an event of its own; the engine makes them as fast as it can.\n"
    );
    println!(
        "| round | way | tokens/s | MB/s | failed | entry, cores | one agent, cores | callers and stand-ins, cores | machine, cores |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for round in 1..=ROUNDS {
        for (name, goal) in [("straight", &direct), ("entry", &path)] {
            let meter = Meter::start(&world);
            let outcome = load::closed(goal, CALLERS, TIME).await;
            let used = meter.stop();
            println!(
                "| {round} | {name} | {:.0} | {:.1} | {} | {:.2} | {:.2} | {:.2} | {:.1} |",
                outcome.per_second() * f64::from(TOKENS),
                outcome.bytes as f64 / outcome.took.as_secs_f64() / 1e6,
                outcome.failed,
                used.entry,
                used.agent,
                used.here,
                used.machine,
            );
        }
    }
    println!();
}
