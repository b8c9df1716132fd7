//! Turns at the weight store.

use std::time::Duration;

use stair_entry::control::turns::Desk;
use stair_policy::load_slots::Options;
use stair_types::TierRank;
use tokio::time::{
    Instant,
    timeout, //
};

const SOON: Duration = Duration::from_millis(1);
const LONG: Duration = Duration::from_secs(3600);
const PATIENCE: Duration = Duration::from_secs(30);

fn desk(at_once: u16) -> Desk {
    Desk::start(Options {
        loads_per_second: 1_000.0,
        full_speed_loads: at_once,
        ..Options::default()
    })
}

#[tokio::test(start_paused = true)]
async fn better_tier_first() {
    let desk = desk(1);
    let mut first = desk.ask(TierRank(1), PATIENCE);
    first.granted().await;
    let mut low = desk.ask(TierRank(1), PATIENCE);
    let mut high = desk.ask(TierRank(0), PATIENCE);
    assert!(timeout(SOON, high.granted()).await.is_err(), "one at once");

    drop(first);

    timeout(LONG, high.granted())
        .await
        .expect("the better tier");
    assert!(timeout(SOON, low.granted()).await.is_err());
    assert_eq!(desk.waiting(), 1);
}

// The agent that holds a turn dies in the middle of its load, and its stream ends with its link.
// The others would wait for ever if its turn stayed with it.
#[tokio::test(start_paused = true)]
async fn holder_dies() {
    let desk = desk(1);
    let mut held = desk.ask(TierRank(0), PATIENCE);
    held.granted().await;
    let waiting = desk.ask(TierRank(0), PATIENCE);
    let mut next = desk.ask(TierRank(0), PATIENCE);

    drop(waiting);
    drop(held);

    timeout(LONG, next.granted()).await.expect("its turn comes");
    assert_eq!(desk.waiting(), 0);
}

#[tokio::test(start_paused = true)]
async fn rate_kept() {
    let desk = Desk::start(Options {
        loads_per_second: 2.0,
        full_speed_loads: 100,
        ..Options::default()
    });
    let began = Instant::now();
    let mut turns: Vec<_> = (0..9).map(|_| desk.ask(TierRank(0), PATIENCE)).collect();
    for turn in &mut turns {
        turn.granted().await;
    }
    let took = began.elapsed();
    assert!(took >= Duration::from_secs(3), "nine loads after {took:?}");
}
