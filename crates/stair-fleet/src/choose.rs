//! Chooses the target for a request among those that can run it now.
//!
//! The target with the shortest estimated time to the first event wins. A busy model has several
//! replicas, each with its own prefix cache: requests with a common prefix prefer one replica,
//! chosen by rendezvous hashing, unless its queue costs more time than the cached prefix saves.
//!
//! An engine's own speed is used where it is known. What the request costs others is added for the
//! comparison of targets ([`Placement`]); it is no part of the wait by which requests are refused or
//! replicas loaded.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    target_state::{
        TargetState,
        model_bit, //
    },
    view::{
        TargetKey,
        View, //
    }, //
};

/// Prefill rate for estimates, in prompt tokens per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 36.0;

/// Delay that a running request adds to another's first event, in milliseconds.
const RUNNING_MS: f64 = 3.0;

/// Delay that a queued request adds, in milliseconds: half the prefill of a usual prompt.
const QUEUED_MS: f64 = 120.0;

/// Cost of an adapter that has to be loaded first, in milliseconds.
const ADAPTER_MS: f64 = 30.0;

/// Cost of an adapter when all adapter slots are in use, in milliseconds: the rest of a usual
/// stream.
const NO_ADAPTER_SLOT_MS: f64 = 900.0;

/// Cost of a target in another data centre, in milliseconds.
const DISTANCE_MS: f64 = 3.0;

/// Cost of a target that fails every attempt, in milliseconds. It is finite, so that the target is
/// tried when there is no other.
const FAILURE_MS: f64 = 2000.0;

/// Estimates that differ by less count as equal, in milliseconds, so that more distant targets are
/// chosen as well.
const TIE_BREAK_MS: f64 = 6.0;

/// Cost of a target whose prefill takes all of its time, in milliseconds. Half of what a usual cached
/// prefix saves, so that requests leave their prefix's replica only for a much less loaded one.
const FULL_LOAD_MS: f64 = 200.0;

/// Bound of the load in the delay of requests that come later, which is infinite at 1.
const MAX_LOAD: f64 = 0.85;

/// Tokens that each prompt costs beside its own.
const PROMPT_OVERHEAD_TOKENS: f64 = 150.0;

/// Expected pause beside a prompt, as a fraction of the promised one, up to which no stream is late, and
/// from which on all are. The rates are right within some 20%.
const PAUSE_RAMP: (f64, f64) = (0.7, 1.0);

/// Cost of a stream that pauses for longer than promised, in milliseconds.
const LATE_STREAM_MS: f64 = 200.0;

/// Largest cost of late streams, in milliseconds.
const MAX_LATE_STREAMS_MS: f64 = 1200.0;

/// Events that a running stream still has, for the cost of steps that take longer beside more streams.
const EVENTS_LEFT: f64 = 10.0;

/// Uncached tokens from which on a prompt is long, where long prompts are kept from streams.
const LONG_PROMPT_TOKENS: f64 = 2000.0;

/// Cost of each stream beside a long prompt, where they are separated, in milliseconds.
const SEPARATE_STREAM_MS: f64 = 30.0;

/// Cost of an engine that only reads long prompts to a short one, where they are separated, in
/// milliseconds.
const SEPARATE_LOAD_MS: f64 = 800.0;

/// How the cost to other requests enters the choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// Not at all, and without the engines' own speeds: by the constants.
    Fixed,
    /// All engines share all work by their load.
    Share,
    /// As `Share`, and long prompts avoid engines with many streams, and short ones those that read
    /// much. Agents use short bursts while prompts have time.
    Separate,
}

impl Placement {
    /// The one in use. Trials that compare them change it here.
    pub const CURRENT: Self = Self::Share;
}

/// The request that needs a target.
#[derive(Debug, Clone, Copy)]
pub struct Options<'a> {
    /// The service.
    pub service: &'a str,
    /// The model, if the service runs models.
    pub model: Option<&'a str>,
    /// The adapter, if one is requested.
    pub adapter: Option<&'a str>,
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Tokens and hash of the prompt's prefix that other requests share.
    pub shared: Option<(u64, u64)>,
    /// The entry's data centre.
    pub data_centre: &'a str,
    /// Targets that were tried before.
    pub tried: &'a [TargetKey],
    /// Differs between requests, so that entries with equal estimates do not all choose the same
    /// target.
    pub salt: u64,
    /// Whether suspect targets count too; for requests that have no other target left.
    pub suspects: bool,
    /// The software version that the request is bound to, if it continues a stream.
    pub version: Option<&'a str>,
    /// Connections that this entry may have open to one target.
    pub connections: Connections,
    /// The shortest pause between events that a route of the service promises.
    pub pause: Option<Duration>,
    /// How the cost to other requests enters the choice.
    pub placement: Placement,
}

/// How many connections an entry may have open to one target.
#[derive(Debug, Clone, Copy)]
pub struct Connections {
    /// Connections that the target accepts from all entries together.
    declared: u32,
    /// This entry's equal share of them, one at least.
    share: u32,
}

impl Connections {
    /// No bound.
    pub const UNBOUNDED: Self = Self {
        declared: u32::MAX,
        share: u32::MAX,
    };

    /// The bound of one of `entries`, if a target accepts `declared` connections.
    pub fn shared(declared: u32, entries: u32) -> Self {
        Self {
            declared,
            share: (declared / entries.max(1)).max(1),
        }
    }

    /// Whether a further one may be opened. An entry may exceed its share while the target's agent reports that
    /// all entries together use less than half: traffic is uneven, and reports are a second old at most.
    pub fn allow(&self, s: &TargetState, now: Duration) -> bool {
        let half = self.declared / 2;
        let used = s.fresh_report(now).map(|r| r.load.running + r.load.queued);
        s.in_flight < self.share || (used.is_some_and(|n| n < half) && s.in_flight < half)
    }
}

/// The chosen target and its estimate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outcome {
    /// The target.
    pub key: TargetKey,
    /// Time to the first event by the constants, in milliseconds. Refusals and loads are decided by it, so
    /// that an estimate causes none.
    pub wait_ms: f64,
    /// Time to the first event by the engine's own speed, in milliseconds.
    pub expected_ms: f64,
    /// The pause that the prompt causes to streams at the target, in milliseconds; 0 if unknown.
    pub pause_ms: f64,
    /// What the request costs others, in milliseconds.
    pub cost_ms: f64,
}

impl Outcome {
    fn score(&self) -> f64 {
        self.expected_ms + self.cost_ms
    }
}

/// Chooses among the targets that accept requests and have the model, if one is requested.
pub fn choose(view: &View, opts: &Options<'_>, now: Duration) -> Option<Outcome> {
    // Most engines lack the model, and one bit rules out most of them.
    let bit = opts.model.map(model_bit);
    let candidates: Vec<(TargetKey, &TargetState)> = view
        .all()
        .filter(|(_, s)| bit.is_none_or(|b| s.may_have(b)))
        .filter(|(_, s)| *s.target.service == *opts.service)
        .filter(|(key, s)| s.accepts(opts.suspects, now) && !opts.tried.contains(key))
        .filter(|(_, s)| opts.connections.allow(s, now) && can_serve(s, opts, now))
        .collect();
    let preferred = affinity_target(&candidates, opts);
    candidates
        .iter()
        .map(|(key, s)| estimate(*key, s, opts, preferred == Some(*key), now))
        .min_by(|a, b| a.score().total_cmp(&b.score()))
}

/// Whether a target could run the request if this entry had a connection to it left.
pub fn lacks_connection(view: &View, opts: &Options<'_>, now: Duration) -> bool {
    let mut all = view.of(opts.service);
    all.any(|(key, s)| {
        let accepts = s.accepts(opts.suspects, now) && !opts.tried.contains(&key);
        accepts && !opts.connections.allow(s, now) && can_serve(s, opts, now)
    })
}

/// A target that could run a request if its backoff was over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffWait {
    /// The target.
    pub key: TargetKey,
    /// Time until it may get the request.
    pub wait: Duration,
}

/// The targets that could run a request but for a backoff, or for the requests that wait for them and go
/// first: those in `withheld`. The times do not include the turns of other requests.
pub fn backoff_waits<'a>(
    view: &'a View,
    opts: &'a Options<'_>,
    withheld: &'a [TargetKey],
    now: Duration,
) -> impl Iterator<Item = BackoffWait> + 'a {
    view.of(opts.service)
        .filter(move |(key, s)| s.is_up(now) && !opts.tried.contains(key))
        .filter(move |(key, s)| s.availability.backoff().is_some() || withheld.contains(key))
        .filter(move |(_, s)| can_serve(s, opts, now))
        .filter_map(move |(key, s)| {
            let wait = s.availability.wait(now)?;
            Some(BackoffWait { key, wait })
        })
}

/// Whether a target has the model and can have the adapter, if they are requested.
fn can_serve(s: &TargetState, opts: &Options<'_>, now: Duration) -> bool {
    if !s.target.runs(opts.version) {
        return false;
    }
    let has_adapter = match (opts.model, opts.adapter) {
        (Some(model), Some(adapter)) => s.may_load() || s.has_adapter(model, adapter, now),
        _ => true,
    };
    has_adapter && opts.model.is_none_or(|m| s.can_run(m, now))
}

/// The replica that caches the shared prefix. All entries compute the same one.
fn affinity_target(
    candidates: &[(TargetKey, &TargetState)],
    opts: &Options<'_>,
) -> Option<TargetKey> {
    let (_, hash) = opts.shared?;
    candidates
        .iter()
        .max_by_key(|(_, s)| xxh3_64_with_seed(s.target.id.as_bytes(), hash))
        .map(|(key, _)| *key)
}

/// Estimates the time to the first event at a target, and the cost to others.
fn estimate(
    key: TargetKey,
    s: &TargetState,
    opts: &Options<'_>,
    is_affinity_target: bool,
    now: Duration,
) -> Outcome {
    let tie_break = xxh3_64_with_seed(s.target.id.as_bytes(), opts.salt) as f64 / u64::MAX as f64;
    let mut ms = tie_break * TIE_BREAK_MS + s.delay_ms.max(0.0) + s.failing * FAILURE_MS;
    if *s.target.data_centre != *opts.data_centre {
        ms += DISTANCE_MS;
    }
    ms += s.limit_wait(now).as_secs_f64() * 1000.0;
    let Some(model) = opts.model else {
        // A plain service: the estimate depends on how many slots this entry's own requests use.
        let slots = f64::from(s.target.slots.max(1));
        ms += 20.0 * f64::from(s.in_flight) / slots + s.target.cold.as_millis() as f64 / 50.0;
        return Outcome {
            key,
            wait_ms: ms,
            expected_ms: ms,
            pause_ms: 0.0,
            cost_ms: 0.0,
        };
    };
    let cached = match opts.shared {
        Some((tokens, _)) if is_affinity_target => tokens,
        _ => 0,
    };
    let report = s.fresh_report(now);
    if opts.adapter.is_some_and(|a| !s.has_adapter(model, a, now)) {
        ms += ADAPTER_MS;
        // An engine takes no orders for adapters while it loads or unloads a model.
        let loading = report.and_then(|r| r.load.loading.as_ref());
        ms += loading.map_or(0.0, |l| l.remaining.as_secs_f64() * 1000.0);
        if report.is_some_and(|r| r.load.free_adapters == 0) {
            ms += NO_ADAPTER_SLOT_MS;
        }
    }
    let queue = queue_of(s, now);
    ms += queue.backlog_ms;
    let tokens = opts.tokens.saturating_sub(cached) as f64;
    let usual_ms = tokens / PREFILL_TOKENS_PER_MS
        + queue.unread_tokens / PREFILL_TOKENS_PER_MS
        + f64::from(queue.running) * RUNNING_MS;
    let mut out = Outcome {
        key,
        wait_ms: ms + usual_ms,
        expected_ms: ms + usual_ms,
        pause_ms: 0.0,
        cost_ms: 0.0,
    };
    if opts.placement == Placement::Fixed {
        return out;
    }
    let load = report.map_or(0.0, |r| r.load.prefill_fraction());
    let (mut rate, mut crowding_ms) = (PREFILL_TOKENS_PER_MS, 0.0);
    if let Some(pace) = s.pace(model, queue.running, now) {
        rate = pace
            .tokens_per_ms
            .unwrap_or(PREFILL_TOKENS_PER_MS * pace.speed);
        out.expected_ms = ms + (tokens + queue.unread_tokens) / rate + pace.event_ms;
        crowding_ms = EVENTS_LEFT * (pace.event_ms - pace.least_event_ms);
        out.pause_ms = (tokens + PROMPT_OVERHEAD_TOKENS) / rate + pace.event_ms;
    }
    let cost = Cost {
        tokens,
        prefill_ms: tokens / rate,
        pause_ms: out.pause_ms,
        streams: queue.running,
        load,
    };
    out.cost_ms = crowding_ms + cost.ms(opts);
    out
}

/// What delays a request at an engine, beside its own prompt.
struct Queue {
    running: u32,
    backlog_ms: f64,
    unread_tokens: f64,
}

fn queue_of(s: &TargetState, now: Duration) -> Queue {
    let Some(report) = s.fresh_report(now) else {
        // The agent is silent: only this entry's own requests are known.
        return Queue {
            running: s.in_flight,
            backlog_ms: 0.0,
            unread_tokens: s.unread_tokens as f64,
        };
    };
    // A limited engine is read seldom, so that its counts are old, and gets few requests.
    let (running, queued) = match s.limit {
        None => (report.load.running, report.load.queued),
        Some(_) => (0, 0),
    };
    let backlog = s.prefill_until.saturating_sub(now);
    Queue {
        running,
        backlog_ms: backlog.as_secs_f64() * 1000.0 + f64::from(queued) * QUEUED_MS,
        unread_tokens: 0.0,
    }
}

/// What determines the cost of a prompt to other requests at an engine.
struct Cost {
    /// Tokens to read.
    tokens: f64,
    prefill_ms: f64,
    pause_ms: f64,
    streams: u32,
    /// Fraction of the engine's time that prefill takes.
    load: f64,
}

impl Cost {
    fn ms(&self, opts: &Options<'_>) -> f64 {
        let streams = f64::from(self.streams);
        // The busier the engine, the more requests wait for the prompt.
        let load = self.load.min(MAX_LOAD);
        let mut ms = self.prefill_ms * load / (1.0 - load) + FULL_LOAD_MS * self.load.min(1.0);
        if let Some(pause) = opts.pause.filter(|p| !p.is_zero()) {
            let fraction = self.pause_ms / (pause.as_secs_f64() * 1000.0);
            let late = (fraction - PAUSE_RAMP.0) / (PAUSE_RAMP.1 - PAUSE_RAMP.0);
            ms += (late.clamp(0.0, 1.0) * streams * LATE_STREAM_MS).min(MAX_LATE_STREAMS_MS);
        }
        if opts.placement == Placement::Separate {
            ms += match self.tokens >= LONG_PROMPT_TOKENS {
                true => streams * SEPARATE_STREAM_MS,
                false => load * SEPARATE_LOAD_MS,
            };
        }
        ms
    }
}
