//! Simulates several entries that choose among the targets of one model.

use std::collections::VecDeque;

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use stair_policy::{
    choose::{
        Candidate,
        Options,
        affinity_target, //
        order,
    },
    traffic_weights::{
        Options as WeightOptions,
        Outcome,
        TrafficWeights, //
    },
};
use stair_types::TargetKey;

use crate::{
    paper::{
        Detector,
        Mean, //
    },
    table::{
        Samples,
        exponential,
        secs, //
    },
};

/// The rule by which an entry chooses.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Rule {
    RoundRobin,
    LeastReported,
    LeastInFlight,
    /// The choice under test without weights; the slow target is never chosen while it is slow.
    Oracle,
    /// Always the affinity target of the prompt's prefix.
    AffinityTarget,
    /// The choice under test with affinity.
    Affinity,
    /// The choice under test without weights.
    Choose,
    /// The choice under test with the weights of `traffic_weights`.
    TrafficWeights,
    /// The choice under test with weights by the paper's rule.
    Paper(Mean),
}

/// A scenario. Times are in seconds.
#[derive(Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) entries: usize,
    pub(crate) targets: usize,
    pub(crate) slots: usize,
    pub(crate) load: f64,
    pub(crate) report_interval: f64,
    pub(crate) slow: Slow,
    /// Number of prefixes, one of which each prompt begins with; 0 for none.
    pub(crate) prefixes: usize,
    pub(crate) span: f64,
    pub(crate) seed: u64,
}

/// The targets that are slow in the second third of the span, and the factor of their latency.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Slow {
    Nobody,
    One(f64),
    All(f64),
    /// All by the first factor, and the first target additionally by the second.
    AllAndOne(f64, f64),
}

/// The results of a run.
pub(crate) struct Report {
    pub(crate) latency: Samples,
    /// Latency in the slow third without its first 10 s.
    pub(crate) latency_slow: Samples,
    /// Requests sent to target 0 in the slow third without its first 10 s.
    pub(crate) to_slow: u64,
    /// All requests sent in that time.
    pub(crate) all_then: u64,
    /// Requests sent to target 0 in the last third without its first 30 s.
    pub(crate) to_recovered: u64,
    /// All requests sent in that time.
    pub(crate) all_recovered: u64,
    /// Lowest weight of any target but the first, at any entry.
    pub(crate) lowest_healthy: f32,
    /// Requests whose prefix was cached.
    pub(crate) hits: u64,
    /// Greatest number of requests sent to one target.
    pub(crate) busiest: u64,
}

/// Seconds of prefill of a prefix that is not cached.
const PREFILL: f64 = 0.3;

/// Number of prefixes that a target caches.
const CACHED: usize = 4;

const MEAN_RUN: f64 = 0.2;

struct Target {
    /// The time at which each slot becomes free.
    slots: Vec<f64>,
    /// The cached prefixes, the latest first.
    cache: Vec<usize>,
    got: u64,
    reported_wait: f64,
    reported_at: f64,
}

struct Entry {
    rng: StdRng,
    in_flight: Vec<u16>,
    next_target: usize,
    traffic_weights: TrafficWeights,
    paper: Detector,
}

/// A response in transit: its arrival at an entry, the entry, the target and the run.
struct Response {
    at: f64,
    entry: usize,
    target: usize,
    run: f64,
}

struct Bench {
    scenario: Scenario,
    rule: Rule,
    targets: Vec<Target>,
    entries: Vec<Entry>,
    responses: VecDeque<Response>,
    report: Report,
}

/// Draws a prefix by Zipf's law: the n-th is requested 1/n times as often as the first.
fn popular(rng: &mut StdRng, prefixes: usize) -> Option<usize> {
    let whole: f64 = (1..=prefixes).map(|n| 1.0 / n as f64).sum();
    let mut left = rng.random_range(0.0..1.0) * whole;
    (0..prefixes).find(|n| {
        left -= 1.0 / (n + 1) as f64;
        left <= 0.0
    })
}

pub(crate) fn run(scenario: Scenario, rule: Rule) -> Report {
    let mut bench = Bench::new(scenario, rule);
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let rate = scenario.load * (scenario.targets * scenario.slots) as f64 / MEAN_RUN;
    let mut now = 0.0;
    while now < scenario.span {
        now += exponential(&mut rng, 1.0 / rate);
        bench.deliver(now);
        bench.publish(now);
        let entry = rng.random_range(0..scenario.entries);
        let run = exponential(&mut rng, MEAN_RUN).max(0.02);
        let prefix = popular(&mut rng, scenario.prefixes);
        bench.send(now, entry, run, prefix);
    }
    bench.report
}

impl Bench {
    fn new(scenario: Scenario, rule: Rule) -> Self {
        let targets = (0..scenario.targets).map(|t| Target {
            slots: vec![0.0; scenario.slots],
            cache: Vec::new(),
            got: 0,
            reported_wait: 0.0,
            // Targets do not report at the same moment.
            reported_at: -scenario.report_interval * t as f64 / scenario.targets as f64,
        });
        let entries = (0..scenario.entries).map(|e| Entry {
            rng: StdRng::seed_from_u64(e as u64),
            in_flight: vec![0; scenario.targets],
            next_target: e,
            traffic_weights: TrafficWeights::new(WeightOptions::default()),
            paper: Detector::new(scenario.targets, rule.mean()),
        });
        Self {
            scenario,
            rule,
            targets: targets.collect(),
            entries: entries.collect(),
            responses: VecDeque::new(),
            report: Report {
                latency: Samples::new(),
                latency_slow: Samples::new(),
                to_slow: 0,
                all_then: 0,
                to_recovered: 0,
                all_recovered: 0,
                lowest_healthy: 1.0,
                hits: 0,
                busiest: 0,
            },
        }
    }

    /// Delivers the responses that are due to their entries.
    fn deliver(&mut self, now: f64) {
        while self.responses.front().is_some_and(|a| a.at <= now) {
            let Some(a) = self.responses.pop_front() else {
                break;
            };
            let entry = &mut self.entries[a.entry];
            entry.in_flight[a.target] -= 1;
            let key = TargetKey(a.target as u32);
            entry
                .traffic_weights
                .observe(key, secs(a.run), Outcome::Completed);
            entry.paper.observe(a.target, a.run);
            for t in 1..self.scenario.targets {
                let weight = entry.weight(self.rule, t);
                self.report.lowest_healthy = self.report.lowest_healthy.min(weight);
            }
        }
    }

    fn publish(&mut self, now: f64) {
        for t in &mut self.targets {
            if now - t.reported_at >= self.scenario.report_interval {
                t.reported_at = now;
                t.reported_wait = t.wait(now);
            }
        }
    }

    fn send(&mut self, now: f64, entry: usize, run: f64, prefix: Option<usize>) {
        let target = self.pick(now, entry, prefix);
        let slow = self.slowness(now, target);
        let run = run * slow + self.prefill(target, prefix);
        let t = &mut self.targets[target];
        let start = now + t.wait(now);
        let slot = t.first_free();
        t.got += 1;
        self.report.busiest = self.report.busiest.max(t.got);
        t.slots[slot] = start + run;
        self.entries[entry].in_flight[target] += 1;
        let at = start + run;
        let response = Response {
            at,
            entry,
            target,
            run,
        };
        let index = self.responses.partition_point(|a| a.at <= at);
        self.responses.insert(index, response);
        self.note(now, target, at - now);
    }

    fn prefill(&mut self, target: usize, prefix: Option<usize>) -> f64 {
        let Some(prefix) = prefix else {
            return 0.0;
        };
        let cache = &mut self.targets[target].cache;
        let hit = cache.contains(&prefix);
        cache.retain(|p| *p != prefix);
        cache.insert(0, prefix);
        cache.truncate(CACHED);
        self.report.hits += u64::from(hit);
        if hit { 0.0 } else { PREFILL }
    }

    fn note(&mut self, now: f64, target: usize, latency: f64) {
        self.report.latency.add(latency);
        if self.is_slow(now) && self.is_slow(now - 10.0) {
            self.report.latency_slow.add(latency);
            self.report.all_then += 1;
            self.report.to_slow += u64::from(target == 0);
        }
        if now > self.scenario.span * 2.0 / 3.0 + 30.0 {
            self.report.all_recovered += 1;
            self.report.to_recovered += u64::from(target == 0);
        }
    }

    fn is_slow(&self, now: f64) -> bool {
        let third = self.scenario.span / 3.0;
        (third..2.0 * third).contains(&now)
    }

    fn slowness(&self, now: f64, target: usize) -> f64 {
        match self.scenario.slow {
            Slow::One(factor) if target == 0 && self.is_slow(now) => factor,
            Slow::AllAndOne(all, one) if target == 0 && self.is_slow(now) => all * one,
            Slow::AllAndOne(factor, _) | Slow::All(factor) if self.is_slow(now) => factor,
            _ => 1.0,
        }
    }

    fn affinity_of(&self, prefix: usize) -> Option<usize> {
        let targets = (0..self.scenario.targets as u32).map(|t| (TargetKey(t), u64::from(t)));
        affinity_target(prefix as u64, targets).map(|k| k.0 as usize)
    }

    fn pick(&mut self, now: f64, entry: usize, prefix: Option<usize>) -> usize {
        let affinity = prefix.and_then(|p| self.affinity_of(p));
        let avoid = self.rule == Rule::Oracle && self.is_slow(now);
        let reported = |t: usize| self.targets[t].reported_wait;
        let e = &mut self.entries[entry];
        let all = 0..self.scenario.targets;
        match self.rule {
            Rule::RoundRobin => {
                e.next_target += 1;
                e.next_target % self.scenario.targets
            }
            Rule::LeastReported => all
                .min_by(|a, b| reported(*a).total_cmp(&reported(*b)))
                .unwrap_or(0),
            Rule::LeastInFlight => {
                let from = e.rng.random_range(0..self.scenario.targets);
                let turned = all.map(|t| (t + from) % self.scenario.targets);
                turned.min_by_key(|t| e.in_flight[*t]).unwrap_or(0)
            }
            Rule::AffinityTarget => affinity.unwrap_or(0),
            Rule::Oracle
            | Rule::Affinity
            | Rule::Choose
            | Rule::TrafficWeights
            | Rule::Paper(_) => {
                let candidates: Vec<Candidate> = all
                    .filter(|t| *t > 0 || !avoid)
                    .map(|t| Candidate {
                        key: TargetKey(t as u32),
                        loaded: true,
                        expected_wait: secs(self.targets[t].reported_wait),
                        report_age: secs(now - self.targets[t].reported_at),
                        in_flight: e.in_flight[t],
                        cold_start: secs(0.0),
                        prefix_affinity: self.rule == Rule::Affinity && affinity == Some(t),
                        same_data_centre: true,
                        weight: e.weight(self.rule, t),
                    })
                    .collect();
                order(&Options::default(), &candidates, &mut e.rng)[0].0 as usize
            }
        }
    }
}

impl Entry {
    fn weight(&self, rule: Rule, target: usize) -> f32 {
        match rule {
            Rule::TrafficWeights => self.traffic_weights.weight(TargetKey(target as u32)),
            Rule::Paper(_) => self.paper.weight(target),
            _ => 1.0,
        }
    }
}

impl Rule {
    fn mean(self) -> Mean {
        match self {
            Self::Paper(mean) => mean,
            _ => Mean::OnTheFly,
        }
    }
}

impl Target {
    fn first_free(&self) -> usize {
        let slots = self.slots.iter().enumerate();
        let first = slots.min_by(|a, b| a.1.total_cmp(b.1));
        first.map_or(0, |(i, _)| i)
    }

    fn wait(&self, now: f64) -> f64 {
        (self.slots[self.first_free()] - now).max(0.0)
    }
}
