//! Plays of engines of uneven speed with long prompts beside short streams.

mod support;

#[path = "support/engines.rs"]
mod engines;

use std::time::Duration;

use engines::{
    Engine,
    Kind,
    MODELS,
    Run,
    TICK_MS, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use stair_fleet::{
    View,
    choose::{
        self,
        Placement, //
    },
    engine_estimate::{
        Sampler,
        load_spread, //
    },
    prefill::{
        PrefixBlock,
        Request, //
    },
    view::TargetKey, //
};
use support::{
    NOW,
    SERVICE,
    fleet,
    ms,
    options, //
};

/// Interval in which agents read their engines.
const READ_MS: u64 = 250;

/// Interval of the agents' reports.
const REPORT_MS: u64 = 500;

/// Interval in which an entry sends its measurements.
const SEND_MS: u64 = 750;

/// Time constant of the use of an engine, as agents count it.
const USE_TIME_CONSTANT_MS: f64 = 1800.0;

const PAUSE: Duration = Duration::from_millis(500);

const LONG: Kind = Kind {
    shared: 6300,
    own: 2890,
    events: 9,
};

const SHORT: Kind = Kind {
    shared: 198,
    own: 628,
    events: 49,
};

#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    short: usize,
    paused: usize,
    long: usize,
    refused: usize,
}

struct Play {
    placement: Placement,
    /// Whether the engines' speeds are estimated; not with entries of the previous release.
    paced: bool,
    /// Whether each engine is very slow for some time.
    noise: bool,
    engines: Vec<Engine>,
    view: View,
    keys: Vec<TargetKey>,
    rng: StdRng,
    now: u64,
    counts: Counts,
    /// The sum of the spreads of load by each second, and their number.
    spread: (f64, f64),
    long_per_s: f64,
    short_per_s: f64,
}

impl Play {
    fn new(speeds: &[f64], placement: Placement, seed: u64) -> Self {
        let engines: Vec<Engine> = speeds.iter().map(|s| Engine::new(*s)).collect();
        let reports = engines.iter().enumerate().map(|(n, e)| e.report(n, NOW));
        let (view, keys) = fleet(reports.collect());
        Self {
            placement,
            paced: true,
            noise: false,
            engines,
            view,
            keys,
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            counts: Counts::default(),
            spread: (0.0, 0.0),
            long_per_s: 0.0,
            short_per_s: 0.0,
        }
    }

    fn time(&self) -> Duration {
        NOW + ms(self.now)
    }

    fn run(&mut self, seconds: u64) {
        self.step_ms(1000 * seconds);
    }

    fn step_ms(&mut self, time: u64) {
        let until = self.now + time;
        while self.now < until {
            for (kind, per_s) in [(LONG, self.long_per_s), (SHORT, self.short_per_s)] {
                if self.rng.random_bool(per_s * TICK_MS as f64 / 1000.0) {
                    self.send(kind);
                }
            }
            self.now += TICK_MS;
            let now = self.time();
            if self.noise {
                self.make_noise();
            }
            let mut ended = Vec::new();
            for (n, engine) in self.engines.iter_mut().enumerate() {
                engine.run_until(now.as_secs_f64() * 1000.0, &mut ended);
                for work in &mut engine.work {
                    *work *= (-(TICK_MS as f64) / USE_TIME_CONSTANT_MS).exp();
                }
                let phase = self.now + 37 * n as u64;
                if phase % SEND_MS < TICK_MS {
                    let streams = engine.streams();
                    let samples = std::mem::take(&mut engine.samples);
                    if self.paced {
                        engine.prefills.record_events(&samples, streams, now);
                    }
                    let measured = std::mem::take(&mut engine.measured);
                    measured.iter().for_each(|m| engine.prefills.record(m));
                }
                if phase % READ_MS < TICK_MS {
                    engine.prefills.update_pace(engine.streams(), now);
                }
                if phase % REPORT_MS < TICK_MS {
                    let report = engine.report(n, now);
                    let addr = support::addr(n);
                    self.view.set_inventory_at(addr, report.inventory, now);
                    self.view.set_load_at(addr, report.load, now);
                }
            }
            for run in ended {
                let paused = run.longest_pause > PAUSE.as_secs_f64() * 1000.0;
                if run.kind.events == SHORT.events {
                    self.counts.short += 1;
                    self.counts.paused += usize::from(paused);
                }
            }
            if self.now.is_multiple_of(1000) {
                let spread = load_spread(&self.view, SERVICE, now);
                self.spread.0 += spread.unwrap_or(1.0);
                self.spread.1 += 1.0;
            }
        }
    }

    /// Makes each engine 2.5 times as slow for 0.6 s in every 8 s.
    fn make_noise(&mut self) {
        for (n, engine) in self.engines.iter_mut().enumerate() {
            let is_slow = (self.now + 977 * n as u64) % 8000 < 600;
            engine.speed = SPEEDS[n] / if is_slow { 2.5 } else { 1.0 };
        }
    }

    fn send(&mut self, kind: Kind) {
        let model = self.rng.random_range(0..MODELS.len());
        let prefix =
            100 * model as u64 + self.rng.random_range(0..30) + 10_000 * u64::from(kind.events);
        let now = self.time();
        let opts = choose::Options {
            tokens: u64::from(kind.shared + kind.own),
            shared: Some((kind.shared.into(), prefix)),
            pause: Some(PAUSE),
            placement: self.placement,
            salt: self.rng.random(),
            ..options(MODELS[model])
        };
        let mut tried = Vec::new();
        for _ in 0..3 {
            let opts = choose::Options {
                tried: &tried,
                ..opts
            };
            let Some(best) = choose::choose(&self.view, &opts, now) else {
                break;
            };
            let n = self
                .keys
                .iter()
                .position(|k| *k == best.key)
                .expect("known");
            let engine = &mut self.engines[n];
            let request = Request {
                model: MODELS[model].into(),
                blocks: vec![
                    PrefixBlock {
                        chain: prefix,
                        tokens: kind.shared,
                    },
                    PrefixBlock {
                        chain: self.rng.random(),
                        tokens: kind.own,
                    },
                ],
                tokens: kind.shared + kind.own,
                max_wait: ms(700),
                urgent_max_wait: None,
                pause: Some(PAUSE),
                first: true,
            };
            let reply = engine.prefills.reserve(&request, 240_653, now);
            self.view
                .set_prefill_until(support::addr(n), now + reply.backlog);
            if !reply.reserved {
                tried.push(best.key);
                continue;
            }
            let work = engine.prefills.prefill_time(&request, reply.cached);
            engine.work[model] += work.as_secs_f64() * 1000.0 / USE_TIME_CONSTANT_MS;
            engine.assigned += f64::from(request.tokens - reply.cached);
            engine.runs.push(Run {
                model,
                kind,
                at: (now + reply.wait).as_secs_f64() * 1000.0,
                unread: f64::from(request.tokens - reply.cached),
                prefill_time: reply.prefill_time,
                tokens: 0,
                events: 0,
                last_event: 0.0,
                longest_pause: 0.0,
                sampler: Sampler::default(),
            });
            self.counts.long += usize::from(kind.events == LONG.events);
            return;
        }
        self.counts.refused += 1;
    }

    fn take_assigned(&mut self) -> Vec<f64> {
        let all = self.engines.iter_mut();
        all.map(|e| std::mem::take(&mut e.assigned)).collect()
    }
}

const SPEEDS: [f64; 9] = [1.2, 1.2, 1.2, 0.55, 0.55, 0.55, 1.2, 0.55, 1.2];

/// Long prompts a second that take the prefill time which the bursts leave, all but a fifth.
const HIGH_LOAD: f64 = 30.0;

/// Long prompts a second with which some of them have to be refused.
const OVERLOAD: f64 = 36.0;

/// Starts a play, and runs it until the estimates have settled.
fn play(placement: Placement, long_per_s: f64, seed: u64) -> Play {
    let mut play = Play::new(&SPEEDS, placement, seed);
    play.paced = placement != Placement::Fixed;
    play.long_per_s = long_per_s;
    play.short_per_s = 20.0;
    play.run(15);
    play.take_assigned();
    play.counts = Counts::default();
    play.spread = (0.0, 0.0);
    play
}

/// Three plays of 40 s.
fn plays(placement: Placement, long_per_s: f64, noise: bool) -> Counts {
    let mut sum = Counts::default();
    for seed in 0..3 {
        let mut play = play(placement, long_per_s, seed);
        play.noise = noise;
        play.run(40);
        sum.short += play.counts.short;
        sum.paused += play.counts.paused;
        sum.long += play.counts.long;
        sum.refused += play.counts.refused;
    }
    sum
}

/// Engines run at 0.55 and 1.2 of the usual speed, and get work by one rate for all. The slow ones are
/// overloaded, and their streams pause. The load of the busiest one must be at most 1.5 times the mean,
/// each by its own capacity.
#[test]
fn work_in_proportion_to_speed() {
    for seed in 0..3 {
        let mut play = play(Placement::Share, HIGH_LOAD, seed);
        play.run(40);
        let spread = play.spread.0 / play.spread.1;
        assert!(spread <= 1.5, "{spread}");
        let work = play.take_assigned();
        let own: Vec<f64> = work.iter().zip(SPEEDS).map(|(w, s)| w / s).collect();
        let mean = own.iter().sum::<f64>() / own.len() as f64;
        let busiest = own.iter().copied().fold(0.0, f64::max);
        assert!(busiest <= 1.5 * mean, "{own:?}");
    }
}

/// An engine becomes half as fast for ten seconds. From two seconds after the change on it must get
/// about half of its work, and from two seconds after its recovery all of it.
#[test]
fn change_of_speed_and_back() {
    let mut work = [0.0; 3];
    for seed in 0..8 {
        let mut play = play(Placement::Share, HIGH_LOAD, seed);
        for (speed, work) in [1.2, 0.6, 1.2].into_iter().zip(&mut work) {
            play.engines[0].speed = speed;
            play.run(2);
            play.take_assigned();
            play.run(8);
            *work += play.take_assigned()[0];
        }
    }
    let [before, slow, after] = work;
    assert!((0.35..=0.65).contains(&(slow / before)), "{work:?}");
    assert!((0.85..=1.15).contains(&(after / before)), "{work:?}");
}

/// Long prompts run beside short streams. At most one short stream in fifty may pause for longer than
/// promised, and no prompt may be refused for it that was served before.
#[test]
fn pauses_of_short_streams() {
    for long_per_s in [12.0, 24.0, HIGH_LOAD] {
        let fixed = plays(Placement::Fixed, long_per_s, false);
        let share = plays(Placement::Share, long_per_s, false);
        assert!(share.paused * 50 <= share.short, "{share:?}");
        assert!(share.paused <= fixed.paused, "{share:?} {fixed:?}");
        assert!(share.refused <= fixed.refused, "{share:?} {fixed:?}");
    }
}

/// More prompts arrive than all engines can read. By the constants the slow engines get as many as the
/// fast ones, and both more prompts are refused and more streams pause.
#[test]
fn overload() {
    let fixed = plays(Placement::Fixed, OVERLOAD, false);
    let share = plays(Placement::Share, OVERLOAD, false);
    assert!(share.refused < fixed.refused, "{share:?} {fixed:?}");
    assert!(share.paused * 2 < fixed.paused, "{share:?} {fixed:?}");
}

/// Each engine is 2.5 times as slow for 0.6 s in every 8 s, which no estimate can follow. What the estimates
/// make of it must not be worse than the constants.
#[test]
fn noise_of_engines() {
    for long_per_s in [12.0, 24.0, HIGH_LOAD] {
        let fixed = plays(Placement::Fixed, long_per_s, true);
        let share = plays(Placement::Share, long_per_s, true);
        assert!(share.paused <= fixed.paused, "{share:?} {fixed:?}");
        assert!(share.refused <= fixed.refused, "{share:?} {fixed:?}");
    }
}
