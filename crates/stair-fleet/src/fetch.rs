//! Limits concurrent loads from the weight store.
//!
//! Load: crashes, replacements or moving demand need many models from the weight store at once. Beyond an undeclared
//! concurrency loads slow each other down, and the most urgent one comes late. The limit is derived from the reported
//! durations of loads, so that an entry which has just started knows it as well.

use std::time::Duration;

use crate::{
    catalogue::{
        Engine,
        Model, //
    },
    target::{
        CopyLocation,
        Fetched, //
    },
    view::View, //
};

/// Concurrent loads until one has ended, if a load is as fast as an engine's link.
const INITIAL_LIMIT_FAST_STORE: usize = 4;

/// The same if it is slower: the weight store is the limit then, and others would share it.
const INITIAL_LIMIT_SLOW_STORE: usize = 1;

/// Throughput of an engine's link, in MB a second.
const LINK_MB_PER_S: f64 = 10_000.0;

/// Concurrent loads that are kept free for requests that wait for one.
const RESERVED_LOADS: usize = 1;

/// Concurrency up to which loads that kept their declared time allow twice as many; beyond it, one more.
const MAX_DOUBLED_LIMIT: usize = 2;

/// Part of the declared time beyond which a load was slowed by others.
const SLOWDOWN_THRESHOLD: f32 = 1.15;

/// Age up to which an entry waits for the reports of all engines before it loads from the weight store.
const REPORTS_TIMEOUT: Duration = Duration::from_millis(2500);

/// Loads that are of use at once, at least one.
pub fn concurrency_limit(view: &View, service: &str, engine: &Engine, now: Duration) -> usize {
    let concurrent = u32::try_from(in_progress(view, service, now)).unwrap_or(u32::MAX);
    let reports = || view.of(service).filter_map(|(_, s)| s.fresh_report(now));
    let delayed = reports()
        .filter_map(|r| r.load.loading.as_ref())
        .filter(|l| l.from == CopyLocation::Store)
        .map(|l| Fetched {
            concurrent,
            slowdown: l.slowdown,
        })
        .filter(|f| f.slowdown > SLOWDOWN_THRESHOLD);
    let ended = reports().filter_map(|r| r.load.fetched);
    let (slow, fast): (Vec<Fetched>, Vec<Fetched>) = delayed
        .chain(ended)
        .partition(|f| f.slowdown > SLOWDOWN_THRESHOLD);
    let full_speed = |f: &Fetched| (f.concurrent as f32 / f.slowdown).round().max(1.0) as usize;
    // One that ran alone was not slowed by others, whatever it took.
    let slow = slow.iter().filter(|f| f.concurrent > 1).map(full_speed);
    let proven = fast
        .iter()
        .map(|f| f.concurrent as usize)
        .max()
        .unwrap_or(0);
    if let Some(n) = slow.min() {
        // Too low where others joined after a load had begun, which its agent cannot know.
        return n.max(proven);
    }
    let more = match proven {
        0 => 0,
        n if n <= MAX_DOUBLED_LIMIT => 2 * n,
        n => n + 1,
    };
    more.max(initial_limit(engine))
}

/// Loads that may run at once without a request that waits for one of them to end, at least one.
pub fn prefetch_limit(view: &View, service: &str, engine: &Engine, now: Duration) -> usize {
    let limit = concurrency_limit(view, service, engine, now);
    limit.saturating_sub(RESERVED_LOADS).max(1)
}

fn initial_limit(engine: &Engine) -> usize {
    let rate = |m: &Model| m.weights_mb / m.from_store.as_secs_f64().max(0.001);
    let fastest = engine.models.iter().map(rate).fold(0.0, f64::max);
    if fastest >= LINK_MB_PER_S {
        INITIAL_LIMIT_FAST_STORE
    } else {
        INITIAL_LIMIT_SLOW_STORE
    }
}

/// Counts the loads that are under way.
pub fn in_progress(view: &View, service: &str, now: Duration) -> usize {
    view.of(service)
        .filter_map(|(_, s)| s.fresh_report(now)?.load.loading.as_ref())
        .filter(|l| l.from == CopyLocation::Store)
        .count()
}

/// Whether an entry that has just started still lacks the report of an engine, or knows of none.
///
/// After a power cut agents report copies on disk a moment later. An entry that does not wait for them would keep
/// the weight store busy with models that need not come from there.
pub fn has_missing_reports(view: &View, service: &str, now: Duration) -> bool {
    let mut available = view
        .of(service)
        .filter(|(_, s)| s.is_available(now))
        .peekable();
    let is_empty = available.peek().is_none();
    now < REPORTS_TIMEOUT && (is_empty || available.any(|(_, s)| s.fresh_report(now).is_none()))
}
