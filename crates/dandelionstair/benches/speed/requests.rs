//! Requests a second through one entry, and what it adds to a request's latency at half of that.

use std::time::Duration;

use crate::{
    instant_engine,
    load::{
        self,
        Goal,
        Outcome, //
    },
    proc::Meter,
    world, //
};

const ROUNDS: usize = 5;
const CALLERS: usize = 64;
const CLOSED_TIME: Duration = Duration::from_secs(3);
const PACED_TIME: Duration = Duration::from_secs(4);

/// A rate at which nothing ever waits.
const LOW_RATE: f64 = 200.0;

pub(crate) async fn measure() {
    let world = world(instant_engine()).await;
    let body = load::body(1, false);
    let (direct, path) = (
        Goal::engines(&world, body.clone()),
        Goal::entry(&world, body),
    );
    // Every engine loads the model.
    load::closed(&path, CALLERS, Duration::from_secs(1)).await;

    println!("## Requests a second\n");
    println!("{CALLERS} callers, each with one request at a time; bodies of a kilobyte.\n");
    println!(
        "| round | way | requests/s | failed | p50 ms | p99 ms | entry, cores | one agent, cores | callers and stand-ins, cores | machine, cores |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut rates = Vec::new();
    for round in 1..=ROUNDS {
        for (name, goal) in [("straight", &direct), ("entry", &path)] {
            let meter = Meter::start(&world);
            let outcome = load::closed(goal, CALLERS, CLOSED_TIME).await;
            print_row(&round.to_string(), name, &outcome, meter);
            if name == "entry" {
                rates.push(outcome.per_second());
            }
        }
    }
    rates.sort_by(f64::total_cmp);
    let rate = rates[rates.len() / 2];
    println!("\nMedian through the entry: {rate:.0} requests/s.\n");

    for rate in [LOW_RATE, rate / 2.0] {
        println!("## Added latency at {rate:.0} requests/s\n");
        println!(
            "| round | way | requests/s | failed | p50 ms | p99 ms | entry, cores | one agent, cores | callers and stand-ins, cores | machine, cores |"
        );
        println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        let mut added = Vec::new();
        for round in 1..=ROUNDS {
            let mut both = Vec::new();
            for (name, goal) in [("straight", &direct), ("entry", &path)] {
                let meter = Meter::start(&world);
                let outcome = load::paced(goal, rate, PACED_TIME).await;
                print_row(&round.to_string(), name, &outcome, meter);
                both.push(outcome);
            }
            added.push(Added {
                p50: both[1].millis(0.5) - both[0].millis(0.5),
                p99: both[1].millis(0.99) - both[0].millis(0.99),
            });
        }
        print_added(added);
    }
}

/// What the path adds to a quantile, in milliseconds.
struct Added {
    p50: f64,
    p99: f64,
}

fn print_added(added: Vec<Added>) {
    let spread = |of: fn(&Added) -> f64| {
        let mut all: Vec<f64> = added.iter().map(of).collect();
        all.sort_by(f64::total_cmp);
        let (least, most) = (all[0], all[all.len() - 1]);
        format!("{:.3} ms ({least:.3} to {most:.3})", all[all.len() / 2])
    };
    println!(
        "\nAdded, median of the rounds (least to most): p50 {}, p99 {}.\n",
        spread(|a| a.p50),
        spread(|a| a.p99)
    );
}

fn print_row(round: &str, name: &str, outcome: &Outcome, meter: Meter) {
    let used = meter.stop();
    println!(
        "| {round} | {name} | {:.0} | {} | {:.3} | {:.3} | {:.2} | {:.2} | {:.2} | {:.1} |",
        outcome.per_second(),
        outcome.failed,
        outcome.millis(0.5),
        outcome.millis(0.99),
        used.entry,
        used.agent,
        used.here,
        used.machine,
    );
}
