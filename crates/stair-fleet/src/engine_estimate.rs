//! Estimates the speed of one engine from the events of its streams.
//!
//! Engines differ in speed, and one engine's speed changes within a second. The pause between two
//! events of a stream is the time of the steps of one event, unless prefill runs between them, so
//! the short pauses show the speed. An entry measures them ([`Sampler`]) and sends them to the
//! engine's agent ([`EventTime`]). The agent estimates ([`Estimator`]) and reports the result
//! ([`Estimate`]) to all entries. An entry also keeps an estimator of its own measurements, for the
//! time without reports.
//!
//! The time of an event is modelled as the model's shortest time, times the slowdown at the number of
//! streams, divided by the engine's speed. The speed is a fraction of the engine's full one and follows
//! within a second. The other two are properties of the model and of the hardware. Prefill only ever
//! makes a time longer, so they fall at once and rise slowly.

use std::{
    ops::RangeInclusive,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::view::View;

/// Bounds of the estimated speed, as a fraction of the engine's full one. Engines have been seen at 0.4 of
/// it for some 0.6 s.
const SPEED_BOUNDS: RangeInclusive<f64> = 0.3..=1.0;

/// Bounds of one sample of the speed, as multiples of the present estimate.
const SAMPLE_BOUNDS: RangeInclusive<f64> = 0.4..=2.5;

/// Bounds of the time of an event, in milliseconds: one step of 1 ms up to 30 steps of 10 ms.
const EVENT_MS_BOUNDS: RangeInclusive<f64> = 1.0..=300.0;

/// Time constant of the speed. The samples of three quarters of a second change it by three quarters.
const SPEED_TIME_CONSTANT_S: f64 = 0.5;

/// Bounds of the time that one sample stands for, in seconds: samples that arrive together share
/// one interval, and the first sample after a gap must not replace the estimate.
const SAMPLE_TIME_BOUNDS_S: RangeInclusive<f64> = 0.05..=0.5;

/// Time constant with which the speed returns to the full one without samples. An engine without
/// requests could not show that it has become fast again.
const IDLE_TIME_CONSTANT_S: f64 = 10.0;

/// Weight of a second's longer samples in a model's time of an event.
const MODEL_PER_S: f64 = 0.02;

/// Weight of a second's longer samples in the slowdown at a number of streams.
const CROWDING_PER_S: f64 = 0.12;

/// The first range with a slowdown of its own: half of an engine's usual 64 slots. Below it, the time of a
/// step hardly depends on the number of streams, and prefill would be taken for a slowdown.
const MIN_CROWDED_BAND: usize = 4;

/// Largest slowdown at a number of streams.
const MAX_CROWDING: f64 = 4.0;

/// Models whose estimates are kept; an engine has far fewer loaded.
const MAX_MODELS: usize = 32;

/// Number of ranges of the number of streams.
pub const BANDS: usize = 8;

/// Streams in one range.
const BAND_STREAMS: u32 = 8;

/// Age of its newest sample from which on an estimate is not used.
pub const ESTIMATE_TTL: Duration = Duration::from_secs(30);

/// Pause below which two events arrived together, in milliseconds. The network or a busy VM
/// delivers events of several steps at once.
const TOGETHER_MS: f64 = 2.0;

/// Quantile of the pauses that is taken as the time of an event. An engine that reads prompts for
/// most of its time has a long pause after every few short ones.
const QUANTILE: f64 = 0.2;

/// Least number of pauses of a sample.
const MIN_PAUSES: usize = 4;

/// Least number of pauses of a sample that took longer than [`LONG_SAMPLE`].
const MIN_LONG_PAUSES: usize = 2;

/// Time after which fewer pauses are a sample: events that are so rare are late themselves.
const LONG_SAMPLE: Duration = Duration::from_millis(800);

/// Streams that do not all pause for [`SILENCE`] unless the engine is stalled.
const MIN_SILENT_STREAMS: u32 = 8;

/// Time without samples from which on an engine with streams counts as stalled: the longest interval in
/// which entries send them, and a promised pause.
const SILENCE: Duration = Duration::from_millis(1500);

/// Time without samples from which on entries may not measure any, as those of earlier releases.
const SILENCE_END: Duration = Duration::from_secs(4);

/// Speed of a stalled engine after a second, as a fraction of that before.
const STALLED_PER_S: f64 = 0.4;

/// Time over which one sample is measured.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Largest number of pauses of a sample.
const MAX_PAUSES: usize = 64;

/// The measured time of an event of one stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EventTime {
    /// The model.
    pub model: Box<str>,
    /// Time from one event to the next without prefill between them, in milliseconds.
    pub event_ms: f32,
}

/// Measures the time of an event of one stream by the arrival of its events.
#[derive(Debug, Default)]
pub struct Sampler {
    arrived: Option<Duration>,
    began: Duration,
    /// Pauses, each with the number of events that arrived at its end.
    pauses: Vec<(f64, u32)>,
}

impl Sampler {
    /// Records an event. Returns the time of an event whenever enough pauses are known.
    pub fn arrived(&mut self, now: Duration) -> Option<f32> {
        let before = self.arrived.replace(now);
        let Some(before) = before else {
            self.began = now;
            return None;
        };
        let pause = ms(now.saturating_sub(before));
        match self.pauses.last_mut() {
            Some((_, events)) if pause < TOGETHER_MS => *events += 1,
            _ if pause < TOGETHER_MS => {}
            _ => self.pauses.push((pause, 1)),
        }
        let passed = now.saturating_sub(self.began);
        let enough = match passed {
            _ if passed < SAMPLE_INTERVAL => MAX_PAUSES,
            _ if passed < LONG_SAMPLE => MIN_PAUSES,
            _ => MIN_LONG_PAUSES,
        };
        if self.pauses.len() < enough {
            return None;
        }
        self.began = now;
        self.sample()
    }

    /// Returns the time of an event by the pauses since the last sample, if they are enough.
    pub fn take(&mut self) -> Option<f32> {
        if self.pauses.len() < MIN_PAUSES {
            return None;
        }
        self.sample()
    }

    fn sample(&mut self) -> Option<f32> {
        let pauses = std::mem::take(&mut self.pauses);
        let mut times: Vec<f64> = pauses.iter().map(|(t, n)| t / f64::from(*n)).collect();
        times.sort_by(f64::total_cmp);
        let i = (times.len().saturating_sub(1) as f64 * QUANTILE) as usize;
        times.get(i).map(|t| *t as f32)
    }
}

/// The estimated speed of one engine, as its agent reports it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Prefill rate for the mix of models, in prompt tokens per millisecond; 0 if unknown.
    pub tokens_per_ms: f32,
    /// Prefill rates of single models, sorted by model.
    pub rates: Vec<ModelRate>,
    /// Speed as a fraction of the engine's full one.
    pub speed: f32,
    /// Time of an event with up to 8, 16, ... streams, in milliseconds; 0 if unknown.
    pub event_ms: [f32; BANDS],
    /// Age of the newest sample as of the report.
    pub age: Duration,
}

/// The prefill rate of one model at an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelRate {
    /// The model.
    pub model: Box<str>,
    /// Prompt tokens per millisecond.
    pub tokens_per_ms: f32,
}

impl Estimate {
    /// Whether all numbers are in their bounds. An estimate of another process is not used otherwise.
    pub fn is_sound(&self) -> bool {
        let rate = |r: f32| r == 0.0 || (1.0..=1000.0).contains(&r);
        let mut rates = self.rates.iter();
        rate(self.tokens_per_ms)
            && rates.all(|r| rate(r.tokens_per_ms))
            && SPEED_BOUNDS.contains(&f64::from(self.speed))
            && self.event_ms.iter().all(|t| (0.0..=10_000.0).contains(t))
    }

    /// The prefill rate of a model, in tokens per millisecond.
    pub fn rate(&self, model: &str) -> Option<f64> {
        let found = self.rates.binary_search_by(|r| (*r.model).cmp(model));
        let rate = found.map_or(self.tokens_per_ms, |i| self.rates[i].tokens_per_ms);
        (rate > 0.0).then_some(f64::from(rate))
    }

    /// Time of an event beside this number of streams, in milliseconds; 0 if unknown.
    pub fn event_ms(&self, streams: u32) -> f64 {
        f64::from(self.event_ms[band(streams)])
    }
}

/// The time of an event of a model at full speed.
#[derive(Debug, Clone, PartialEq, Serialize)]
struct ModelTime {
    model: Box<str>,
    event_ms: f64,
    sampled: Duration,
}

/// Estimates the speed of one engine.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Estimator {
    /// Sorted by model.
    models: Vec<ModelTime>,
    speed: f64,
    /// Slowdown by the number of streams, relative to few.
    crowding: [f64; BANDS],
    sampled: Option<Duration>,
    /// When silence was last observed.
    silent: Option<Duration>,
}

impl Default for Estimator {
    fn default() -> Self {
        Self {
            models: Vec::new(),
            speed: 1.0,
            crowding: [1.0; BANDS],
            sampled: None,
            silent: None,
        }
    }
}

impl Estimator {
    /// Adds a measured time of an event while the engine ran this number of streams.
    pub fn record(&mut self, sample: &EventTime, streams: u32, now: Duration) {
        let observed = f64::from(sample.event_ms);
        if !observed.is_finite() || observed <= 0.0 {
            return;
        }
        let observed = observed.clamp(*EVENT_MS_BOUNDS.start(), *EVENT_MS_BOUNDS.end());
        let since = self.sampled.replace(now);
        let passed = since.map_or(f64::INFINITY, |t| now.saturating_sub(t).as_secs_f64());
        self.speed = idle_speed(self.speed, passed);
        let i = match self.position(&sample.model) {
            Ok(i) => i,
            Err(_) if self.models.len() >= MAX_MODELS => return,
            Err(i) => {
                let new = ModelTime {
                    model: sample.model.clone(),
                    event_ms: observed * self.speed / self.slowdown(streams),
                    sampled: now,
                };
                self.models.insert(i, new);
                return;
            }
        };
        let expected = self.models[i].event_ms * self.slowdown(streams) / self.speed;
        let ratio = (expected / observed).clamp(*SAMPLE_BOUNDS.start(), *SAMPLE_BOUNDS.end());
        let time = passed.clamp(*SAMPLE_TIME_BOUNDS_S.start(), *SAMPLE_TIME_BOUNDS_S.end());
        let weight = 1.0 - (-time / SPEED_TIME_CONSTANT_S).exp();
        let speed = self.speed * ratio.powf(weight);
        self.speed = speed.clamp(*SPEED_BOUNDS.start(), *SPEED_BOUNDS.end());
        let band = band(streams);
        let model = &mut self.models[i];
        model.sampled = now;
        if speed > 1.0 {
            // Faster than its full speed: what was taken for that was slowed down by prefill.
            let crowded = self.crowding[..=band].iter_mut().filter(|c| **c > 1.0);
            let lowered = crowded.map(|c| *c = (*c / speed).max(1.0)).count();
            if lowered == 0 {
                model.event_ms = (model.event_ms / speed).max(*EVENT_MS_BOUNDS.start());
            }
        } else if ratio < 1.0 {
            if band >= MIN_CROWDED_BAND {
                let slowdown = self.crowding[band] * ratio.powf(-CROWDING_PER_S * time);
                self.crowding[band] = slowdown.min(MAX_CROWDING);
            }
            let event_ms = model.event_ms * ratio.powf(-MODEL_PER_S * time);
            model.event_ms = event_ms.min(*EVENT_MS_BOUNDS.end());
        }
    }

    /// Lowers the speed while the engine runs this number of streams and none has had events: it reads more
    /// prompts than it can. Without it the fewest samples would come from the slowest engine.
    pub fn observe_silence(&mut self, streams: u32, now: Duration) {
        let is_silent = |age: Duration| (SILENCE..SILENCE_END).contains(&age);
        if streams < MIN_SILENT_STREAMS || !self.age(now).is_some_and(is_silent) {
            self.silent = None;
            return;
        }
        let since = self.silent.replace(now).unwrap_or(now);
        let passed = now.saturating_sub(since).as_secs_f64();
        self.speed = (self.speed * STALLED_PER_S.powf(passed)).max(*SPEED_BOUNDS.start());
    }

    /// The engine's speed as a multiple of its usual one.
    pub fn speed(&self, now: Duration) -> f64 {
        let passed = self.age(now).map_or(f64::INFINITY, |t| t.as_secs_f64());
        idle_speed(self.speed, passed)
    }

    /// Age of the newest sample.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.sampled.map(|t| now.saturating_sub(t))
    }

    /// Time of an event beside this number of streams, in milliseconds; 0 if unknown.
    pub fn event_ms(&self, streams: u32, now: Duration) -> f64 {
        self.model_ms(now) * self.slowdown(streams) / self.speed(now)
    }

    /// The estimate without prefill rates, once there are samples.
    pub fn estimate(&self, now: Duration) -> Option<Estimate> {
        let age = self.age(now).filter(|age| *age < ESTIMATE_TTL)?;
        let per_band = |i: usize| self.event_ms(i as u32 * BAND_STREAMS, now) as f32;
        Some(Estimate {
            tokens_per_ms: 0.0,
            rates: Vec::new(),
            speed: self.speed(now) as f32,
            event_ms: std::array::from_fn(per_band),
            age,
        })
    }

    /// The longest time of an event of the models that have streams; of all models if none has any.
    fn model_ms(&self, now: Duration) -> f64 {
        let longest = |is_counted: &dyn Fn(&&ModelTime) -> bool| {
            let counted = self.models.iter().filter(is_counted);
            counted.map(|m| m.event_ms).fold(0.0, f64::max)
        };
        let recent = longest(&|m| now.saturating_sub(m.sampled) < Duration::from_secs(2));
        if recent > 0.0 {
            recent
        } else {
            longest(&|_| true)
        }
    }

    /// The slowdown at a number of streams. More streams never make a step shorter.
    fn slowdown(&self, streams: u32) -> f64 {
        let up_to = &self.crowding[..=band(streams)];
        up_to.iter().copied().fold(1.0, f64::max)
    }

    fn position(&self, model: &str) -> Result<usize, usize> {
        self.models.binary_search_by(|m| (*m.model).cmp(model))
    }
}

/// The load of the busiest engine of a service over the mean, each relative to its own capacity: by the
/// fractions of the engines' time that prefill took. `None` without reports or without load.
pub fn load_spread(view: &View, service: &str, now: Duration) -> Option<f64> {
    let reports = view.of(service).filter_map(|(_, s)| s.fresh_report(now));
    let loads: Vec<f64> = reports.map(|r| r.load.prefill_fraction()).collect();
    let sum: f64 = loads.iter().sum();
    let busiest = loads.iter().copied().fold(0.0, f64::max);
    (sum > 0.0).then(|| busiest * loads.len() as f64 / sum)
}

fn band(streams: u32) -> usize {
    ((streams / BAND_STREAMS) as usize).min(BANDS - 1)
}

/// The speed after this many seconds without a sample.
fn idle_speed(speed: f64, passed_s: f64) -> f64 {
    let idle_s = (passed_s - SAMPLE_TIME_BOUNDS_S.end()).max(0.0);
    speed.powf((-idle_s / IDLE_TIME_CONSTANT_S).exp())
}

fn ms(t: Duration) -> f64 {
    t.as_secs_f64() * 1000.0
}
