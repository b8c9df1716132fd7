//! Tests of the limit of concurrent loads from the weight store.

mod support;

use std::time::Duration;

use stair_fleet::{
    View,
    catalogue::Engine,
    fetch,
    target::{
        Fetched,
        Report, //
    },
};
use support::{
    NOW,
    SERVICE,
    engine,
    fetching,
    fleet,
    ms,
    report, //
};

/// Loads as fast as an engine's link: 60 GB in 6 s.
fn fast_store() -> Engine {
    engine()
}

/// Loads bounded by the weight store: 60 GB in 13 s.
fn slow_store() -> Engine {
    let mut engine = engine();
    for model in &mut engine.models {
        model.from_store = ms(13_200);
    }
    engine
}

fn limit(engine: &Engine, reports: Vec<Report>) -> usize {
    let (view, _) = fleet(reports);
    fetch::concurrency_limit(&view, SERVICE, engine, NOW)
}

fn fetched(concurrent: u32, slowdown: f32) -> Report {
    let mut report = report(&["a"], &["a"]);
    report.load.fetched = Some(Fetched {
        concurrent,
        slowdown,
    });
    report
}

#[test]
fn before_any_load() {
    assert_eq!(limit(&fast_store(), vec![]), 4);
    assert_eq!(limit(&slow_store(), vec![]), 1);
}

/// The weight store serves one load at full speed, and four are in progress. All of them end when
/// the last of four consecutive loads would, so the most urgent model is loaded after four times
/// the time. The loads in progress are already delayed by then and must lower the limit before the
/// first one ends.
#[test]
fn delayed_loads_lower_the_limit() {
    let delayed = |slowdown| {
        ["b", "c", "d", "e"]
            .map(|m| fetching(m, ms(100), slowdown))
            .to_vec()
    };
    assert_eq!(limit(&fast_store(), delayed(1.0)), 4);
    assert_eq!(limit(&fast_store(), delayed(1.4)), 3);
    assert_eq!(limit(&fast_store(), delayed(4.0)), 1);
}

/// Completed loads give the same limit to an entry that has just started and did not observe them.
#[test]
fn ended_loads_lower_the_limit() {
    assert_eq!(limit(&fast_store(), vec![fetched(2, 2.0)]), 1);
    assert_eq!(limit(&fast_store(), vec![fetched(5, 1.25)]), 4);
}

/// Concurrent loads that took their declared time raise the limit step by step.
#[test]
fn grows_with_loads_on_time() {
    assert_eq!(limit(&slow_store(), vec![fetched(1, 1.0)]), 2);
    assert_eq!(limit(&slow_store(), vec![fetched(2, 1.03)]), 4);
    assert_eq!(limit(&slow_store(), vec![fetched(4, 1.03)]), 5);
}

/// An engine took long for a load without concurrent ones. The cause is the engine's own and must
/// not lower the limit.
#[test]
fn slow_load_alone_is_ignored() {
    assert_eq!(limit(&fast_store(), vec![fetched(1, 3.0)]), 4);
}

/// Two loads run at full speed when three more begin, so that all five are delayed. If the report
/// of the first two decided, two of four load slots at the weight store would stay unused for
/// minutes.
#[test]
fn others_joined_later() {
    let reported = vec![fetched(2, 1.2), fetched(4, 1.0), fetched(5, 1.25)];
    assert_eq!(limit(&fast_store(), reported), 4);
}

/// One load below the limit is reserved for a request that waits for it.
#[test]
fn one_load_is_reserved() {
    let prefetch_limit =
        |engine: &Engine| fetch::prefetch_limit(&View::default(), SERVICE, engine, NOW);
    assert_eq!(prefetch_limit(&fast_store()), 3);
    assert_eq!(prefetch_limit(&slow_store()), 1);
}

/// A weight store that serves `full_speed_loads` loads at full speed; more loads share its
/// throughput.
struct Store {
    full_speed_loads: f64,
    declared: Duration,
    /// Loads that have not begun, the most urgent first.
    queue: Vec<u32>,
    running: Vec<Running>,
    ended: Vec<Done>,
    reported: Vec<Report>,
}

/// A load in progress.
struct Running {
    number: u32,
    since: Duration,
    /// Loads in progress when it began, itself included.
    concurrent: u32,
    /// The fraction that remains.
    remaining: f64,
}

struct Done {
    number: u32,
    at: Duration,
}

impl Store {
    fn reports(&self, now: Duration) -> Vec<Report> {
        let slowdown = |since| (now - since).div_duration_f32(self.declared);
        let running = self.running.iter();
        let running = running.map(|r| fetching("b", ms(100), slowdown(r.since)));
        running.chain(self.reported.iter().cloned()).collect()
    }

    fn step(&mut self, engine: &Engine, by: Duration, now: Duration) {
        while !self.queue.is_empty() && self.running.len() < limit(engine, self.reports(now)) {
            let concurrent = self.running.len() as u32 + 1;
            let number = self.queue.remove(0);
            self.running.push(Running {
                number,
                since: now,
                concurrent,
                remaining: 1.0,
            });
        }
        let share = (self.full_speed_loads / self.running.len() as f64).min(1.0);
        let progress = share * by.as_secs_f64() / self.declared.as_secs_f64();
        for load in &mut self.running {
            load.remaining -= progress;
        }
        let (done, running): (Vec<_>, Vec<_>) =
            self.running.drain(..).partition(|l| l.remaining <= 0.0);
        self.running = running;
        for load in done {
            let at = now + by;
            let slowdown = (at - load.since).div_duration_f32(self.declared);
            self.reported.push(fetched(load.concurrent, slowdown));
            let number = load.number;
            self.ended.push(Done { number, at });
        }
    }
}

/// Simulates eight loads that are requested together, and returns when each ended, in seconds.
fn simulate(engine: &Engine, full_speed_loads: f64) -> Vec<u64> {
    let mut store = Store {
        full_speed_loads,
        declared: engine.models[0].from_store,
        queue: (0..8).collect(),
        running: Vec::new(),
        ended: Vec::new(),
        reported: Vec::new(),
    };
    let by = ms(50);
    for n in 0..6000 {
        store.step(engine, by, by * n);
    }
    store.ended.sort_by_key(|e| e.number);
    store.ended.iter().map(|e| e.at.as_secs()).collect()
}

/// Demand has moved and eight models have to be loaded, the most urgent first. If the store serves
/// one load at full speed they must come one after the other; with four at a time the first one
/// came after 53 s instead of 13 s.
#[test]
fn urgent_first_at_a_slow_store() {
    let ends = simulate(&slow_store(), 1.0);
    assert!(ends[0] <= 14, "{ends:?}");
    assert!(ends[7] <= 8 * 14, "no more work than in a row: {ends:?}");
    let in_time = ends.iter().filter(|t| **t <= 60).count();
    assert!(in_time >= 3, "{ends:?}");
}

/// If the store serves four loads at full speed, four run from the start.
#[test]
fn four_where_four_run() {
    let ends = simulate(&fast_store(), 4.0);
    assert!(ends[3] <= 7 && ends[7] <= 15, "{ends:?}");
}
