//! Chooses the target for a request among those that can run it now.
//!
//! The target with the shortest estimated time to the first event wins. A busy model has several
//! replicas, each with its own prefix cache: requests with a common prefix prefer one replica,
//! chosen by rendezvous hashing, unless its queue costs more time than the cached prefix saves.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    target_state::TargetState,
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
    /// Estimated time to the first event, in milliseconds.
    pub wait_ms: f64,
}

/// Chooses among the targets that accept requests and have the model, if one is requested.
pub fn choose(view: &View, opts: &Options<'_>, now: Duration) -> Option<Outcome> {
    let candidates: Vec<(TargetKey, &TargetState)> = view
        .of(opts.service)
        .filter(|(key, s)| s.accepts(opts.suspects, now) && !opts.tried.contains(key))
        .filter(|(_, s)| opts.connections.allow(s, now) && can_serve(s, opts, now))
        .collect();
    let preferred = affinity_target(&candidates, opts);
    candidates
        .iter()
        .map(|(key, s)| Outcome {
            key: *key,
            wait_ms: wait_ms(s, opts, preferred == Some(*key), now),
        })
        .min_by(|a, b| a.wait_ms.total_cmp(&b.wait_ms))
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

fn wait_ms(s: &TargetState, opts: &Options<'_>, is_affinity_target: bool, now: Duration) -> f64 {
    let tie_break = xxh3_64_with_seed(s.target.id.as_bytes(), opts.salt) as f64 / u64::MAX as f64;
    let mut ms = tie_break * TIE_BREAK_MS + s.delay_ms.max(0.0) + s.failing * FAILURE_MS;
    if *s.target.data_centre != *opts.data_centre {
        ms += DISTANCE_MS;
    }
    ms += s.limit_wait(now).as_secs_f64() * 1000.0;
    let Some(model) = opts.model else {
        // A plain service: the estimate depends on how many slots this entry's own requests use.
        let slots = f64::from(s.target.slots.max(1));
        return ms
            + 20.0 * f64::from(s.in_flight) / slots
            + s.target.cold.as_millis() as f64 / 50.0;
    };
    let cached = match opts.shared {
        Some((tokens, _)) if is_affinity_target => tokens,
        _ => 0,
    };
    ms += opts.tokens.saturating_sub(cached) as f64 / PREFILL_TOKENS_PER_MS;
    if let Some(report) = s.fresh_report(now) {
        ms += s.prefill_until.saturating_sub(now).as_secs_f64() * 1000.0;
        // A limited engine is read seldom, so that its counts are old, and gets few requests.
        if s.limit.is_none() {
            ms += f64::from(report.load.running) * RUNNING_MS
                + f64::from(report.load.queued) * QUEUED_MS;
        }
    } else {
        // The agent is silent: only this entry's own requests are known.
        ms += s.unread_tokens as f64 / PREFILL_TOKENS_PER_MS;
        ms += f64::from(s.in_flight) * RUNNING_MS;
    }
    if opts.adapter.is_some_and(|a| !s.has_adapter(model, a, now)) {
        ms += ADAPTER_MS;
        // An engine takes no orders for adapters while it loads or unloads a model.
        let loading = s.fresh_report(now).and_then(|r| r.load.loading.as_ref());
        ms += loading.map_or(0.0, |l| l.remaining.as_secs_f64() * 1000.0);
        if s.fresh_report(now)
            .is_some_and(|r| r.load.free_adapters == 0)
        {
            ms += NO_ADAPTER_SLOT_MS;
        }
    }
    ms
}
