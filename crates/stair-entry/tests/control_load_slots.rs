//! Turns at the weight store.

use std::time::Duration;

use stair_entry::control::load_slots::LoadSlotScheduler;
use stair_policy::load_slots::Options;
use stair_types::TierRank;
use tokio::time::{
    Instant,
    timeout, //
};

const SHORT: Duration = Duration::from_millis(1);
const LONG: Duration = Duration::from_secs(3600);
const TIME_LEFT: Duration = Duration::from_secs(30);

fn scheduler(max_loads: u16) -> LoadSlotScheduler {
    LoadSlotScheduler::start(Options {
        loads_per_second: 1_000.0,
        full_speed_loads: max_loads,
        ..Options::default()
    })
}

#[tokio::test(start_paused = true)]
async fn better_tier_first() {
    let scheduler = scheduler(1);
    let mut first = scheduler.request(TierRank(1), TIME_LEFT);
    first.granted().await;
    let mut low = scheduler.request(TierRank(1), TIME_LEFT);
    let mut high = scheduler.request(TierRank(0), TIME_LEFT);
    assert!(timeout(SHORT, high.granted()).await.is_err(), "one at once");

    drop(first);

    timeout(LONG, high.granted())
        .await
        .expect("the better tier");
    assert!(timeout(SHORT, low.granted()).await.is_err());
    assert_eq!(scheduler.waiting(), 1);
}

// The agent that holds a turn dies in the middle of its load, and its stream ends with its link.
// The others would wait for ever if its turn stayed with it.
#[tokio::test(start_paused = true)]
async fn holder_disconnects() {
    let scheduler = scheduler(1);
    let mut held = scheduler.request(TierRank(0), TIME_LEFT);
    held.granted().await;
    let waiting = scheduler.request(TierRank(0), TIME_LEFT);
    let mut next = scheduler.request(TierRank(0), TIME_LEFT);

    drop(waiting);
    drop(held);

    timeout(LONG, next.granted()).await.expect("its turn comes");
    assert_eq!(scheduler.waiting(), 0);
}

#[tokio::test(start_paused = true)]
async fn rate_limited() {
    let scheduler = LoadSlotScheduler::start(Options {
        loads_per_second: 2.0,
        full_speed_loads: 100,
        ..Options::default()
    });
    let began = Instant::now();
    let mut leases: Vec<_> = (0..9)
        .map(|_| scheduler.request(TierRank(0), TIME_LEFT))
        .collect();
    for lease in &mut leases {
        lease.granted().await;
    }
    let took = began.elapsed();
    assert!(took >= Duration::from_secs(3), "nine loads after {took:?}");
}
