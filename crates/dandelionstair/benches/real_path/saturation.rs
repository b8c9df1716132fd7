//! Full saturation with three tiers.

use std::time::{
    Duration,
    Instant, //
};

use stair_standin::engine;
use tokio::task::JoinSet;

use crate::{
    quantiles,
    support::{
        Answer,
        Ask,
        ModelSpec,
        Options,
        TierSpec,
        World, //
    },
};

const ENTRIES: usize = 2;
const ENGINES: u16 = 2;
const SLOTS: u16 = 16;
const LOADS: [f64; 3] = [0.9, 1.5, 3.0];
const TIME: Duration = Duration::from_secs(30);

/// Answers of the first seconds do not count: the model is loaded and the queues fill.
const WARM_UP: Duration = Duration::from_secs(5);

/// Longer than a load is expected to take.
const LOAD_TIME: Duration = Duration::from_secs(30);

/// Time of a token. With the mean number of tokens a run takes 0.2 s.
const TOKEN: Duration = Duration::from_millis(10);
const MEAN_TOKENS: f64 = 20.0;

/// One tier of the scenario.
struct Demand {
    name: &'static str,
    floor_percent: u8,
    timeout: Duration,
    /// Its part of the requests.
    part: f64,
}

/// A tenth of the times in `docs/measurements/policy.md`, and its shares and floors.
const TIERS: [Demand; 3] = [
    Demand {
        name: "tier-0",
        floor_percent: 0,
        timeout: Duration::from_secs(1),
        part: 0.2,
    },
    Demand {
        name: "tier-1",
        floor_percent: 10,
        timeout: Duration::from_secs(2),
        part: 0.3,
    },
    Demand {
        name: "tier-2",
        floor_percent: 5,
        timeout: Duration::from_secs(3),
        part: 0.5,
    },
];

pub(crate) async fn measure() {
    println!("## Saturation with three tiers\n");
    println!(
        "{ENTRIES} entries, {ENGINES} engines of {SLOTS} slots, runs of 0.2 s in the mean (5 to 35 \
         tokens of 10 ms), {TIME:?} of Poisson arrivals, the first {WARM_UP:?} not counted; 20/30/50% \
         of the requests in tiers 0/1/2 with timeouts of 1/2/3 s and floors of 0/10/5%. The load is \
         in parts of what the slots run by the time that a token took in a run before. From the \
         engines' records: goodput is the slot time of answers in time, wasted that of other runs, \
         both against all slot time. Times in seconds, p50/p95/p99/most.\n"
    );
    println!(
        "| load | goodput | wasted | tier | requests | in time | refused not run | others | answered after | told no after |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for load in LOADS {
        let world = world().await;
        let token = token_time(&world).await;
        let asked = drive(&world, load, token).await;
        print_rows(load, &asked, &slot_times(&world));
    }
    println!();
}

async fn world() -> World {
    let tier = |d: &Demand| TierSpec {
        timeout: d.timeout,
        ..TierSpec::new(d.name, d.name, d.floor_percent)
    };
    World::start(Options {
        entries: ENTRIES,
        engines: ENGINES.into(),
        models: vec![ModelSpec::new("m", ENGINES)],
        concurrency: SLOTS,
        engine: engine::Options {
            first_token: TOKEN,
            per_token: TOKEN,
            concurrency: SLOTS.into(),
            load_from_remote: Duration::from_millis(200),
            ..engine::Options::default()
        },
        tiers: TIERS.iter().map(tier).collect(),
        direct: true,
        ..Options::default()
    })
    .await
}

/// One request and what came of it.
struct Asked {
    marker: String,
    tier: usize,
    at: Duration,
    answer: Answer,
}

impl Asked {
    fn is_in_time(&self) -> bool {
        self.answer.is_answered() && self.answer.took <= TIERS[self.tier].timeout
    }

    fn is_refused(&self) -> bool {
        &*self.answer.verdict == "not-run"
    }
}

/// Returns how long a token takes: the stand-in's timers fire later than they were set.
async fn token_time(world: &World) -> Duration {
    const RUNS: usize = 20;
    let tokens = MEAN_TOKENS as u32;
    let caller = world.caller(0);
    for _ in 0..RUNS {
        // The first ones wait for the load, which takes longer than the tier's own timeout.
        let ask = Ask::completion("m", "before", tokens).within(LOAD_TIME);
        caller.ask(&ask.key(TIERS[0].name)).await;
    }
    let runs = world.recorder.runs_of("before");
    let times = runs.iter().filter_map(|r| Some(r.ended? - r.started));
    let whole: Duration = times.sum();
    whole / u32::try_from(runs.len()).expect("few") / tokens
}

/// The time that a request held a slot of its engine.
struct SlotTime {
    marker: Box<str>,
    time: Duration,
}

/// Returns the slot times of all runs, sorted by marker.
fn slot_times(world: &World) -> Vec<SlotTime> {
    let runs = world.recorder.runs(|_| true);
    let mut times: Vec<SlotTime> = runs
        .into_iter()
        .filter_map(|run| {
            Some(SlotTime {
                time: run.ended? - run.started,
                marker: run.marker,
            })
        })
        .collect();
    times.sort_unstable_by(|a, b| a.marker.cmp(&b.marker));
    times
}

fn slot_time(times: &[SlotTime], marker: &str) -> f64 {
    let from = times.partition_point(|t| *t.marker < *marker);
    let own = times[from..].iter().take_while(|t| *t.marker == *marker);
    own.map(|t| t.time.as_secs_f64()).sum()
}

async fn drive(world: &World, load: f64, token: Duration) -> Vec<Asked> {
    let capacity = f64::from(ENGINES * SLOTS) / (MEAN_TOKENS * token.as_secs_f64());
    let rate = capacity * load;
    let callers: Vec<_> = (0..ENTRIES).map(|i| world.caller(i)).collect();
    let began = Instant::now();
    let mut asks = JoinSet::new();
    let mut due = Duration::ZERO;
    for i in 0.. {
        due += Duration::from_secs_f64(-rand::random::<f64>().max(f64::MIN_POSITIVE).ln() / rate);
        if due > TIME {
            break;
        }
        tokio::time::sleep(due.saturating_sub(began.elapsed())).await;
        let (caller, tier, tokens) = (callers[i % ENTRIES].clone(), random_tier(), random_tokens());
        let marker = format!("s{i}");
        let ask = Ask::completion("m", &marker, tokens).key(TIERS[tier].name);
        asks.spawn(async move {
            let answer = caller.ask(&ask).await;
            Asked {
                marker,
                tier,
                at: due,
                answer,
            }
        });
    }
    asks.join_all().await
}

fn random_tier() -> usize {
    let x: f64 = rand::random();
    let mut sum = 0.0;
    let tier = TIERS.iter().position(|t| {
        sum += t.part;
        x < sum
    });
    tier.unwrap_or(TIERS.len() - 1)
}

fn random_tokens() -> u32 {
    5 + rand::random::<u32>() % 31
}

fn print_rows(load: f64, asked: &[Asked], times: &[SlotTime]) {
    let counted: Vec<&Asked> = asked.iter().filter(|a| a.at >= WARM_UP).collect();
    let slots = f64::from(ENGINES * SLOTS) * (TIME - WARM_UP).as_secs_f64();
    let percent = |part: f64| format!("{:.1}%", part * 100.0);
    let run = |a: &&Asked| slot_time(times, &a.marker);
    let all: f64 = counted.iter().map(run).sum();
    let good: f64 = counted.iter().filter(|a| a.is_in_time()).map(run).sum();
    for (rank, tier) in TIERS.iter().enumerate() {
        let of: Vec<&&Asked> = counted.iter().filter(|a| a.tier == rank).collect();
        let n = of.len() as f64;
        let in_time = of.iter().filter(|a| a.is_in_time()).count() as f64;
        let refused: Vec<_> = of.iter().filter(|a| a.is_refused()).collect();
        let others = n - in_time - refused.len() as f64;
        let answered = of.iter().filter(|a| a.answer.is_answered());
        println!(
            "| {load} | {} | {} | {} | {n} | {} | {} | {} | {} | {} |",
            percent(good / slots),
            percent((all - good) / slots),
            tier.name,
            percent(in_time / n),
            percent(refused.len() as f64 / n),
            percent(others / n),
            quantiles(answered.map(|a| a.answer.took).collect()),
            quantiles(refused.iter().map(|a| a.answer.took).collect()),
        );
    }
    print_others(&counted);
}

/// Names what was neither answered in time nor refused.
fn print_others(counted: &[&Asked]) {
    let others = counted
        .iter()
        .filter(|a| !a.is_in_time() && !a.is_refused());
    let mut codes: Vec<String> = others
        .map(|a| {
            format!(
                "{} {} {}",
                a.answer.status,
                a.answer.verdict,
                a.answer.error("code")
            )
        })
        .collect();
    codes.sort_unstable();
    for same in codes.chunk_by(|a, b| a == b) {
        eprintln!("{} others: {}", same.len(), same[0]);
    }
}
