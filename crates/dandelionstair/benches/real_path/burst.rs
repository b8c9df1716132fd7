//! A burst on a cold model at several entries at once.

use std::time::Duration;

use stair_standin::engine;
use tokio::task::JoinSet;

use crate::{
    quantiles,
    support::{
        Answer,
        Ask,
        ModelSpec,
        Options,
        World, //
    },
};

const ENTRIES: usize = 4;
const ENGINES: usize = 4;
const REQUESTS: usize = 200;
const TOKENS: u32 = 8;

/// Time of a load from the weight store.
const LOAD: Duration = Duration::from_secs(2);

const REPLICAS: [u16; 2] = [1, 2];
const ROUNDS: usize = 3;

pub(crate) async fn measure() {
    println!("## A burst on a cold model at {ENTRIES} entries\n");
    println!(
        "{REQUESTS} requests at once, streamed, {TOKENS} tokens each; {ENGINES} engines of 16 slots; \
         a load takes {LOAD:?}, a run about 60 ms. Times in seconds, p50/p95/p99/most. The bound is \
         a load and the same burst on the loaded model.\n"
    );
    println!(
        "| replicas | round | model | loads | answered | time to first token | bound of the most |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for replicas in REPLICAS {
        for round in 1..=ROUNDS {
            let world = world(replicas).await;
            let cold = burst(&world, "cold").await;
            let loads = world.recorder.loads("m").len();
            let warm = burst(&world, "warm").await;
            let bound = LOAD + firsts(&warm).into_iter().max().unwrap_or_default();
            print_row(replicas, round, "cold", loads, &cold, Some(bound));
            let later = world.recorder.loads("m").len() - loads;
            print_row(replicas, round, "loaded", later, &warm, None);
        }
    }
    println!();
}

async fn world(replicas: u16) -> World {
    World::start(Options {
        entries: ENTRIES,
        engines: ENGINES,
        models: vec![ModelSpec::new("m", replicas)],
        engine: engine::Options {
            load_from_remote: LOAD,
            first_token: Duration::from_millis(25),
            per_token: Duration::from_millis(5),
            ..engine::Options::default()
        },
        direct: true,
        ..Options::default()
    })
    .await
}

async fn burst(world: &World, name: &str) -> Vec<Answer> {
    let callers: Vec<_> = (0..ENTRIES).map(|i| world.caller(i)).collect();
    let mut asks = JoinSet::new();
    for i in 0..REQUESTS {
        let caller = callers[i % ENTRIES].clone();
        let ask = Ask::completion("m", &format!("{name}-{i}"), TOKENS).streamed();
        asks.spawn(async move { caller.ask(&ask).await });
    }
    asks.join_all().await
}

fn firsts(answers: &[Answer]) -> Vec<Duration> {
    let answered = answers.iter().filter(|a| a.is_answered());
    answered.filter_map(|a| a.first).collect()
}

fn print_row(
    replicas: u16,
    round: usize,
    model: &str,
    loads: usize,
    answers: &[Answer],
    bound: Option<Duration>,
) {
    let answered = answers.iter().filter(|a| a.is_answered()).count();
    let bound = bound.map_or("-".to_owned(), |b| format!("{:.3}", b.as_secs_f64()));
    println!(
        "| {replicas} | {round} | {model} | {loads} | {answered} | {} | {bound} |",
        quantiles(firsts(answers)),
    );
}
