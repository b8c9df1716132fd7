//! Reduces the traffic share of slow or failing targets, and restores it when they recover.
//!
//! The weight of a target changes gradually, so that its load does not move to the others at once, and
//! never falls to zero, so that its recovery is noticed.
//!
//! A target is compared with the median of all responses, not with a fixed time. When all targets are
//! slow the median is slow too and no weight is reduced; otherwise a fleet under load would take
//! itself out of service target by target.

use std::time::Duration;

use stair_types::TargetKey;

/// Parameters of the weights.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Ratio of a target's average latency to the median up to which its weight is not reduced. Smaller
    /// differences are mostly due to the requests.
    pub tolerated_ratio: f64,
    /// Least weight of a target, enough to notice its recovery within about a minute. Half of the default
    /// slows the recovery down without a better p99 latency.
    pub min_weight: f32,
    /// Weight of one observation in a target's averages. With the default, about seven responses
    /// determine an average.
    pub smoothing: f64,
    /// Fraction of the distance to the deserved weight that one observation moves the weight, so that
    /// the load of a target moves to the others over several responses.
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

/// The outcome of a request at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target responded.
    Completed,
    /// The target or the connection to it failed. Refusals are due to load and do not count as
    /// failures.
    Failed,
}

#[derive(Debug, Clone, Copy)]
struct TargetStats {
    target: TargetKey,
    /// Average of the logarithm of the latency in seconds, so that a single very slow response does not
    /// dominate.
    log_latency: f64,
    fail_rate: f64,
    weight: f32,
}

/// The weights of the targets that one entry sends to.
#[derive(Debug, Clone)]
pub struct TrafficWeights {
    opts: Options,
    /// Sorted by target.
    states: Vec<TargetStats>,
    median: Option<Median>,
    fail_rate: f64,
}

impl TrafficWeights {
    /// Creates a state in which all targets have the full weight.
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            states: Vec::new(),
            median: None,
            fail_rate: 0.0,
        }
    }

    /// Records the outcome of a request.
    ///
    /// `latency` is the time to the first token minus the wait that the target reported, so that a queue
    /// or a cold start does not count as slowness. The latency of a failure is not used, since many
    /// failures are fast.
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

    /// Returns the weight of a target; 1, the full weight, without observations.
    pub fn weight(&self, target: TargetKey) -> f32 {
        let at = self.states.binary_search_by_key(&target, |s| s.target);
        at.map_or(1.0, |i| self.states[i].weight.max(self.opts.min_weight))
    }

    /// Drops the state of a target that was removed or has a new incarnation.
    pub fn forget(&mut self, target: TargetKey) {
        if let Ok(at) = self.states.binary_search_by_key(&target, |s| s.target) {
            self.states.remove(at);
        }
    }

    /// Weight by the ratio to the tolerated latency, and by the failure rate in excess of that of all
    /// targets.
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

/// Exponent of the weight's decrease beyond the tolerated ratio. A target three times slower than the
/// others is reduced to the least weight; with half the exponent it gets enough traffic to raise p99 by
/// 8%.
const LATENCY_EXPONENT: f64 = 6.0;

/// Lower bound of latencies; also prevents the logarithm of zero.
const MIN_LATENCY: Duration = Duration::from_micros(100);

/// Step of the median per observation, in logarithm: 5%. A doubling of the latency is followed within
/// about fifteen responses.
const MEDIAN_STEP: f64 = 0.05;

/// A running median in constant memory: each observation moves it by at most one step.
///
/// A mean would be raised by a single slow target and hide it.
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
