//! The weights of slow and failing targets.

use std::time::Duration;

use stair_policy::traffic_weights::{
    Options,
    Outcome,
    TrafficWeights, //
};
use stair_types::TargetKey;

const TARGETS: u32 = 9;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn traffic_weights() -> TrafficWeights {
    TrafficWeights::new(Options::default())
}

/// Has each target respond `rounds` times, with a latency in milliseconds by its number.
fn run<F>(s: &mut TrafficWeights, rounds: u32, latency: F)
where
    F: Fn(u32) -> u64,
{
    for _ in 0..rounds {
        for t in 0..TARGETS {
            s.observe(TargetKey(t), ms(latency(t)), Outcome::Completed);
        }
    }
}

fn weights(s: &TrafficWeights) -> Vec<f32> {
    (0..TARGETS).map(|t| s.weight(TargetKey(t))).collect()
}

#[test]
fn full_at_first() {
    assert_eq!(weights(&traffic_weights()), [1.0; TARGETS as usize]);
}

// One target responds ten times slower than the others. With a full share, its requests would wait while
// the other targets are idle.
#[test]
fn slow_reduced() {
    let mut s = traffic_weights();
    run(&mut s, 20, |_| 100);
    run(&mut s, 40, |t| if t == 4 { 1_000 } else { 100 });
    assert!(s.weight(TargetKey(4)) < 0.1, "{:?}", weights(&s));
    assert!(s.weight(TargetKey(5)) > 0.99, "{:?}", weights(&s));
}

// The weight falls step by step, so that the target's load does not move to the others at once.
#[test]
fn gradual_reduction() {
    let mut s = traffic_weights();
    run(&mut s, 20, |_| 100);
    let mut last = 1.0;
    for _ in 0..60 {
        run(&mut s, 1, |t| if t == 4 { 1_000 } else { 100 });
        let weight = s.weight(TargetKey(4));
        assert!(last - weight < 0.25 && weight >= 0.02, "{last} {weight}");
        last = weight;
    }
}

#[test]
fn weight_recovers() {
    let mut s = traffic_weights();
    run(&mut s, 60, |t| if t == 4 { 1_000 } else { 100 });
    run(&mut s, 60, |_| 100);
    assert!(s.weight(TargetKey(4)) > 0.95, "{:?}", weights(&s));
}

// The whole fleet becomes ten times slower under load. Less traffic to some targets would overload the
// others.
#[test]
fn all_slow() {
    let mut s = traffic_weights();
    run(&mut s, 20, |_| 100);
    for _ in 0..50 {
        run(&mut s, 1, |_| 1_000);
        assert!(weights(&s).iter().all(|w| *w > 0.9), "{:?}", weights(&s));
    }
}

#[test]
fn failing_reduced() {
    let mut s = traffic_weights();
    run(&mut s, 20, |_| 100);
    for _ in 0..40 {
        run(&mut s, 1, |_| 100);
        s.observe(TargetKey(2), ms(1), Outcome::Failed);
        s.observe(TargetKey(2), ms(1), Outcome::Failed);
    }
    assert!(s.weight(TargetKey(2)) < 0.3, "{:?}", weights(&s));
    assert!(s.weight(TargetKey(3)) > 0.9, "{:?}", weights(&s));
}

// All requests fail, for instance when the platform's network is down. No target is the cause.
#[test]
fn all_failing() {
    let mut s = traffic_weights();
    for _ in 0..50 {
        for t in 0..TARGETS {
            s.observe(TargetKey(t), ms(1), Outcome::Failed);
        }
    }
    assert!(weights(&s).iter().all(|w| *w > 0.9), "{:?}", weights(&s));
}

#[test]
fn forgotten_has_full_weight() {
    let mut s = traffic_weights();
    run(&mut s, 60, |t| if t == 4 { 1_000 } else { 100 });
    s.forget(TargetKey(4));
    assert_eq!(s.weight(TargetKey(4)), 1.0);
}
