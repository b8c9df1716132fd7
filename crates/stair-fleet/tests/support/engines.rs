//! Engines that read prompts between the tokens of their streams, for plays.

use std::time::Duration;

use stair_fleet::{
    engine_estimate::{
        EventTime,
        Sampler, //
    },
    prefill::{
        Measurement,
        Schedule, //
    },
    target::{
        Load,
        Report,
        Usage, //
    },
};

use super::support::{
    NOW,
    inventory, //
};

/// Prompt tokens that an engine of speed 1 reads in a millisecond.
pub(crate) const RATE: f64 = 38.1;

/// Time of a step without prefill at an engine of speed 1, in milliseconds.
pub(crate) const STEP_MS: f64 = 4.43;

/// Tokens of an event.
pub(crate) const EVENT_TOKENS: u32 = 6;

/// Most prompt tokens of one step.
pub(crate) const CHUNK: f64 = 4096.0;

pub(crate) const TICK_MS: u64 = 5;

pub(crate) const MODELS: [&str; 3] = ["a", "b", "c"];

#[derive(Debug, Clone, Copy)]
pub(crate) struct Kind {
    pub(crate) shared: u32,
    pub(crate) own: u32,
    pub(crate) events: u32,
}

/// A prompt that was sent to an engine, and its stream.
pub(crate) struct Run {
    pub(crate) model: usize,
    pub(crate) kind: Kind,
    /// When it is sent, in milliseconds.
    pub(crate) at: f64,
    pub(crate) unread: f64,
    /// What the agent stated.
    pub(crate) prefill_time: Duration,
    pub(crate) tokens: u32,
    pub(crate) events: u32,
    pub(crate) last_event: f64,
    pub(crate) longest_pause: f64,
    pub(crate) sampler: Sampler,
}

/// An engine that reads prompts in the order of their arrival, and stalls its streams meanwhile.
pub(crate) struct Engine {
    pub(crate) speed: f64,
    /// The end of its last step, in milliseconds.
    pub(crate) clock: f64,
    pub(crate) runs: Vec<Run>,
    pub(crate) prefills: Schedule,
    /// Recent prefill by model, as a fraction of the engine's time.
    pub(crate) work: [f64; MODELS.len()],
    pub(crate) samples: Vec<EventTime>,
    pub(crate) measured: Vec<Measurement>,
    /// Tokens to read of the prompts that it was sent.
    pub(crate) assigned: f64,
}

impl Engine {
    pub(crate) fn new(speed: f64) -> Self {
        Self {
            speed,
            clock: NOW.as_secs_f64() * 1000.0,
            runs: Vec::new(),
            prefills: Schedule::default(),
            work: [0.0; MODELS.len()],
            samples: Vec::new(),
            measured: Vec::new(),
            assigned: 0.0,
        }
    }

    pub(crate) fn streams(&self) -> u32 {
        self.runs.iter().filter(|r| r.unread <= 0.0).count() as u32
    }

    /// Runs until a time, and moves the runs that end to `ended`.
    pub(crate) fn run_until(&mut self, until: f64, ended: &mut Vec<Run>) {
        while self.clock < until {
            self.step();
            ended.extend(self.runs.extract_if(.., |r| r.events >= r.kind.events));
        }
    }

    /// One step: a part of the prompts, and a token of each stream.
    pub(crate) fn step(&mut self) {
        let mut left = CHUNK;
        let mut done = Vec::new();
        for run in self.runs.iter_mut().filter(|r| r.at <= self.clock) {
            done.push(run.unread <= 0.0);
            let read = run.unread.min(left);
            run.unread -= read;
            left -= read;
        }
        let is_idle = done.is_empty();
        self.clock += match is_idle {
            true => TICK_MS as f64,
            false => (STEP_MS + (CHUNK - left) / RATE) / self.speed,
        };
        let now = self.clock;
        let started = self.runs.iter_mut().filter(|r| r.at <= now);
        for (run, _) in started.zip(done).filter(|(_, done)| *done) {
            run.tokens += 1;
            if run.tokens % EVENT_TOKENS != 0 {
                continue;
            }
            run.events += 1;
            let arrived = Duration::from_secs_f64(now / 1000.0);
            if run.events == 1 {
                self.measured.push(Measurement {
                    model: MODELS[run.model].into(),
                    prefill_time: run.prefill_time,
                    took: Duration::from_secs_f64((now - run.at) / 1000.0),
                });
            } else {
                run.longest_pause = run.longest_pause.max(now - run.last_event);
            }
            run.last_event = now;
            let event_ms = match run.events < run.kind.events {
                true => run.sampler.arrived(arrived),
                false => run.sampler.take(),
            };
            self.samples.extend(event_ms.map(|event_ms| EventTime {
                model: MODELS[run.model].into(),
                event_ms,
            }));
        }
    }

    pub(crate) fn report(&self, n: usize, now: Duration) -> Report {
        let usage = |m: usize| Usage {
            model: MODELS[m].into(),
            in_flight: 0,
            per_s: 0.0,
            prefill_fraction: self.work[m] as f32,
        };
        Report {
            inventory: inventory(&[MODELS[n % 3], MODELS[(n + 1) % 3]], &[]),
            load: Load {
                alive: true,
                total_tokens: 240_653,
                free_adapters: 8,
                running: self.streams(),
                backlog: self.prefills.backlog(now),
                usage: (0..MODELS.len()).map(usage).collect(),
                estimate: self.prefills.estimate(MODELS.into_iter(), now),
                ..Load::default()
            },
        }
    }
}
