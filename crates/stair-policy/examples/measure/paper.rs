//! The detection rule of "Providing Predictive Self-Healing for Web Services: A QoS Monitoring and
//! Analysis-based Approach", as a candidate beside the plain outlier rule of `traffic_weights`.
//!
//! A target is degraded after [`SUCCESSIVE`] successive execution times above the mean plus a tolerated
//! delay, which is the standard deviation. The paper separates execution from communication time with
//! two clocks; this measurement passes the execution time alone. The paper defines no reaction: here
//! the weight is halved with each alarm, and doubled after as many successive times below the
//! threshold.

/// The mean that execution times are compared with.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Mean {
    /// Over the first [`PRE_COMPUTED_SAMPLES`] responses, then fixed.
    PreComputed,
    /// A moving average over all responses.
    OnTheFly,
}

const SUCCESSIVE: u32 = 3;
const PRE_COMPUTED_SAMPLES: u32 = 1_000;
const SMOOTHING: f64 = 0.005;
const TRICKLE: f32 = 0.02;

#[derive(Clone, Copy)]
struct State {
    violations: u32,
    good: u32,
    weight: f32,
}

pub(crate) struct Detector {
    kind: Mean,
    states: Vec<State>,
    samples: u32,
    mean: f64,
    square: f64,
}

impl Detector {
    pub(crate) fn new(targets: usize, kind: Mean) -> Self {
        let fresh = State {
            violations: 0,
            good: 0,
            weight: 1.0,
        };
        Self {
            kind,
            states: vec![fresh; targets],
            samples: 0,
            mean: 0.0,
            square: 0.0,
        }
    }

    pub(crate) fn observe(&mut self, target: usize, execution: f64) {
        self.samples += 1;
        let fixed = self.kind == Mean::PreComputed && self.samples > PRE_COMPUTED_SAMPLES;
        if !fixed {
            let part = SMOOTHING.max(1.0 / f64::from(self.samples));
            self.mean += (execution - self.mean) * part;
            self.square += (execution * execution - self.square) * part;
        }
        let deviation = (self.square - self.mean * self.mean).max(0.0).sqrt();
        let violation = execution > self.mean + deviation;
        let s = &mut self.states[target];
        match violation {
            true => {
                s.violations += 1;
                s.good = 0;
            }
            false => {
                s.violations = 0;
                s.good += 1;
            }
        }
        if s.violations >= SUCCESSIVE {
            s.violations = 0;
            s.weight = (s.weight / 2.0).max(TRICKLE);
        }
        if s.good >= SUCCESSIVE {
            s.good = 0;
            s.weight = (s.weight * 2.0).min(1.0);
        }
    }

    pub(crate) fn weight(&self, target: usize) -> f32 {
        self.states[target].weight
    }
}
