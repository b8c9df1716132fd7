//! Decides how long an idle model stays loaded.
//!
//! A model that is unloaded too late occupies an accelerator; one that is unloaded too early has its
//! next request wait for a cold start. Of hundreds of models and thousands of adapters few are busy, and
//! each has its own request pattern, so the time is computed for each of them.
//!
//! Each deployment configures the cost of a second of cold start in idle accelerator seconds. With
//! that and the observed idle times, the keep-alive time is the one with the lowest expected cost.
//! With few observations it is the break-even time (ski rental), which never costs more than twice
//! the optimum.

use std::time::Duration;

use stair_types::ModelKey;

/// How cold starts are weighed against idle time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Idle accelerator seconds that one second of cold start is worth. With 4, a fifth to a third
    /// fewer idle hours are spent than with a fixed keep-alive of a minute, at no more cold start. 8
    /// suits clients that cannot wait.
    pub cold_start_weight: f64,
    /// Least keep-alive time. Unloading a model and reloading it at once only uses up the store's load
    /// rate.
    pub min_idle: Duration,
    /// Longest keep-alive time. Longer idle times end in a cold start.
    pub max_idle: Duration,
    /// Observations needed before the histogram is used. With fewer, a single outlier would decide.
    pub min_samples: u16,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            cold_start_weight: 4.0,
            min_idle: Duration::from_secs(5),
            max_idle: Duration::from_secs(600),
            min_samples: 8,
        }
    }
}

/// Cost of reloading a model, and of keeping it loaded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// Expected time to load the model again from its present copy. A model in the host's memory is
    /// unloaded sooner than one that only the weight store has.
    pub cold_start: Duration,
    /// Fraction of the accelerator's memory that it occupies, up to 1. An adapter that occupies a
    /// twentieth is worth keeping twenty times as long as a model that fills the accelerator.
    pub memory_fraction: f64,
}

/// Lower bound of the memory fraction; also prevents a division by zero.
const MIN_MEMORY_FRACTION: f64 = 0.001;

/// Number of buckets. Bounds grow by [`GROWTH`]; the last bucket is unbounded.
const BUCKETS: usize = 20;

/// Ratio of neighbouring bucket bounds.
const GROWTH: f64 = 1.5;

/// Upper bound of the first bucket, in seconds. The last bound is about 37 minutes.
const FIRST_BOUND: f64 = 1.0;

/// When a bucket reaches this count all counts are halved, so that old observations lose weight.
const MAX_COUNT: u8 = 64;

/// The idle times of one model, in 32 bytes.
#[derive(Debug, Clone, Copy, Default)]
struct IdleHistogram {
    /// Time of the last request's arrival or end, in milliseconds since the start of the process plus
    /// one; 0 for none.
    last_used_ms: u64,
    counts: [u8; BUCKETS],
}

/// The idle times of all models of one process.
#[derive(Debug, Clone)]
pub struct KeepAlive {
    opts: Options,
    /// Indexed by model key.
    histograms: Vec<IdleHistogram>,
}

impl KeepAlive {
    /// Creates a state without observations.
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            histograms: Vec::new(),
        }
    }

    /// Replaces the options when a new configuration is in force; observations are kept.
    pub fn set_options(&mut self, opts: Options) {
        self.opts = opts;
    }

    /// Records the arrival of a request for the model, and the idle time before it.
    ///
    /// Idle times up to `min_idle` are not recorded: the model is kept for that time in any case, and the
    /// many short idle times of a burst would displace the few long ones that matter.
    pub fn used(&mut self, model: ModelKey, now: Duration) {
        let min_idle = self.opts.min_idle;
        let histogram = self.histogram(model);
        let last = histogram.last_used().unwrap_or(now);
        let idle = now.saturating_sub(last);
        if idle > min_idle {
            histogram.add(idle);
        }
        histogram.set_last_used(now);
    }

    /// Records the end of a request for the model, which restarts the idle time.
    pub fn finished(&mut self, model: ModelKey, now: Duration) {
        self.histogram(model).set_last_used(now);
    }

    fn histogram(&mut self, model: ModelKey) -> &mut IdleHistogram {
        let at = model.0 as usize;
        if at >= self.histograms.len() {
            self.histograms.resize(at + 1, IdleHistogram::default());
        }
        &mut self.histograms[at]
    }

    /// Returns the time until which the model stays loaded if no request for it arrives before.
    pub fn idle_until(&self, model: ModelKey, now: Duration, cost: &Cost) -> Duration {
        let histogram = self.histograms.get(model.0 as usize);
        let last_used = histogram.and_then(IdleHistogram::last_used).unwrap_or(now);
        let weight =
            self.opts.cold_start_weight.max(0.0) / cost.memory_fraction.max(MIN_MEMORY_FRACTION);
        let cold_start_cost = cost.cold_start.as_secs_f64() * weight;
        let seen = histogram.filter(|h| h.samples() >= u32::from(self.opts.min_samples));
        let idle = match seen {
            Some(h) => h.cheapest(cold_start_cost, &self.opts),
            None => cold_start_cost,
        };
        let min = self.opts.min_idle.as_secs_f64();
        let max = self.opts.max_idle.as_secs_f64().max(min);
        last_used + Duration::from_secs_f64(idle.clamp(min, max))
    }
}

impl IdleHistogram {
    fn last_used(&self) -> Option<Duration> {
        let ms = self.last_used_ms.checked_sub(1)?;
        Some(Duration::from_millis(ms))
    }

    fn set_last_used(&mut self, now: Duration) {
        let ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX - 1);
        self.last_used_ms = ms + 1;
    }

    fn add(&mut self, idle: Duration) {
        let at = bucket(idle.as_secs_f64());
        self.counts[at] += 1;
        if self.counts[at] >= MAX_COUNT {
            for count in &mut self.counts {
                *count /= 2;
            }
        }
    }

    fn samples(&self) -> u32 {
        self.counts.iter().map(|c| u32::from(*c)).sum()
    }

    /// Returns the keep-alive time, in seconds, with the lowest expected cost per idle time.
    ///
    /// A keep-alive time of `t` costs the idle time itself when the model is used before `t`, otherwise
    /// `t` plus the cold start.
    fn cheapest(&self, cold_start_cost: f64, opts: &Options) -> f64 {
        let mut best = opts.min_idle.as_secs_f64();
        let mut left = f64::from(self.samples());
        let mut best_cost = left * (best + cold_start_cost);
        let mut hits_idle = 0.0;
        for (at, count) in self.counts.iter().enumerate() {
            let t = bound(at);
            if t > opts.max_idle.as_secs_f64() {
                break;
            }
            let count = f64::from(*count);
            left -= count;
            hits_idle += count * middle(at);
            let cost = hits_idle + left * (t + cold_start_cost);
            if cost < best_cost {
                best_cost = cost;
                best = t;
            }
        }
        best
    }
}

fn bound(at: usize) -> f64 {
    FIRST_BOUND * GROWTH.powi(i32::try_from(at).unwrap_or(i32::MAX))
}

fn middle(at: usize) -> f64 {
    match at {
        0 => FIRST_BOUND / 2.0,
        _ => f64::midpoint(bound(at - 1), bound(at)),
    }
}

fn bucket(idle: f64) -> usize {
    (0..BUCKETS - 1)
        .find(|at| idle <= bound(*at))
        .unwrap_or(BUCKETS - 1)
}
