//! The queue in front of one engine.

use std::time::Duration;

use proptest::prelude::*;
use stair_policy::queue::{
    Estimate,
    Item,
    Options,
    Outcome,
    Queue,
    TierOptions, //
};
use stair_types::{
    ModelKey,
    Reason,
    TierRank, //
};

const ONE_SLOT: Estimate = Estimate {
    concurrency: 1,
    slot_free_in: Duration::ZERO,
    start_interval: Duration::ZERO,
    ready_in: Duration::ZERO,
};

/// Tolerance for retry times, which are computed in floating point.
const ROUNDING: Duration = Duration::from_micros(10);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn item(key: u32, rank: u8, deadline: u64, run: u64) -> Item<u32> {
    Item {
        key,
        rank: TierRank(rank),
        deadline: ms(deadline),
        arrived: ms(0),
        expected_run: ms(run),
        bytes: 100,
        model: ModelKey(0),
    }
}

fn options(max_requests: u32, floors: &[u8]) -> Options {
    let tier = |floor_percent: &u8| TierOptions {
        max_waiting: max_requests,
        floor_percent: *floor_percent,
    };
    Options {
        max_requests,
        max_bytes: u64::from(max_requests) * 100,
        short_run: ms(50),
        slack_percent: 0,
        tiers: floors.iter().map(tier).collect(),
    }
}

fn queue(max_requests: u32, floors: &[u8]) -> Queue<u32> {
    Queue::new(options(max_requests, floors))
}

fn admit(q: &mut Queue<u32>, item: Item<u32>) {
    let outcome = q.push(ms(0), item, &ONE_SLOT);
    assert_eq!(outcome, Outcome::Queued { displaced: None }, "{item:?}");
}

fn admit_at(q: &mut Queue<u32>, now: u64, item: Item<u32>, est: &Estimate) {
    let outcome = q.push(ms(now), item, est);
    assert_eq!(outcome, Outcome::Queued { displaced: None }, "{item:?}");
}

fn refusal(outcome: Outcome<u32>) -> (Reason, Duration) {
    match outcome {
        Outcome::Refused {
            reason,
            retry_after,
        } => (reason, retry_after),
        Outcome::Queued { .. } => panic!("admitted"),
    }
}

fn drain(q: &mut Queue<u32>) -> Vec<u32> {
    std::iter::from_fn(|| q.pop(ms(0), |_| true))
        .map(|i| i.key)
        .collect()
}

#[test]
fn higher_first() {
    let mut q = queue(10, &[0, 0, 0]);
    admit(&mut q, item(1, 2, 1_000, 10));
    admit(&mut q, item(2, 0, 9_000, 10));
    admit(&mut q, item(3, 1, 5_000, 10));
    assert_eq!(drain(&mut q), [2, 3, 1]);
}

#[test]
fn earliest_deadline() {
    let mut q = queue(10, &[0]);
    admit(&mut q, item(1, 0, 900, 100));
    admit(&mut q, item(2, 0, 300, 100));
    admit(&mut q, item(3, 0, 600, 100));
    assert_eq!(drain(&mut q), [2, 3, 1]);
}

// An item of 20 s has slack and an earlier deadline than a short one. By deadline alone, the short one
// would wait for the whole run.
#[test]
fn short_first() {
    let mut q = queue(10, &[0]);
    admit(&mut q, item(1, 0, 40_000, 20_000));
    admit(&mut q, item(2, 0, 41_000, 20));
    assert_eq!(drain(&mut q), [2, 1]);
}

// A long item has no slack. Running a short one first would make it late.
#[test]
fn urgent_first() {
    let mut q = queue(10, &[0]);
    admit(&mut q, item(1, 0, 20_000, 20_000));
    admit(&mut q, item(2, 0, 30_000, 100));
    assert_eq!(drain(&mut q), [1, 2]);
}

#[test]
fn short_only() {
    let mut q = queue(10, &[0, 0]);
    admit(&mut q, item(1, 0, 9_000, 2_000));
    assert_eq!(q.pop_short(ms(0), |_| true), None);
    admit(&mut q, item(2, 1, 9_000, 20));
    assert_eq!(q.pop_short(ms(0), |_| true).map(|i| i.key), Some(2));
}

// The engine is busy until after the item's deadline. The item is refused at once, with the time by
// which it would have been late.
#[test]
fn late_refused() {
    let mut q = queue(10, &[0]);
    admit(&mut q, item(1, 0, 1_000, 800));
    let outcome = q.push(ms(0), item(2, 0, 1_200, 600), &ONE_SLOT);
    let (reason, retry_after) = refusal(outcome);
    assert_eq!(reason, Reason::WouldMissDeadline);
    assert!(retry_after.abs_diff(ms(200)) < ROUNDING, "{retry_after:?}");
}

#[test]
fn admitted_stays_in_time() {
    let mut q = queue(10, &[0]);
    admit(&mut q, item(1, 0, 1_000, 800));
    let outcome = q.push(ms(0), item(2, 0, 900, 600), &ONE_SLOT);
    assert_eq!(refusal(outcome).0, Reason::WouldMissDeadline);
}

// The model is cold and its load ends too late for the deadline.
#[test]
fn cold_refused() {
    let mut q = queue(10, &[0]);
    let cold = Estimate {
        ready_in: ms(900),
        ..ONE_SLOT
    };
    let outcome = q.push(ms(0), item(1, 0, 1_000, 200), &cold);
    let (reason, retry_after) = refusal(outcome);
    assert_eq!(reason, Reason::WouldMissDeadline);
    assert!(retry_after.abs_diff(ms(100)) < ROUNDING, "{retry_after:?}");
}

#[test]
fn cold_skipped() {
    let mut q = queue(10, &[0]);
    let cold = Item {
        model: ModelKey(7),
        ..item(1, 0, 500, 10)
    };
    admit(&mut q, cold);
    admit(&mut q, item(2, 0, 900, 10));
    let popped = q.pop(ms(0), |m| m != ModelKey(7));
    assert_eq!(popped.map(|i| i.key), Some(2));
}

// The queue is full of items of the lowest tier when one of a higher tier arrives. The item with the
// latest deadline is displaced.
#[test]
fn lowest_displaced() {
    let mut q = queue(2, &[0, 0]);
    admit(&mut q, item(1, 1, 5_000, 10));
    admit(&mut q, item(2, 1, 9_000, 10));
    let outcome = q.push(ms(0), item(3, 0, 9_000, 10), &ONE_SLOT);
    assert_eq!(outcome, Outcome::Queued { displaced: Some(2) });
    assert_eq!(q.len(), 2);
}

#[test]
fn own_tier_not_displaced() {
    let mut q = queue(2, &[0, 0]);
    admit(&mut q, item(1, 0, 5_000, 10));
    admit(&mut q, item(2, 0, 9_000, 10));
    let outcome = q.push(ms(0), item(3, 0, 4_000, 10), &ONE_SLOT);
    assert_eq!(refusal(outcome), (Reason::QueueFull, ms(10)));
}

#[test]
fn bytes_bounded() {
    let mut q = queue(4, &[0]);
    let big = Item {
        bytes: 350,
        ..item(1, 0, 5_000, 10)
    };
    admit(&mut q, big);
    let outcome = q.push(ms(0), item(2, 0, 5_000, 10), &ONE_SLOT);
    assert_eq!(refusal(outcome).0, Reason::QueueFull);
    assert_eq!(q.bytes(), 350);
}

// The highest tier has enough work to keep the engine busy. The lowest still gets its floor share.
#[test]
fn floor_share() {
    let mut q = queue(1_000, &[0, 10]);
    for key in 0..200 {
        admit(&mut q, item(key, 0, 100_000, 100));
    }
    for key in 200..240 {
        admit(&mut q, item(key, 1, 100_000, 100));
    }
    let first: Vec<u32> = drain(&mut q).into_iter().take(100).collect();
    let low = first.iter().filter(|k| **k >= 200).count();
    assert!((8..=10).contains(&low), "{low} of 100");
}

#[test]
fn late_expired() {
    let mut q = queue(10, &[0]);
    admit(&mut q, item(1, 0, 1_000, 400));
    admit(&mut q, item(2, 0, 2_000, 400));
    assert_eq!(q.next_expiry(), Some(ms(600)));
    assert_eq!(q.expire(ms(600)), []);
    assert_eq!(q.expire(ms(601)), [1]);
    assert_eq!(q.len(), 1);
}

#[test]
fn wait_by_tier() {
    let mut q = queue(10, &[0, 0]);
    admit(&mut q, item(1, 0, 9_000, 400));
    admit(&mut q, item(2, 1, 9_000, 400));
    assert_eq!(q.expected_wait(ms(0), TierRank(0), &ONE_SLOT), ms(400));
    let low = q.expected_wait(ms(0), TierRank(1), &ONE_SLOT);
    assert!(low >= ms(800) && low < ms(820), "{low:?}");
}

// The highest tier has kept the engine busy for a minute. No item waits now, but an item of the lowest
// tier would be overtaken until its deadline, so it is refused at once.
#[test]
fn arrivals_forecast() {
    let mut q = queue(100, &[0, 0]);
    for key in 0..600 {
        let now = ms(u64::from(key) * 100);
        let deadline = u64::from(key) * 100 + 9_000;
        q.push(now, item(key, 0, deadline, 100), &ONE_SLOT);
        q.pop(now, |_| true);
    }
    let busy = Estimate {
        slot_free_in: ms(100),
        ..ONE_SLOT
    };
    admit_at(&mut q, 60_000, item(600, 0, 62_000, 500), &busy);
    let outcome = q.push(ms(60_000), item(601, 1, 70_000, 500), &busy);
    assert_eq!(refusal(outcome).0, Reason::WouldMissDeadline);
    admit_at(&mut q, 300_000, item(602, 1, 310_000, 500), &busy);
}

#[derive(Debug, Clone)]
enum Step {
    Push { rank: u8, timeout: u64, run: u64 },
    Pop,
    PopShort,
    Remove(u32),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..4_u8, 1..3_000_u64, 1..400_u64)
            .prop_map(|(rank, timeout, run)| Step::Push { rank, timeout, run }),
        1 => Just(Step::Pop),
        1 => Just(Step::PopShort),
        1 => (0..200_u32).prop_map(Step::Remove),
        1 => (1..300_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..200)
}

proptest! {
    // Each queued item leaves exactly once. An item that left twice would run twice; one that never left
    // would wait forever.
    #[test]
    fn leaves_once(steps in steps()) {
        let mut q = queue(12, &[0, 10, 5]);
        let mut now = ms(0);
        let mut entered = Vec::new();
        let mut left = Vec::new();
        for (key, step) in (0..).zip(steps) {
            match step {
                Step::Push { rank, timeout, run } => {
                    let deadline = u64::try_from(now.as_millis()).unwrap() + timeout;
                    let outcome = q.push(now, item(key, rank, deadline, run), &ONE_SLOT);
                    if let Outcome::Queued { displaced } = outcome {
                        entered.push(key);
                        left.extend(displaced);
                    }
                }
                Step::Pop => left.extend(q.pop(now, |_| true).map(|i| i.key)),
                Step::PopShort => left.extend(q.pop_short(now, |_| true).map(|i| i.key)),
                Step::Remove(key) => left.extend(q.remove(key).map(|i| i.key)),
                Step::Wait(by) => {
                    now += ms(by);
                    left.extend(q.expire(now));
                }
            }
            prop_assert!(q.len() <= 12 && q.bytes() <= 1_200);
            prop_assert_eq!(q.len() + left.len(), entered.len());
        }
        left.extend(q.expire(Duration::MAX - ms(1_000)));
        left.sort_unstable();
        prop_assert_eq!(left, entered);
        prop_assert!(q.is_empty() && q.bytes() == 0);
    }
}
