//! Takes share from slow or failing targets and gives it back.
//!
//! The load it is made for: one target of many that became slow or fails, and the whole fleet slow
//! under load. The harms it prevents: callers of one slow target waiting while others idle; the
//! load of a slow target thrown onto the rest at once; a target that recovered and is never asked
//! again; a fleet under load that takes itself out of service target by target.
//!
//! A target is compared with the median of all answers, not with a fixed time: when all are slow
//! together the median is slow too, and nobody loses share.

use std::time::Duration;

use stair_types::TargetKey;

/// Limits of the shift.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// A target's average may be so many times the median before it loses share. Below, the
    /// difference is mostly that of the work.
    pub tolerated_ratio: f64,
    /// Share that the worst target keeps. Enough to see it recover within a minute or so; half of
    /// it made the recovery slower and p99 no better.
    pub min_weight: f32,
    /// Weight of one observation in a target's average: about seven answers decide.
    pub smoothing: f64,
    /// Part of the way to the share deserved that one observation moves. The load taken from one
    /// target reaches the others over some answers, not at once.
    pub step_fraction: f32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            tolerated_ratio: 1.5,
            min_weight: 0.02,
            smoothing: 0.15,
            step_fraction: 0.2,
        }
    }
}

/// How a request ended at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Completed,
    /// The target or the link to it failed. Refusals are not failures: they are load.
    Failed,
}

#[derive(Debug, Clone, Copy)]
struct TargetStats {
    target: TargetKey,
    /// Average of the logarithm of latency: one very slow answer counts, and does not decide.
    log_latency: f64,
    fail_rate: f64,
    weight: f32,
}

/// The shares of the targets that one entry sends to.
#[derive(Debug, Clone)]
pub struct TrafficWeights {
    opts: Options,
    /// Sorted by target.
    states: Vec<TargetStats>,
    median: Option<Median>,
    fail_rate: f64,
}

impl TrafficWeights {
    /// Makes a state in which all targets have their full share.
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            states: Vec::new(),
            median: None,
            fail_rate: 0.0,
        }
    }

    /// Notes how a request went.
    ///
    /// `latency` is the time to the first token beyond the wait that the target itself reported,
    /// so that a queue or a cold start does not count as slowness. Latency of a failure is not
    /// used: many failures are fast.
    pub fn observe(&mut self, target: TargetKey, latency: Duration, outcome: Outcome) {
        let failed = f64::from(u8::from(outcome == Outcome::Failed));
        let log = latency.max(MIN_LATENCY).as_secs_f64().ln();
        self.fail_rate += (failed - self.fail_rate) * self.opts.smoothing;
        if outcome == Outcome::Completed {
            self.median.get_or_insert_with(|| Median::new(log)).add(log);
        }
        let at = self.find_or_add(target, log);
        let state = &mut self.states[at];
        state.fail_rate += (failed - state.fail_rate) * self.opts.smoothing;
        if outcome == Outcome::Completed {
            state.log_latency += (log - state.log_latency) * self.opts.smoothing;
        }
        let deserved_weight = self.deserved_weight(&self.states[at]);
        let state = &mut self.states[at];
        state.weight += (deserved_weight - state.weight) * self.opts.step_fraction;
    }

    /// Returns the target's share: 1 is the full one. A target not seen has it.
    pub fn weight(&self, target: TargetKey) -> f32 {
        let at = self.states.binary_search_by_key(&target, |s| s.target);
        at.map_or(1.0, |i| self.states[i].weight.max(self.opts.min_weight))
    }

    /// Forgets a target that has gone or has a new incarnation.
    pub fn forget(&mut self, target: TargetKey) {
        if let Ok(at) = self.states.binary_search_by_key(&target, |s| s.target) {
            self.states.remove(at);
        }
    }

    /// Share by how many times slower than tolerated, and by failures beyond those of all.
    fn deserved_weight(&self, state: &TargetStats) -> f32 {
        let median = self.median.as_ref().map_or(state.log_latency, |m| m.value);
        let excess = state.log_latency - median - self.opts.tolerated_ratio.ln();
        let by_latency = (-LATENCY_EXPONENT * excess.max(0.0)).exp();
        let failures = (state.fail_rate - self.fail_rate).max(0.0);
        let by_failures = (1.0 - failures).powi(4);
        let share = by_latency * by_failures;
        (share as f32).max(self.opts.min_weight)
    }

    fn find_or_add(&mut self, target: TargetKey, log: f64) -> usize {
        match self.states.binary_search_by_key(&target, |s| s.target) {
            Ok(at) => at,
            Err(at) => {
                let log_latency = self.median.as_ref().map_or(log, |m| m.value);
                let state = TargetStats {
                    target,
                    log_latency,
                    fail_rate: 0.0,
                    weight: 1.0,
                };
                self.states.insert(at, state);
                at
            }
        }
    }
}

/// Power with which the share falls beyond the tolerated ratio: a target three times slower than the
/// others is down to the trickle. With half of it such a target kept enough to raise p99 by 8%.
const LATENCY_EXPONENT: f64 = 6.0;

/// Latencies below this are not told apart; also guards the logarithm of zero.
const MIN_LATENCY: Duration = Duration::from_micros(100);

/// How far one observation moves the median, in logarithm: 5%. Twice slower is followed within
/// some fifteen answers.
const MEDIAN_STEP: f64 = 0.05;

/// A running median in constant memory: each observation moves it one step towards itself.
///
/// A mean would move with the one slow target and hide it.
#[derive(Debug, Clone, Copy)]
struct Median {
    value: f64,
}

impl Median {
    fn new(value: f64) -> Self {
        Self { value }
    }

    fn add(&mut self, observed: f64) {
        let step_fraction = (observed - self.value).clamp(-MEDIAN_STEP, MEDIAN_STEP);
        self.value += step_fraction;
    }
}
