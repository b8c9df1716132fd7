//! When a prompt may be sent to an engine, so that the streams which run there keep their pace.
//!
//! The load it answers: an engine reads prompts between the tokens of its streams, four thousand
//! tokens a step. A step that reads takes over 100 ms instead of five, and an event of a stream needs
//! four or five steps, so prompts that come one after the other stall all streams; ten a second
//! starve them until their clients leave. How many come is known to nobody but the engine's agent:
//! reports are some hundred milliseconds old and many entries choose at once. So each prompt asks
//! the agent for its turn, which costs a round trip of one to three milliseconds.
//!
//! Turns are given by a bucket that drains at the rate at which prompts can be read while streams
//! keep their pace. A turn is booked when it is given and never given back, so that nothing depends
//! on a message that may be lost.
//!
//! Engines of one service differ in speed, and a third of them read a quarter slower. At one rate for
//! all, the streams of the slow ones stall beside prompts while the others could read more. So each
//! engine's rate follows how long its prompts took to be read.

use std::{
    ops::RangeInclusive,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Prompt tokens that an engine reads in a millisecond, until its prompts have told better. The
/// engines in use read 25 to 35 of long prompts.
const FIRST_RATE: f64 = 33.0;

/// The least and the most that is believed of an engine's rate. A VM that stood still, or a link that
/// lost a packet, makes a sample of a few tokens a millisecond; believed as it is, the engine would be
/// sent hardly a prompt for as long as it takes to learn better, which it does by prompts.
const RATES: RangeInclusive<f64> = 10.0..=60.0;

/// Weight of the newest sample in the rate; a change shows after about seven prompts.
const RATE_SMOOTH: f64 = 0.15;

/// Tokens below which a prompt says nothing of the rate: the way there and the first step of its
/// stream take 10 to 15 ms, as long as 400 tokens.
const SAMPLE_TOKENS: u32 = 2500;

/// Part of an engine's time that may go to prompts in the long run. The rest goes to the streams'
/// tokens, so that a stream of 300 tokens ends within 8 s beside any number of prompts.
const READ_PART: f64 = 0.79;

/// Time for which prompts may be read without a pause, in milliseconds: under the 600 ms that clients
/// are promised between events.
const BURST_MS: f64 = 425.0;

/// Part of the engine's memory that kept prompts are taken to have. The rest belongs to what runs.
const KEPT_PART: f64 = 0.6;

/// Tokens that each prompt costs beside its own: its first step and the end of its last block.
const EACH_TOKENS: f64 = 150.0;

/// A prompt up to the end of one of its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Names everything from the beginning up to here, the model and adapter among it.
    pub chain: u64,
    /// Tokens of this part.
    pub tokens: u32,
}

/// A prompt that asks for its turn.
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
    /// Whether the request has not asked for a turn before.
    pub first: bool,
}

/// What came of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Whether the turn is booked; else the wait would be longer than is of use.
    pub booked: bool,
    /// The wait until the turn.
    pub wait: Duration,
    /// Time for which the engine has prompts to read, this one among them if it is booked.
    pub backlog: Duration,
    /// Tokens of the prompt that the engine is taken to have kept.
    pub kept: u32,
    /// Tokens that the engine has to read from the turn on until the prompt is read, those of the
    /// prompts before it among them.
    pub unread: u32,
}

impl Answer {
    /// No turn, as the wait would be so long.
    pub fn full(wait: Duration) -> Self {
        Self {
            booked: false,
            wait,
            backlog: Duration::ZERO,
            kept: 0,
            unread: 0,
        }
    }
}

/// How long an engine took over a prompt whose turn had come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// What the [`Answer`] called unread.
    pub unread: u32,
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

/// The turns at one engine.
pub struct Turns {
    /// Tokens that the engine reads in a millisecond.
    rate: f64,
    /// Tokens that are still to be read, as of `at`, did the engine read for its part of the time.
    level: f64,
    /// The same at its full rate.
    unread: f64,
    at: Duration,
    /// Sorted by chain.
    kept: Vec<Kept>,
    kept_tokens: u64,
}

impl Default for Turns {
    fn default() -> Self {
        Self {
            rate: FIRST_RATE,
            level: 0.0,
            unread: 0.0,
            at: Duration::ZERO,
            kept: Vec::new(),
            kept_tokens: 0,
        }
    }
}

impl Turns {
    /// Forgets all prompts: the engine has begun a new life. Its hardware is the same.
    pub fn clear(&mut self) {
        *self = Self {
            rate: self.rate,
            ..Self::default()
        };
    }

    /// Takes in how long the engine took to read a prompt and those before it.
    pub fn learn(&mut self, read: Read) {
        if read.unread < SAMPLE_TOKENS || read.took.is_zero() {
            return;
        }
        let sample = f64::from(read.unread) / (read.took.as_secs_f64() * 1000.0);
        let sample = sample.clamp(*RATES.start(), *RATES.end());
        self.rate += RATE_SMOOTH * (sample - self.rate);
    }

    /// Tokens that the engine reads in a millisecond.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Forgets what was kept for a model: the engine has unloaded it.
    pub fn unloaded(&mut self, model: &str) {
        self.kept.retain(|k| *k.model != *model);
        self.count();
    }

    /// Time for which the engine has prompts to read.
    pub fn backlog(&self, now: Duration) -> Duration {
        self.time(self.level(now))
    }

    /// Gives a prompt its turn, if the wait is of use. `memory` is the engine's, in tokens.
    pub fn ask(&mut self, ask: &Ask, memory: u64, now: Duration) -> Answer {
        let kept = self.kept_of(ask);
        let cost = f64::from(ask.tokens.saturating_sub(kept)) + EACH_TOKENS;
        let level = self.level(now);
        // A prompt longer than a burst goes when nothing is before it.
        let wait = self.time((level + cost - BURST_MS * self.rate).min(level));
        let booked = wait <= ask.limit;
        let before = self.left(self.unread, self.rate, now + wait);
        if booked {
            self.unread = self.left(self.unread, self.rate, now) + cost;
            self.level = level + cost;
            self.at = now;
            self.keep(ask, memory, now);
        }
        Answer {
            booked,
            wait,
            backlog: self.backlog(now),
            kept,
            unread: (before + cost) as u32,
        }
    }

    /// Time that reading a prompt takes, of which so many tokens are kept.
    pub fn work(&self, ask: &Ask, kept: u32) -> Duration {
        let tokens = f64::from(ask.tokens.saturating_sub(kept)) + EACH_TOKENS;
        Duration::from_secs_f64(tokens / self.rate / 1000.0)
    }

    /// Tokens that are read in a millisecond while streams keep their pace.
    fn drain(&self) -> f64 {
        READ_PART * self.rate
    }

    fn time(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens.max(0.0) / self.drain() / 1000.0)
    }

    fn level(&self, now: Duration) -> f64 {
        self.left(self.level, self.drain(), now)
    }

    /// What is left at `now` of tokens as of `at` that are read at a rate.
    fn left(&self, tokens: f64, rate: f64, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64() * 1000.0;
        (tokens - passed * rate).max(0.0)
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
