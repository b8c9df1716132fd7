//! The retry budget, and the retry delay of refused requests.

use std::time::Duration;

use stair_policy::{
    backoff::{
        MAX_RETRY_AFTER,
        MIN_RETRY_AFTER,
        retry_after, //
    },
    retry::{
        Budget,
        Options, //
    },
};

/// Returns the number of retries when all `requests` and all their retries fail.
fn storm(requests: u32) -> u32 {
    let mut budget = Budget::new(Options::default());
    let mut retries = 0;
    for _ in 0..requests {
        budget.request();
        while budget.try_retry() {
            retries += 1;
        }
    }
    retries
}

// Every target fails every request. Without a budget each failure would add new load.
#[test]
fn tenth_at_most() {
    for requests in [100, 101, 999, 10_000] {
        assert_eq!(storm(requests), requests / 10);
    }
}

// The first request of a new entry fails at a lost target and is retried elsewhere.
#[test]
fn advance_given() {
    assert_eq!(storm(1), 10);
}

// Requests without failures save up a limited number of retries.
#[test]
fn savings_bounded() {
    let mut budget = Budget::new(Options::default());
    for _ in 0..100_000 {
        budget.request();
    }
    assert_eq!(budget.available(), 50);
}

#[test]
fn drain_respected() {
    let drain = Duration::from_secs(4);
    for id in 0..1_000 {
        let delay = retry_after(drain, id);
        assert!(delay >= drain && delay < drain * 2, "{delay:?}");
        assert_eq!(delay, retry_after(drain, id));
    }
}

// A thousand requests are refused at once with the same expected drain time. With the same delay they
// would return together, and most would be refused again.
#[test]
fn refused_spread() {
    let mut tenths = [0; 10];
    for id in 0..1_000 {
        let delay = retry_after(Duration::from_secs(10), id);
        tenths[delay.as_secs() as usize - 10] += 1;
    }
    assert!(tenths.iter().all(|n| (60..150).contains(n)), "{tenths:?}");
}

#[test]
fn times_bounded() {
    assert!(retry_after(Duration::ZERO, 1) >= MIN_RETRY_AFTER);
    assert!(retry_after(Duration::MAX, 1) <= MAX_RETRY_AFTER);
}
