//! Tests of an entry's share of the retry budget.

use std::time::Duration;

use stair_fleet::budget::{
    Budget,
    Options,
    entries, //
};

const OPTS: Options = Options {
    ratio: 0.2,
    extra: 56.0,
    window: Duration::from_secs(10),
    entries: 10,
};

fn s(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Every target fails and every request is retried as often as allowed. Without a bound the fleet
/// would get several times its load, and all requests would time out.
#[test]
fn all_entries_together() {
    let mut sent = 0;
    let mut requests = 0;
    for _ in 0..OPTS.entries {
        let mut budget = Budget::new(OPTS);
        for i in 0..200 {
            budget.request(s(f64::from(i) * 0.05));
            requests += 1;
            while budget.try_retry(s(f64::from(i) * 0.05)) {
                sent += 1;
            }
        }
    }
    let bound = OPTS.ratio * f64::from(requests) + OPTS.extra;
    assert!(f64::from(sent) <= bound, "{sent} retries, allowed {bound}");
    assert!(f64::from(sent) > 0.5 * bound, "most of it can be used");
}

/// An entry without recent requests gets one that fails: it may still be retried.
#[test]
fn some_without_requests() {
    let mut budget = Budget::new(OPTS);
    budget.request(s(0.0));
    assert!(budget.try_retry(s(0.1)));
}

#[test]
fn window_slides() {
    let mut budget = Budget::new(OPTS);
    let mut first = 0;
    while budget.try_retry(s(1.0)) {
        first += 1;
    }
    assert!(!budget.try_retry(s(10.9)), "the window still holds them");
    let mut second = 0;
    while budget.try_retry(s(11.1)) {
        second += 1;
    }
    assert_eq!(first, second);
}

/// A fleet has grown from five entries to thirty while the settings state ten. If each used a tenth
/// of `extra`, all together would make three times the allowed retries.
#[test]
fn more_entries_than_configured() {
    let mut sent = 0;
    for _ in 0..30 {
        let mut budget = Budget::new(Options {
            entries: entries(OPTS.entries, [30]),
            ..OPTS
        });
        while budget.try_retry(s(1.0)) {
            sent += 1;
        }
    }
    assert!(f64::from(sent) <= OPTS.extra, "{sent}");
}

/// An agent is disconnected from most entries and reports a small number to the others.
#[test]
fn few_entries_at_one_agent() {
    assert_eq!(entries(10, [30, 3]), 60);
    assert_eq!(entries(10, [3]), 10, "no fewer than the settings say");
    assert_eq!(entries(10, []), 10);
}
