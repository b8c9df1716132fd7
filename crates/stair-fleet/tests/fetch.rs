//! How many loads from the weight store run at once.

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

/// Loads that come as fast as an engine's link takes them: 60 GB in six seconds.
fn by_link() -> Engine {
    engine()
}

/// Loads that the weight store bounds: 60 GB in thirteen seconds.
fn by_store() -> Engine {
    let mut engine = engine();
    for model in &mut engine.models {
        model.from_store = ms(13_200);
    }
    engine
}

fn at_once(engine: &Engine, reports: Vec<Report>) -> usize {
    let (view, _) = fleet(reports);
    fetch::concurrency_limit(&view, SERVICE, engine, NOW)
}

fn fetched(together: u32, times: f32) -> Report {
    let mut report = report(&["a"], &["a"]);
    report.load.fetched = Some(Fetched {
        concurrent: together,
        slowdown: times,
    });
    report
}

#[test]
fn before_any_load() {
    assert_eq!(at_once(&by_link(), vec![]), 4);
    assert_eq!(at_once(&by_store(), vec![]), 1);
}

/// The weight store serves one load at full speed, and four run. All of them end when the last of
/// four in a row would, so the model that is needed most comes four times as late. The loads under
/// way are late by then and show it, long before the first of them ends.
#[test]
fn late_loads_show_it() {
    let late = |times| {
        ["b", "c", "d", "e"]
            .map(|m| fetching(m, ms(100), times))
            .to_vec()
    };
    assert_eq!(at_once(&by_link(), late(1.0)), 4);
    assert_eq!(at_once(&by_link(), late(1.4)), 3);
    assert_eq!(at_once(&by_link(), late(4.0)), 1);
}

/// What ended tells the same, also to an entry that has just started and saw none of it.
#[test]
fn ended_loads_show_it() {
    assert_eq!(at_once(&by_link(), vec![fetched(2, 2.0)]), 1);
    assert_eq!(at_once(&by_link(), vec![fetched(5, 1.25)]), 4);
}

/// Loads that kept their time beside others let more begin, a few at a time.
#[test]
fn grows_by_proof() {
    assert_eq!(at_once(&by_store(), vec![fetched(1, 1.0)]), 2);
    assert_eq!(at_once(&by_store(), vec![fetched(2, 1.03)]), 4);
    assert_eq!(at_once(&by_store(), vec![fetched(4, 1.03)]), 5);
}

/// An engine took long over a load beside which nothing ran: its own trouble, and no reason to have
/// the others wait for each other.
#[test]
fn own_trouble_is_ignored() {
    assert_eq!(at_once(&by_link(), vec![fetched(1, 3.0)]), 4);
}

/// Two loads run at full speed and three more begin, so that all five are late. What the first two
/// tell would leave two of four places at the weight store unused for minutes.
#[test]
fn others_joined_later() {
    let told = vec![fetched(2, 1.2), fetched(4, 1.0), fetched(5, 1.25)];
    assert_eq!(at_once(&by_link(), told), 4);
}

/// One of the loads that are of use is left for a request that waits for it.
#[test]
fn one_is_kept_free() {
    let ahead = |engine: &Engine| fetch::prefetch_limit(&View::default(), SERVICE, engine, NOW);
    assert_eq!(ahead(&by_link()), 3);
    assert_eq!(ahead(&by_store()), 1);
}

/// A store that serves `at_full_speed` loads: each load under way advances by its share.
struct Store {
    at_full_speed: f64,
    declared: Duration,
    /// Loads to come, the most urgent first.
    queue: Vec<u32>,
    running: Vec<Running>,
    ended: Vec<Ended>,
    told: Vec<Report>,
}

/// A load under way.
struct Running {
    number: u32,
    since: Duration,
    /// How many ran when it began, itself among them.
    together: u32,
    /// Part of it that is left.
    left: f64,
}

struct Ended {
    number: u32,
    at: Duration,
}

impl Store {
    fn reports(&self, now: Duration) -> Vec<Report> {
        let times = |since| (now - since).div_duration_f32(self.declared);
        let running = self.running.iter();
        let running = running.map(|r| fetching("b", ms(100), times(r.since)));
        running.chain(self.told.iter().cloned()).collect()
    }

    fn step(&mut self, engine: &Engine, by: Duration, now: Duration) {
        while !self.queue.is_empty() && self.running.len() < at_once(engine, self.reports(now)) {
            let together = self.running.len() as u32 + 1;
            let number = self.queue.remove(0);
            self.running.push(Running {
                number,
                since: now,
                together,
                left: 1.0,
            });
        }
        let share = (self.at_full_speed / self.running.len() as f64).min(1.0);
        let pace = share * by.as_secs_f64() / self.declared.as_secs_f64();
        for load in &mut self.running {
            load.left -= pace;
        }
        let (done, running): (Vec<_>, Vec<_>) = self.running.drain(..).partition(|l| l.left <= 0.0);
        self.running = running;
        for load in done {
            let at = now + by;
            let times = (at - load.since).div_duration_f32(self.declared);
            self.told.push(fetched(load.together, times));
            let number = load.number;
            self.ended.push(Ended { number, at });
        }
    }
}

/// Plays eight loads that are all wanted from the start, and returns when each ended, in seconds.
fn play(engine: &Engine, at_full_speed: f64) -> Vec<u64> {
    let mut store = Store {
        at_full_speed,
        declared: engine.models[0].from_store,
        queue: (0..8).collect(),
        running: Vec::new(),
        ended: Vec::new(),
        told: Vec::new(),
    };
    let by = ms(50);
    for n in 0..6000 {
        store.step(engine, by, by * n);
    }
    store.ended.sort_by_key(|e| e.number);
    store.ended.iter().map(|e| e.at.as_secs()).collect()
}

/// Demand has moved and eight models are to come, the most urgent first. Where the store serves one
/// at full speed they come in a row; four at once had the first come after 53 s instead of 13.
#[test]
fn urgent_first_at_a_slow_store() {
    let ends = play(&by_store(), 1.0);
    assert!(ends[0] <= 14, "{ends:?}");
    assert!(ends[7] <= 8 * 14, "no more work than in a row: {ends:?}");
    let early = ends.iter().filter(|t| **t <= 60).count();
    assert!(early >= 3, "{ends:?}");
}

/// Where it serves four at full speed, four run from the start.
#[test]
fn four_where_four_run() {
    let ends = play(&by_link(), 4.0);
    assert!(ends[3] <= 7 && ends[7] <= 15, "{ends:?}");
}
