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
const FIRST_RATE: f64 = 33.0;

/// Bounds of a learned rate, in tokens a millisecond. Prompts admitted at a higher rate fill an engine with
/// streams.
const RATES: RangeInclusive<f64> = 10.0..=60.0;

/// Bounds of one sample, as parts of the learned rate. A prompt in the cache that the agent does not know of reads
/// in no time; a lost packet makes one look slow.
const SAMPLES: RangeInclusive<f64> = 0.5..=1.2;

/// Weight of the newest sample in the rate.
const RATE_SMOOTH: f64 = 0.15;

/// Least prefill time of a sample: below it the time to the first event varies by other causes.
const SAMPLE_TIME: Duration = Duration::from_millis(75);

/// Part by which the least time beside prefill grows with each prompt, so that lasting load shows.
const FIRST_DRIFT: f64 = 0.001;

/// Part of an engine's time that prefill may take in the long run. The rest is for the tokens of streams, so that
/// they end.
const READ_PART: f64 = 0.82;

/// Part of the promised pause between events that one burst may take. The rest is for the event after it.
const BURST_PART: f64 = 0.7;

/// The promised pause where no route declares one.
const USUAL_PAUSE: Duration = Duration::from_millis(600);

/// The least time between two bursts, in milliseconds.
const LEAST_BREAK_MS: f64 = 60.0;

/// Time to load a model from a copy at another engine, with the time to make room.
const SWAP_TIME: Duration = Duration::from_millis(1000);

/// Part of the engine's memory that the prefix cache is assumed to have.
const KEPT_PART: f64 = 0.6;

/// Cost of a prompt beside its tokens, in tokens.
const EACH_TOKENS: f64 = 150.0;

/// A prompt up to the end of one of its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Names everything from the beginning up to here, the model and adapter among it.
    pub chain: u64,
    /// Tokens of this part.
    pub tokens: u32,
}

/// A prompt that asks for its slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The model.
    pub model: Box<str>,
    /// The parts of the prompt in order.
    pub parts: Vec<Part>,
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// The longest wait that is of use.
    pub limit: Duration,
    /// The longest wait that a more urgent prompt right after it could bear, if there are any.
    pub spare: Option<Duration>,
    /// The shortest pause between events that clients of the engine's streams are promised.
    pub pause: Option<Duration>,
    /// Whether the request has not asked for a slot before.
    pub first: bool,
}

/// What came of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Whether the slot is booked; else the wait would be longer than is of use.
    pub booked: bool,
    /// The wait until the slot.
    pub wait: Duration,
    /// Time for which the engine has prompts to read, this one among them if it is booked.
    pub backlog: Duration,
    /// Tokens of the prompt that the engine is taken to have kept.
    pub kept: u32,
    /// Time that the engine takes at its full rate from the slot on until the prompt is read, with the
    /// prompts before it.
    pub reads: Duration,
}

impl Answer {
    /// No slot, as the prompt's model makes way. The wait is longer than is of use, so that the prompt goes
    /// elsewhere, and short enough to tell a client when to come back: by then another engine has it.
    pub fn leaving(ask: &Ask) -> Self {
        Self {
            booked: false,
            wait: ask.limit + SWAP_TIME,
            backlog: Duration::ZERO,
            kept: 0,
            reads: Duration::ZERO,
        }
    }
}

/// How long an engine took over a prompt whose slot had come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// The model.
    pub model: Box<str>,
    /// What the [`Answer`] said that it would take to be read.
    pub reads: Duration,
    /// From sending the request to its first event.
    pub took: Duration,
}

/// A part that the engine has read.
struct Kept {
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
    kept: Vec<Kept>,
    kept_tokens: u64,
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
    pub fn learn(&mut self, read: &Read) {
        let took = ms(read.took);
        let rate = self.rate_of(&read.model);
        rate.first_ms = took.min(rate.first_ms * (1.0 + FIRST_DRIFT));
        if read.reads < SAMPLE_TIME {
            return;
        }
        let reading = took - rate.first_ms;
        // Where all prompts take alike, what is beside reading cannot be told from it; but the engine was no
        // slower than if it had read all the time.
        let least = ms(read.reads) / took;
        let sample = if reading > 0.0 {
            least.max(ms(read.reads) / reading)
        } else if least > 1.0 {
            least
        } else {
            return;
        };
        let sample = sample.clamp(*SAMPLES.start(), *SAMPLES.end());
        let learned = rate.tokens_per_ms * (1.0 + RATE_SMOOTH * (sample - 1.0));
        rate.tokens_per_ms = learned.clamp(*RATES.start(), *RATES.end());
    }

    /// Tokens of a model's prompts that the engine reads in a millisecond.
    pub fn rate(&self, model: &str) -> f64 {
        let found = self.rates.binary_search_by(|r| (*r.model).cmp(model));
        found.map_or(FIRST_RATE, |i| self.rates[i].tokens_per_ms)
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
                    tokens_per_ms: FIRST_RATE,
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
        self.kept.retain(|k| *k.model != *model);
        self.count();
    }

    /// Time for which the engine has prompts to read.
    pub fn backlog(&self, now: Duration) -> Duration {
        duration(self.last.until - ms(now))
    }

    /// Gives a prompt its slot, if the wait is of use. `memory` is the engine's, in tokens.
    pub fn ask(&mut self, ask: &Ask, memory: u64, now: Duration) -> Answer {
        let kept = self.kept_of(ask);
        let cost = ms(self.work(ask, kept));
        let burst = self.place(cost, ask.pause.unwrap_or(USUAL_PAUSE), now);
        let sent = burst.from.max(ms(now));
        let wait = duration(sent - ms(now));
        // One that would keep a more urgent one from its slot waits until nothing is before it.
        let next = duration(burst.until + burst.rest() - ms(now));
        let crowds = ask.spare.is_some_and(|spare| next > spare) && !wait.is_zero();
        let booked = wait <= ask.limit && !crowds;
        if booked {
            self.last = burst;
            self.keep(ask, memory, now);
        }
        Answer {
            booked,
            wait,
            backlog: self.backlog(now),
            kept,
            reads: duration(burst.until - sent),
        }
    }

    /// The burst in which a prompt is read that takes so long, with it: the last one, if it has room or is
    /// over, or the next.
    fn place(&self, cost: f64, pause: Duration, now: Duration) -> Burst {
        let now = ms(now);
        let until = self.last.until.max(now) + cost;
        if until - self.last.from <= BURST_PART * ms(pause) {
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
    pub fn work(&self, ask: &Ask, kept: u32) -> Duration {
        let tokens = f64::from(ask.tokens.saturating_sub(kept)) + EACH_TOKENS;
        Duration::from_secs_f64(tokens / self.rate(&ask.model) / 1000.0)
    }

    /// A part is of use only if all before it are kept as well.
    fn kept_of(&self, ask: &Ask) -> u32 {
        let kept = |p: &&Part| {
            self.kept
                .binary_search_by_key(&p.chain, |k| k.chain)
                .is_ok()
        };
        ask.parts.iter().take_while(kept).map(|p| p.tokens).sum()
    }

    fn keep(&mut self, ask: &Ask, memory: u64, now: Duration) {
        for part in &ask.parts {
            match self.kept.binary_search_by_key(&part.chain, |k| k.chain) {
                Ok(i) => self.kept[i].used = now,
                Err(i) => {
                    let new = Kept {
                        chain: part.chain,
                        tokens: part.tokens,
                        model: ask.model.clone(),
                        used: now,
                    };
                    self.kept.insert(i, new);
                }
            }
        }
        self.count();
        let most = (memory as f64 * KEPT_PART) as u64;
        while self.kept_tokens > most {
            let oldest = (0..self.kept.len()).min_by_key(|i| self.kept[*i].used);
            let Some(i) = oldest else { break };
            self.kept_tokens -= u64::from(self.kept.remove(i).tokens);
        }
    }

    fn count(&mut self) {
        self.kept_tokens = self.kept.iter().map(|k| u64::from(k.tokens)).sum();
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
        (read * (1.0 - READ_PART) / READ_PART).max(LEAST_BREAK_MS)
    }
}

fn ms(t: Duration) -> f64 {
    t.as_secs_f64() * 1000.0
}

fn duration(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}
