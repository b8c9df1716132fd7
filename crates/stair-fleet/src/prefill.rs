//! Schedules the prefill of prompts on one engine.
//!
//! Load: an engine reads prompts between the tokens of its streams, and prompts in a row stall all of them. Only the
//! engine's agent sees all prompts, so each prompt reserves a slot there before it is sent.
//!
//! Prompts are read in bursts that are shorter than the promised pause between events, with breaks in which each stream
//! makes an event. A reservation is never returned, so no lost message can block a slot. The prefill rate is learned
//! for each model at each engine.

use std::{
    ops::RangeInclusive,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Prefill rate until samples have come, in prompt tokens a millisecond.
const INITIAL_RATE: f64 = 33.0;

/// Bounds of a learned rate, in tokens a millisecond. Prompts admitted at a higher rate fill an engine with
/// streams.
const RATE_BOUNDS: RangeInclusive<f64> = 10.0..=60.0;

/// Bounds of one sample, as parts of the learned rate. A prompt in the cache that the agent does not know of reads
/// in no time; a lost packet makes one look slow.
const SAMPLE_BOUNDS: RangeInclusive<f64> = 0.5..=1.2;

/// Weight of the newest sample in the rate.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Least prefill time of a sample: below it the time to the first event varies by other causes.
const MIN_SAMPLE_TIME: Duration = Duration::from_millis(75);

/// Part by which the least time beside prefill grows with each prompt, so that lasting load shows.
const BASE_LATENCY_DRIFT: f64 = 0.001;

/// Part of an engine's time that prefill may take in the long run. The rest is for the tokens of streams, so that
/// they end.
const PREFILL_FRACTION: f64 = 0.82;

/// Part of the promised pause between events that one burst may take. The rest is for the event after it.
const BURST_FRACTION: f64 = 0.7;

/// The promised pause where no route declares one.
const DEFAULT_PAUSE: Duration = Duration::from_millis(600);

/// The least time between two bursts, in milliseconds.
const MIN_BREAK_MS: f64 = 60.0;

/// Time to load a model from a copy at another engine, with the time to make room.
const SWAP_DURATION: Duration = Duration::from_millis(1000);

/// Part of the engine's memory that the prefix cache is assumed to have.
const CACHE_FRACTION: f64 = 0.6;

/// Cost of a prompt beside its tokens, in tokens.
const PROMPT_OVERHEAD_TOKENS: f64 = 150.0;

/// A prompt up to the end of one of its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixBlock {
    /// Names everything from the beginning up to here, the model and adapter among it.
    pub chain: u64,
    /// Tokens of this part.
    pub tokens: u32,
}

/// A prompt that asks for its slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The model.
    pub model: Box<str>,
    /// The parts of the prompt in order.
    #[serde(rename = "parts")]
    pub blocks: Vec<PrefixBlock>,
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// The longest wait that is of use.
    #[serde(rename = "limit")]
    pub max_wait: Duration,
    /// The longest wait that a more urgent prompt right after it could bear, if there are any.
    #[serde(rename = "spare")]
    pub urgent_max_wait: Option<Duration>,
    /// The shortest pause between events that clients of the engine's streams are promised.
    pub pause: Option<Duration>,
    /// Whether the request has not asked for a slot before.
    pub first: bool,
}

/// What came of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Whether the slot is booked; else the wait would be longer than is of use.
    #[serde(rename = "booked")]
    pub reserved: bool,
    /// The wait until the slot.
    pub wait: Duration,
    /// Time for which the engine has prompts to read, this one among them if it is booked.
    pub backlog: Duration,
    /// Tokens of the prompt that the engine is taken to have kept.
    #[serde(rename = "kept")]
    pub cached: u32,
    /// Time that the engine takes at its full rate from the slot on until the prompt is read, with the
    /// prompts before it.
    #[serde(rename = "reads")]
    pub prefill_time: Duration,
}

impl Reply {
    /// No slot, as the prompt's model makes way. The wait is longer than is of use, so that the prompt goes
    /// elsewhere, and short enough to tell a client when to come back: by then another engine has it.
    pub fn model_draining(req: &Request) -> Self {
        Self {
            reserved: false,
            wait: req.max_wait + SWAP_DURATION,
            backlog: Duration::ZERO,
            cached: 0,
            prefill_time: Duration::ZERO,
        }
    }
}

/// How long an engine took over a prompt whose slot had come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Measurement {
    /// The model.
    pub model: Box<str>,
    /// What the [`Reply`] said that it would take to be read.
    #[serde(rename = "reads")]
    pub prefill_time: Duration,
    /// From sending the request to its first event.
    pub took: Duration,
}

/// A part that the engine has read.
struct CachedBlock {
    chain: u64,
    tokens: u32,
    model: Box<str>,
    used: Duration,
}

/// What is known of one model's prompts at an engine.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Rate {
    /// The model.
    pub model: Box<str>,
    /// Tokens that are read in a millisecond.
    pub tokens_per_ms: f64,
    /// Time to the first event beside reading, in milliseconds, the least seen.
    first_ms: f64,
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
}

impl Schedule {
    /// Forgets all prompts: the engine has begun a new life. Its hardware is the same.
    pub fn clear(&mut self) {
        *self = Self {
            rates: std::mem::take(&mut self.rates),
            ..Self::default()
        };
    }

    /// Takes in how long the engine took to read a prompt and those before it.
    pub fn record(&mut self, measured: &Measurement) {
        let took = ms(measured.took);
        let rate = self.rate_of(&measured.model);
        rate.first_ms = took.min(rate.first_ms * (1.0 + BASE_LATENCY_DRIFT));
        if measured.prefill_time < MIN_SAMPLE_TIME {
            return;
        }
        let reading = took - rate.first_ms;
        // Where all prompts take alike, what is beside reading cannot be told from it; but the engine was no
        // slower than if it had read all the time.
        let min_rate = ms(measured.prefill_time) / took;
        let sample = if reading > 0.0 {
            min_rate.max(ms(measured.prefill_time) / reading)
        } else if min_rate > 1.0 {
            min_rate
        } else {
            return;
        };
        let sample = sample.clamp(*SAMPLE_BOUNDS.start(), *SAMPLE_BOUNDS.end());
        let updated = rate.tokens_per_ms * (1.0 + SAMPLE_WEIGHT * (sample - 1.0));
        rate.tokens_per_ms = updated.clamp(*RATE_BOUNDS.start(), *RATE_BOUNDS.end());
    }

    /// Tokens of a model's prompts that the engine reads in a millisecond.
    pub fn rate(&self, model: &str) -> f64 {
        let found = self.rates.binary_search_by(|r| (*r.model).cmp(model));
        found.map_or(INITIAL_RATE, |i| self.rates[i].tokens_per_ms)
    }

    /// What has been learned, by model.
    pub fn rates(&self) -> &[Rate] {
        &self.rates
    }

    fn rate_of(&mut self, model: &str) -> &mut Rate {
        let i = match self.rates.binary_search_by(|r| (*r.model).cmp(model)) {
            Ok(i) => i,
            Err(i) => {
                let new = Rate {
                    model: model.into(),
                    tokens_per_ms: INITIAL_RATE,
                    first_ms: f64::INFINITY,
                };
                self.rates.insert(i, new);
                i
            }
        };
        &mut self.rates[i]
    }

    /// Forgets what was kept for a model: the engine has unloaded it.
    pub fn unloaded(&mut self, model: &str) {
        self.cached_blocks.retain(|b| *b.model != *model);
        self.recount();
    }

    /// Time for which the engine has prompts to read.
    pub fn backlog(&self, now: Duration) -> Duration {
        duration(self.last.until - ms(now))
    }

    /// Gives a prompt its slot, if the wait is of use. `memory` is the engine's, in tokens.
    pub fn reserve(&mut self, req: &Request, memory: u64, now: Duration) -> Reply {
        let cached = self.cached_prefix(req);
        let cost = ms(self.prefill_time(req, cached));
        let burst = self.burst_for(cost, req.pause.unwrap_or(DEFAULT_PAUSE), now);
        let sent = burst.from.max(ms(now));
        let wait = duration(sent - ms(now));
        // One that would keep a more urgent one from its slot waits until nothing is before it.
        let next = duration(burst.until + burst.rest() - ms(now));
        let delays_urgent =
            req.urgent_max_wait.is_some_and(|limit| next > limit) && !wait.is_zero();
        let reserved = wait <= req.max_wait && !delays_urgent;
        if reserved {
            self.last = burst;
            self.cache(req, memory, now);
        }
        Reply {
            reserved,
            wait,
            backlog: self.backlog(now),
            cached,
            prefill_time: duration(burst.until - sent),
        }
    }

    /// The burst in which a prompt is read that takes so long, with it: the last one, if it has room or is
    /// over, or the next.
    fn burst_for(&self, cost: f64, pause: Duration, now: Duration) -> Burst {
        let now = ms(now);
        let until = self.last.until.max(now) + cost;
        if until - self.last.from <= BURST_FRACTION * ms(pause) {
            return Burst { until, ..self.last };
        }
        // A prompt longer than a burst is one by itself.
        let from = (self.last.until + self.last.rest()).max(now);
        Burst {
            from,
            until: from + cost,
        }
    }

    /// Time that reading a prompt takes, of which so many tokens are kept.
    pub fn prefill_time(&self, req: &Request, cached: u32) -> Duration {
        let tokens = f64::from(req.tokens.saturating_sub(cached)) + PROMPT_OVERHEAD_TOKENS;
        Duration::from_secs_f64(tokens / self.rate(&req.model) / 1000.0)
    }

    /// A part is of use only if all before it are kept as well.
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

/// Prompts that are read without a break. Times are in milliseconds since the process started.
#[derive(Clone, Copy, Default)]
struct Burst {
    from: f64,
    until: f64,
}

impl Burst {
    /// The time for streams after it: their part of its own.
    fn rest(&self) -> f64 {
        let read = self.until - self.from;
        if read <= 0.0 {
            return 0.0;
        }
        (read * (1.0 - PREFILL_FRACTION) / PREFILL_FRACTION).max(MIN_BREAK_MS)
    }
}

fn ms(t: Duration) -> f64 {
    t.as_secs_f64() * 1000.0
}

fn duration(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}
