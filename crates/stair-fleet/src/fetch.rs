//! Limits concurrent loads from the weight store.
//!
//! After crashes, replacements or changes of demand many models have to come from the weight store
//! at once. Beyond an undeclared concurrency these loads slow each other down, and the most urgent
//! one comes late. The limit is derived from the reported durations of loads, so that an entry that
//! has just started knows it as well.

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

/// Limit until a load has ended, if a declared load is as fast as an engine's link.
const INITIAL_LIMIT_FAST_STORE: usize = 4;

/// Limit until a load has ended, if all declared loads are slower than an engine's link: the weight
/// store is then the bottleneck, and concurrent loads share it.
const INITIAL_LIMIT_SLOW_STORE: usize = 1;

/// Throughput of an engine's link, in MB per second.
const LINK_MB_PER_S: f64 = 10_000.0;

/// Loads below the limit that are reserved for requests that wait for one.
const RESERVED_LOADS: usize = 1;

/// Concurrency up to which loads that took their declared time double the limit; beyond it they
/// raise it by one.
const MAX_DOUBLED_LIMIT: usize = 2;

/// Multiple of the declared time above which a load was slowed down by others.
const SLOWDOWN_THRESHOLD: f32 = 1.15;

/// Time since the start of an entry for which it waits for the reports of all engines before it
/// loads from the weight store.
const REPORTS_TIMEOUT: Duration = Duration::from_millis(2500);

/// Limit of concurrent loads from the weight store, at least 1.
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
    // The duration of a load that ran alone was not caused by others.
    let slow = slow.iter().filter(|f| f.concurrent > 1).map(full_speed);
    let max_on_time = fast
        .iter()
        .map(|f| f.concurrent as usize)
        .max()
        .unwrap_or(0);
    if let Some(n) = slow.min() {
        // `n` is too low when others joined after a load had begun, which its agent cannot know.
        return n.max(max_on_time);
    }
    let more = match max_on_time {
        0 => 0,
        n if n <= MAX_DOUBLED_LIMIT => 2 * n,
        n => n + 1,
    };
    more.max(initial_limit(engine))
}

/// Limit of concurrent loads while a prefetch begins, at least 1.
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

/// Counts the loads from the weight store that are in progress.
pub fn in_progress(view: &View, service: &str, now: Duration) -> usize {
    view.of(service)
        .filter_map(|(_, s)| s.fresh_report(now)?.load.loading.as_ref())
        .filter(|l| l.from == CopyLocation::Store)
        .count()
}

/// Whether an entry that has just started has no report of some engine yet, or knows no engine.
///
/// After a power cut agents report the copies on disk a moment later. An entry that does not wait
/// for these reports would keep the weight store busy with models that need not come from there.
pub fn has_missing_reports(view: &View, service: &str, now: Duration) -> bool {
    let mut available = view.of(service).filter(|(_, s)| s.is_up(now)).peekable();
    let is_empty = available.peek().is_none();
    now < REPORTS_TIMEOUT && (is_empty || available.any(|(_, s)| s.fresh_report(now).is_none()))
}
