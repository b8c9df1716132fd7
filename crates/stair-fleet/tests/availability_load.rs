//! Plays entries before targets that reject requests for some time, in two ways on equal seeds: each entry keeps
//! the backoffs that it was asked for, or all entries keep each of them.

mod support;

use std::time::Duration;

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use stair_fleet::{
    View,
    availability::Statement,
    choose,
    rate_limit::Source,
    target::State,
    view::TargetKey, //
};
use stair_types::StoreRevision;
use support::{
    ms,
    target, //
};

const SERVICE: &str = "plain";
const ENTRIES: usize = 5;
const TARGETS: usize = 4;
const SLOTS: u32 = 6;
const DURATION: Duration = Duration::from_secs(30);
const SEEDS: u64 = 20;

/// Targets that one request is sent to at most.
const MAX_SENDS: usize = 4;

/// How long until the other entries know.
const SHARE_DELAY: Duration = Duration::from_millis(20);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Own,
    Shared,
}

/// When a target rejects a request.
#[derive(Debug, Clone, Copy)]
enum Rejects {
    /// All entries' requests, for the first part of each period.
    All { of: Duration, period: Duration },
    /// As `All`, but only the requests of two entries.
    Some { of: Duration, period: Duration },
    /// When all slots are in use.
    Full,
}

#[derive(Debug, Clone, Copy)]
struct Options {
    rejects: Rejects,
    retry_after: Duration,
    /// Requests per second of all entries.
    per_s: f64,
    way: Way,
}

#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    served: usize,
    /// Requests that were rejected by a target.
    rejected: usize,
    /// Requests of one entry within a time that it was asked for.
    within: usize,
}

struct Play {
    opts: Options,
    views: Vec<View>,
    keys: Vec<TargetKey>,
    /// Ends of the runs at each target, and their entries.
    running: Vec<Vec<(Duration, usize)>>,
    /// Statements that other entries learn later: time, target and time stated.
    shared: Vec<(Duration, usize, Duration)>,
    /// Ends of the backoffs that each target has asked each entry for.
    asked: Vec<Vec<Duration>>,
    outcome: Outcome,
}

impl Play {
    fn new(opts: Options) -> Self {
        let mut view = View::default();
        let targets = (0..TARGETS).map(|n| stair_fleet::Target {
            state: State::Ready,
            slots: SLOTS,
            ..target(n, SERVICE)
        });
        view.replace(
            targets.collect(),
            StoreRevision::new(0, 1),
            Duration::ZERO,
            Duration::ZERO,
        );
        let keys = view.all().map(|(key, _)| key).collect();
        Self {
            opts,
            views: vec![view; ENTRIES],
            keys,
            running: vec![Vec::new(); TARGETS],
            shared: Vec::new(),
            asked: vec![vec![Duration::ZERO; ENTRIES]; TARGETS],
            outcome: Outcome::default(),
        }
    }

    fn advance(&mut self, now: Duration) {
        for (n, running) in self.running.iter_mut().enumerate() {
            let key = self.keys[n];
            for (_, entry) in running.extract_if(.., |(end, _)| *end <= now) {
                self.views[entry].get_mut(key).in_flight -= 1;
            }
        }
        for (at, n, time) in self.shared.extract_if(.., |(at, _, _)| *at <= now) {
            for view in &mut self.views {
                state(view, self.keys[n], Some(time), Source::Process, at);
            }
        }
    }

    fn rejects(&self, n: usize, entry: usize, now: Duration) -> bool {
        let within = |of: Duration, period: Duration| {
            let shift = period.as_millis() / TARGETS as u128 * n as u128;
            (now.as_millis() + shift) % period.as_millis() < of.as_millis()
        };
        match self.opts.rejects {
            Rejects::All { of, period } => within(of, period),
            Rejects::Some { of, period } => entry < 2 && within(of, period),
            Rejects::Full => self.running[n].len() >= SLOTS as usize,
        }
    }

    fn request(&mut self, rng: &mut StdRng, now: Duration) {
        self.outcome.requests += 1;
        let entry = rng.random_range(0..ENTRIES);
        let run = ms(rng.random_range(100..400));
        let mut tried = Vec::new();
        let salt = rng.random();
        while tried.len() < MAX_SENDS {
            let opts = choose::Options {
                service: SERVICE,
                model: None,
                adapter: None,
                tokens: 0,
                shared: None,
                data_centre: "dc",
                tried: &tried,
                salt,
                suspects: false,
                version: None,
                connections: choose::Connections::UNBOUNDED,
                pause: None,
                placement: choose::Placement::CURRENT,
            };
            let Some(chosen) = choose::choose(&self.views[entry], &opts, now) else {
                return;
            };
            let key = chosen.key;
            let n = self.keys.iter().position(|k| *k == key).expect("known");
            tried.push(key);
            let target_state = self.views[entry].get_mut(key);
            target_state.availability.record_send(now);
            self.outcome.within += usize::from(now < self.asked[n][entry]);
            if !self.rejects(n, entry, now) {
                state(&mut self.views[entry], key, None, Source::Response, now);
                self.views[entry].get_mut(key).in_flight += 1;
                self.running[n].push((now + run, entry));
                self.outcome.served += 1;
                return;
            }
            self.outcome.rejected += 1;
            let time = self.opts.retry_after;
            self.asked[n][entry] = self.asked[n][entry].max(now + time);
            state(
                &mut self.views[entry],
                key,
                Some(time),
                Source::Response,
                now,
            );
            if self.opts.way == Way::Shared {
                self.shared.push((now + SHARE_DELAY, n, time - SHARE_DELAY));
            }
        }
    }
}

fn state(
    view: &mut View,
    key: TargetKey,
    backoff: Option<Duration>,
    source: Source,
    now: Duration,
) {
    let incarnation = view.get(key).target.incarnation();
    let statement = Statement {
        draining: false,
        backoff,
    };
    view.apply_statement(&incarnation, &statement, source, now);
}

fn play(opts: Options, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut play = Play::new(opts);
    let mut now = Duration::ZERO;
    while now < DURATION {
        let pause: f64 = rng.random_range(0.0..2.0);
        now += Duration::from_secs_f64(pause / opts.per_s);
        play.advance(now);
        play.request(&mut rng, now);
    }
    play.outcome
}

/// Served requests, and rejections for each request, in percent, over all seeds.
fn both(opts: Options) -> (f64, f64) {
    let outcomes: Vec<Outcome> = (1..=SEEDS).map(|seed| play(opts, seed)).collect();
    assert!(outcomes.iter().all(|o| o.within == 0), "{opts:?}");
    let sum = |of: fn(&Outcome) -> usize| outcomes.iter().map(of).sum::<usize>() as f64;
    let requests = sum(|o| o.requests);
    (
        100.0 * sum(|o| o.served) / requests,
        100.0 * sum(|o| o.rejected) / requests,
    )
}

// Entries keep a backoff that a full target has asked another one for, and refuse more than they have to; or a target
// gets a request within a time that it has asked for.
#[test]
fn own_backoffs() {
    let mut losses = (0.0_f64, 0.0_f64);
    let (of, period) = (ms(1000), ms(4000));
    let cases = [
        ("all", Rejects::All { of, period }, 80.0),
        (
            "all, long",
            Rejects::All {
                of: ms(3000),
                period,
            },
            80.0,
        ),
        ("some", Rejects::Some { of, period }, 80.0),
        ("full", Rejects::Full, 80.0),
        ("full, over", Rejects::Full, 120.0),
    ];
    for (name, rejects, per_s) in cases {
        for retry_after in [ms(500), ms(1000), ms(3000)] {
            let way = |way| {
                both(Options {
                    rejects,
                    retry_after,
                    per_s,
                    way,
                })
            };
            let (own, shared) = (way(Way::Own), way(Way::Shared));
            println!(
                "{name:10} {retry_after:4?}: own served {:5.1}% rejected {:5.1}%, shared served {:5.1}% rejected {:5.1}%",
                own.0, own.1, shared.0, shared.1
            );
            losses.0 = losses.0.max(shared.0 - own.0);
            losses.1 = losses.1.max(own.0 - shared.0);
            if matches!(rejects, Rejects::Full) {
                assert!(own.0 > shared.0, "{name} {retry_after:?}");
            }
        }
    }
    println!(
        "most lost: own {:.1}, shared {:.1} in 100",
        losses.0, losses.1
    );
    assert!(losses.0 < losses.1);
}
