//! Schedules the prefill of prompts on one engine.
//!
//! An engine runs prefill between the tokens of its streams, so consecutive prompts stall all
//! streams. Only the engine's agent sees all prompts; each prompt therefore reserves a prefill slot
//! there before it is sent.
//!
//! Prompts are read in bursts shorter than the promised pause between events. In the breaks between
//! bursts each stream produces an event. A reservation is never returned, so a lost message cannot
//! block a slot. The prefill rate is estimated for each model at each engine.

mod burst;
mod request;

use std::{
    ops::RangeInclusive,
    time::Duration, //
};

use serde::Serialize;

pub(crate) use self::burst::burst_duration;
use self::burst::{
    Burst,
    Pace,
    Slot, //
};
pub use self::request::{
    Measurement,
    PrefixBlock,
    Reply,
    Request, //
};
use crate::engine_estimate::{
    Estimate,
    Estimator,
    EventTime,
    ModelRate, //
};

/// Prefill rate until there are samples, in prompt tokens per millisecond.
const INITIAL_RATE: f64 = 33.0;

/// Bounds of the estimated rate, in tokens per millisecond. Above the upper bound too many prompts
/// are admitted, and the engine fills with streams.
const RATE_BOUNDS: RangeInclusive<f64> = 10.0..=60.0;

/// Bounds of one sample, as multiples of the estimated rate. A prompt that is cached without the
/// agent's knowledge takes no prefill time; a lost packet makes prefill look slow.
const SAMPLE_BOUNDS: RangeInclusive<f64> = 0.5..=1.2;

/// Weight of the newest sample in the rate.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Bounds of a sample while the engine's speed follows the times of events. A lasting change of speed
/// shows there at once, and the samples of a few overloaded seconds must not outlast them.
const PACED_SAMPLE_BOUNDS: RangeInclusive<f64> = 0.8..=1.2;

/// Samples of a model after which these bounds apply.
const FIRST_SAMPLES: u32 = 6;

/// Weight of a model's first sample. That of the following ones is this, divided by their number, until
/// it is [`SAMPLE_WEIGHT`].
const FIRST_SAMPLE_WEIGHT: f64 = 0.6;

/// Least prefill time of a sample. Below it, other causes dominate the time to the first event.
const MIN_SAMPLE_TIME: Duration = Duration::from_millis(75);

/// Fraction by which the base latency grows with each prompt, so that it follows lasting load.
const BASE_LATENCY_DRIFT: f64 = 0.001;

/// The promised pause between events where no route declares one.
const DEFAULT_PAUSE: Duration = Duration::from_millis(600);

/// Fraction of its longest wait that a prompt waits for a short burst; a longer one is used otherwise.
const NOISE_WAIT_FRACTION: f64 = 0.5;

/// Models whose rates are reported.
const MAX_REPORTED_RATES: usize = 8;

/// Fraction of the engine's memory that the prefix cache is assumed to use.
const CACHE_FRACTION: f64 = 0.6;

/// Cost of a prompt beside its tokens, in tokens.
const PROMPT_OVERHEAD_TOKENS: f64 = 150.0;

/// What [`Schedule::reserve`] would reply to a request, and when that changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probe {
    /// The reply, with the backlog before the reservation.
    pub reply: Reply,
    /// Time until the slot can be reserved if no other prompt reserves one; zero if it can be now.
    pub opens_in: Duration,
    /// Time until the next burst may begin; zero if the engine has no prompts to prefill.
    pub next_burst: Duration,
    /// Prefill time of the prompt alone.
    pub cost: Duration,
    /// Whether the slot extends a burst so short that the least break follows it. Without the prompt
    /// the engine would use less of its time for prefill.
    pub extends_short: bool,
}

/// A prefix block that the engine has read.
struct CachedBlock {
    chain: u64,
    tokens: u32,
    model: Box<str>,
    used: Duration,
}

/// The estimated prefill rate of a model at an engine.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Rate {
    /// The model.
    pub model: Box<str>,
    /// Prompt tokens per millisecond.
    pub tokens_per_ms: f64,
    /// Base latency: the least time to the first event beside prefill, in milliseconds.
    first_ms: f64,
    /// Samples that the rate is made from.
    samples: u32,
}

/// The prefill slots of one engine.
#[derive(Default)]
pub struct Schedule {
    /// Sorted by model.
    rates: Vec<Rate>,
    last: Burst,
    /// Sorted by chain.
    cached_blocks: Vec<CachedBlock>,
    cached_tokens: u64,
    estimator: Estimator,
    /// The engine's speed and its time of an event as of the last sample.
    pace: Pace,
}

impl Schedule {
    /// Forgets all prompts, as a new incarnation of the engine has none. The rates stay, since the
    /// hardware is the same.
    pub fn clear(&mut self) {
        *self = Self {
            rates: std::mem::take(&mut self.rates),
            estimator: std::mem::take(&mut self.estimator),
            pace: self.pace,
            ..Self::default()
        };
    }

    /// Updates the engine's speed by measured times of events while it ran this number of streams.
    pub fn record_events(&mut self, times: &[EventTime], streams: u32, now: Duration) {
        for time in times {
            self.estimator.record(time, streams, now);
        }
        if !times.is_empty() {
            self.update_pace(streams, now);
        }
    }

    /// Updates the speed without a sample: it falls while streams run and none has an event, and returns
    /// to the usual one with time.
    pub fn update_pace(&mut self, streams: u32, now: Duration) {
        self.estimator.observe_silence(streams, now);
        if self.estimator.age(now).is_none() {
            return;
        }
        let before = self.pace.speed;
        self.pace = Pace {
            speed: self.estimator.speed(now),
            event_ms: self.estimator.event_ms(streams, now),
        };
        // What the engine still has to read takes longer, or less long, than was expected.
        let left = self.last.until - ms(now);
        if left > 0.0 {
            self.last.until = ms(now) + left * before / self.pace.speed;
        }
    }

    /// The estimated speed of the engine, once events have been measured. `loaded` has the models that
    /// it has loaded.
    pub fn estimate<'a, I>(&self, loaded: I, now: Duration) -> Option<Estimate>
    where
        I: Iterator<Item = &'a str>,
    {
        let measured = |model: &&str| {
            let mut rates = self.rates.iter();
            rates.any(|r| *r.model == **model && r.samples > 0)
        };
        let mut rates: Vec<ModelRate> = loaded
            .filter(measured)
            .take(MAX_REPORTED_RATES)
            .map(|model| ModelRate {
                model: model.into(),
                tokens_per_ms: self.rate(model) as f32,
            })
            .collect();
        rates.sort_by(|a, b| a.model.cmp(&b.model));
        let mean = match rates.len() {
            0 => 0.0,
            n => rates.iter().map(|r| r.tokens_per_ms).sum::<f32>() / n as f32,
        };
        Some(Estimate {
            tokens_per_ms: mean,
            rates,
            ..self.estimator.estimate(now)?
        })
    }

    /// The estimator of the engine's speed.
    pub fn estimator(&self) -> &Estimator {
        &self.estimator
    }

    /// Updates the rate by a measured prefill.
    pub fn record(&mut self, measured: &Measurement) {
        let took = ms(measured.took);
        let is_paced = self.pace.event_ms > 0.0;
        let rate = self.rate_of(&measured.model);
        rate.first_ms = took.min(rate.first_ms * (1.0 + BASE_LATENCY_DRIFT));
        if measured.prefill_time < MIN_SAMPLE_TIME {
            return;
        }
        let reading = took - rate.first_ms;
        // When all prompts take the same time, prefill cannot be told from the base latency. The
        // engine was still no slower than if all of the time was prefill.
        let min_rate = ms(measured.prefill_time) / took;
        let sample = if reading > 0.0 {
            min_rate.max(ms(measured.prefill_time) / reading)
        } else if min_rate > 1.0 {
            min_rate
        } else {
            return;
        };
        let bounds = match is_paced && rate.samples >= FIRST_SAMPLES {
            true => PACED_SAMPLE_BOUNDS,
            false => SAMPLE_BOUNDS,
        };
        let sample = sample.clamp(*bounds.start(), *bounds.end());
        // The first samples count more, so that a slow engine is not overloaded until it has read many.
        let weight = match is_paced {
            true => SAMPLE_WEIGHT.max(FIRST_SAMPLE_WEIGHT / f64::from(rate.samples + 1)),
            false => SAMPLE_WEIGHT,
        };
        rate.samples = rate.samples.saturating_add(1);
        let updated = rate.tokens_per_ms * (1.0 + weight * (sample - 1.0));
        rate.tokens_per_ms = updated.clamp(*RATE_BOUNDS.start(), *RATE_BOUNDS.end());
    }

    /// The estimated prefill rate of a model, in tokens per millisecond.
    pub fn rate(&self, model: &str) -> f64 {
        let found = self.rates.binary_search_by(|r| (*r.model).cmp(model));
        let usual = found.map_or_else(|_| self.initial_rate(), |i| self.rates[i].tokens_per_ms);
        let lowest = RATE_BOUNDS.start().min(usual);
        (usual * self.pace.speed).clamp(lowest, *RATE_BOUNDS.end())
    }

    /// The rate of a model without samples: the mean of the other models at this engine, if its speed is
    /// estimated. Models of one deployment differ less than engines do.
    fn initial_rate(&self) -> f64 {
        if self.pace.event_ms <= 0.0 {
            return INITIAL_RATE;
        }
        let measured = self.rates.iter().filter(|r| r.samples > 0);
        let (sum, n) = measured.fold((0.0, 0), |(sum, n), r| (sum + r.tokens_per_ms, n + 1));
        match n {
            0 => INITIAL_RATE,
            n => sum / f64::from(n),
        }
    }

    /// The estimated rates, sorted by model.
    pub fn rates(&self) -> &[Rate] {
        &self.rates
    }

    fn rate_of(&mut self, model: &str) -> &mut Rate {
        let i = match self.rates.binary_search_by(|r| (*r.model).cmp(model)) {
            Ok(i) => i,
            Err(i) => {
                let new = Rate {
                    model: model.into(),
                    tokens_per_ms: self.initial_rate(),
                    first_ms: f64::INFINITY,
                    samples: 0,
                };
                self.rates.insert(i, new);
                i
            }
        };
        &mut self.rates[i]
    }

    /// Forgets the cached blocks of a model that the engine has unloaded.
    pub fn unloaded(&mut self, model: &str) {
        self.cached_blocks.retain(|b| *b.model != *model);
        self.recount();
    }

    /// Time for which the engine has prompts to prefill.
    pub fn backlog(&self, now: Duration) -> Duration {
        duration(self.last.until - ms(now))
    }

    /// Reserves the slot of a prompt unless the wait is too long. `memory` is the engine's capacity
    /// in tokens.
    pub fn reserve(&mut self, req: &Request, memory: u64, now: Duration) -> Reply {
        let (burst, probe) = self.plan(req, now);
        if probe.reply.reserved {
            self.last = burst;
            self.cache(req, memory, now);
        }
        Reply {
            backlog: self.backlog(now),
            ..probe.reply
        }
    }

    /// What [`Schedule::reserve`] would reply now, without a reservation.
    pub fn probe(&self, req: &Request, now: Duration) -> Probe {
        self.plan(req, now).1
    }

    fn plan(&self, req: &Request, now: Duration) -> (Burst, Probe) {
        let cached = self.cached_prefix(req);
        let cost = ms(self.prefill_time(req, cached));
        let pause = req.pause.unwrap_or(DEFAULT_PAUSE);
        let mut slot = self.slot(cost, self.pace.longest_burst(pause), req, now);
        if let Some(longest) = self.pace.noise_burst(pause) {
            let short = self.slot(cost, longest, req, now);
            let has_time = short.wait <= req.max_wait.mul_f64(NOISE_WAIT_FRACTION);
            if has_time && !short.delays_urgent {
                slot = short;
            }
        }
        let Slot { burst, wait, .. } = slot;
        let sent = burst.from.max(ms(now));
        let next = duration(burst.until + burst.rest(self.pace) - ms(now));
        let excess = req.urgent_max_wait.map(|limit| next.saturating_sub(limit));
        let opens_in = wait
            .saturating_sub(req.max_wait)
            .max(excess.unwrap_or_default().min(wait));
        let reply = Reply {
            reserved: wait <= req.max_wait && !slot.delays_urgent,
            wait,
            backlog: self.backlog(now),
            cached,
            prefill_time: duration(burst.until - sent),
        };
        let probe = Probe {
            reply,
            opens_in,
            next_burst: duration(self.last.until + self.last.rest(self.pace) - ms(now)),
            cost: duration(cost),
            extends_short: burst.from == self.last.from && self.last.has_shortest_break(self.pace),
        };
        (burst, probe)
    }

    /// The slot of a prompt of this cost, if bursts take no longer than `longest`.
    fn slot(&self, cost: f64, longest: f64, req: &Request, now: Duration) -> Slot {
        let burst = self.burst_for(cost, longest, now);
        let wait = duration(burst.from - ms(now));
        // A less urgent prompt that would delay an urgent one too long waits until the engine has
        // no backlog.
        let next = duration(burst.until + burst.rest(self.pace) - ms(now));
        let delays_urgent =
            req.urgent_max_wait.is_some_and(|limit| next > limit) && !wait.is_zero();
        Slot {
            burst,
            wait,
            delays_urgent,
        }
    }

    /// The burst that a prompt of this cost belongs to, with the prompt: the last one if it is over
    /// or has time left, else the next one.
    fn burst_for(&self, cost: f64, longest: f64, now: Duration) -> Burst {
        let now = ms(now);
        let until = self.last.until.max(now) + cost;
        if until - self.last.from <= longest {
            return Burst { until, ..self.last };
        }
        // A prompt longer than a burst forms a burst of its own.
        let from = (self.last.until + self.last.rest(self.pace)).max(now);
        Burst {
            from,
            until: from + cost,
        }
    }

    /// Prefill time of a prompt of which `cached` tokens are cached.
    pub fn prefill_time(&self, req: &Request, cached: u32) -> Duration {
        let tokens = f64::from(req.tokens.saturating_sub(cached)) + PROMPT_OVERHEAD_TOKENS;
        Duration::from_secs_f64(tokens / self.rate(&req.model) / 1000.0)
    }

    /// Tokens of the prompt in cached blocks. A cached block counts only if all blocks before it
    /// are cached.
    fn cached_prefix(&self, req: &Request) -> u32 {
        let cached = |b: &&PrefixBlock| {
            self.cached_blocks
                .binary_search_by_key(&b.chain, |b| b.chain)
                .is_ok()
        };
        req.blocks.iter().take_while(cached).map(|b| b.tokens).sum()
    }

    fn cache(&mut self, req: &Request, memory: u64, now: Duration) {
        for block in &req.blocks {
            match self
                .cached_blocks
                .binary_search_by_key(&block.chain, |b| b.chain)
            {
                Ok(i) => self.cached_blocks[i].used = now,
                Err(i) => {
                    let new = CachedBlock {
                        chain: block.chain,
                        tokens: block.tokens,
                        model: req.model.clone(),
                        used: now,
                    };
                    self.cached_blocks.insert(i, new);
                }
            }
        }
        self.recount();
        let max_tokens = (memory as f64 * CACHE_FRACTION) as u64;
        while self.cached_tokens > max_tokens {
            let oldest = (0..self.cached_blocks.len()).min_by_key(|i| self.cached_blocks[*i].used);
            let Some(i) = oldest else { break };
            self.cached_tokens -= u64::from(self.cached_blocks.remove(i).tokens);
        }
    }

    fn recount(&mut self) {
        self.cached_tokens = self.cached_blocks.iter().map(|b| u64::from(b.tokens)).sum();
    }
}

fn ms(t: Duration) -> f64 {
    t.as_secs_f64() * 1000.0
}

fn duration(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}
