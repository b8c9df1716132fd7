//! The load slots of the weight store.

use std::time::Duration;

use stair_policy::load_slots::{
    LoadSlots, //
    Options,
};
use stair_types::TierRank;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn load_slots() -> LoadSlots<u32> {
    LoadSlots::new(Options {
        loads_per_second: 2.0,
        full_speed_loads: 2,
        holder_timeout: ms(5_000),
        promote_after: ms(20_000),
    })
}

fn request(t: &mut LoadSlots<u32>, now: u64, key: u32, rank: u8, deadline: u64) {
    t.request(ms(now), key, TierRank(rank), ms(deadline));
}

#[test]
fn rate_kept() {
    let mut t = load_slots();
    request(&mut t, 0, 1, 0, 9_000);
    request(&mut t, 0, 2, 0, 9_000);
    assert!(t.next(ms(0)).is_some());
    assert_eq!(t.next(ms(499)), None);
    assert_eq!(t.next_at(), Some(ms(500)));
    assert!(t.next(ms(500)).is_some());
}

// The store slows down and loads take ten times as long. More concurrent loads would slow down all.
#[test]
fn running_bounded() {
    let mut t = load_slots();
    for key in 0..3 {
        request(&mut t, 0, key, 0, 90_000);
    }
    let first = t.next(ms(0)).unwrap();
    let second = t.next(ms(500)).unwrap();
    for now in (1_000..30_000).step_by(1_000) {
        assert!(t.renew(ms(now), first) && t.renew(ms(now), second));
        assert_eq!(t.next(ms(now)), None);
    }
    t.done(first);
    assert!(t.next(ms(30_000)).is_some());
}

#[test]
fn urgent_first() {
    let mut t = load_slots();
    request(&mut t, 0, 1, 1, 2_000);
    request(&mut t, 0, 2, 0, 9_000);
    request(&mut t, 0, 3, 0, 4_000);
    assert_eq!(t.next(ms(0)), Some(3));
    assert_eq!(t.next(ms(500)), Some(2));
}

// An urgent request needs a model whose load already waits for a less urgent one. The load becomes more
// urgent and stays a single one.
#[test]
fn urgency_raised() {
    let mut t = load_slots();
    request(&mut t, 0, 1, 0, 5_000);
    request(&mut t, 0, 2, 2, 60_000);
    request(&mut t, 0, 2, 0, 3_000);
    assert_eq!(t.waiting(), 2);
    assert_eq!(t.next(ms(0)), Some(2));
}

// An agent dies during a load and does not end its lease. Other loads wait for the slot.
#[test]
fn lease_expires() {
    let mut t = load_slots();
    for key in 0..3 {
        request(&mut t, 0, key, 0, 90_000);
    }
    let dead = t.next(ms(0)).unwrap();
    let alive = t.next(ms(500)).unwrap();
    assert!(t.renew(ms(4_000), alive));
    assert_eq!(t.next(ms(4_999)), None);
    assert!(t.next(ms(5_000)).is_some());
    assert!(!t.renew(ms(5_001), dead));
}

#[test]
fn cancelled_skipped() {
    let mut t = load_slots();
    request(&mut t, 0, 1, 0, 1_000);
    request(&mut t, 0, 2, 1, 1_000);
    t.cancel(1);
    assert_eq!(t.next(ms(0)), Some(2));
    assert_eq!(t.next_at(), None);
}

// Models of the highest tier start cold faster than the store can load them. A load of the lowest tier
// waits, and is not starved.
#[test]
fn lowest_tier_promoted() {
    let mut t = load_slots();
    request(&mut t, 0, 0, 2, 600_000);
    let mut now = 0;
    let mut key = 1;
    loop {
        request(&mut t, now, key, 0, now + 700_000);
        let Some(leased) = t.next(ms(now)) else {
            panic!("the rate allows a start");
        };
        t.done(leased);
        if leased == 0 {
            break;
        }
        key += 1;
        now += 500;
    }
    assert!((40_000..60_000).contains(&now), "{now}");
}
