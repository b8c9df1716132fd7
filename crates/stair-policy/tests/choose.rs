//! The choice among the granted targets.

use std::time::Duration;

use rand::{
    SeedableRng,
    rngs::StdRng, //
};
use stair_policy::choose::{
    Candidate,
    Options,
    affinity_target, //
    order,
};
use stair_types::TargetKey;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn loaded(key: u32, wait: u64) -> Candidate {
    Candidate {
        key: TargetKey(key),
        loaded: true,
        expected_wait: ms(wait),
        report_age: ms(10),
        in_flight: 0,
        cold_start: ms(0),
        prefix_affinity: false,
        same_data_centre: true,
        weight: 1.0,
    }
}

fn stale(key: u32, wait: u64) -> Candidate {
    Candidate {
        report_age: ms(5_000),
        ..loaded(key, wait + 5_000)
    }
}

fn keys(candidates: &[Candidate]) -> Vec<u32> {
    let mut rng = StdRng::seed_from_u64(1);
    let order = order(&Options::default(), candidates, &mut rng);
    order.iter().map(|k| k.0).collect()
}

/// Counts how often each of the candidates is first.
fn count_first(candidates: &[Candidate], times: u32) -> Vec<u32> {
    let mut rng = StdRng::seed_from_u64(1);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..times {
        let first = order(&Options::default(), candidates, &mut rng)[0];
        counts[first.0 as usize] += 1;
    }
    counts
}

#[test]
fn least_wait() {
    let all = [loaded(0, 300), loaded(1, 20), loaded(2, 100)];
    assert_eq!(keys(&all), [1, 2, 0]);
}

#[test]
fn nothing_granted() {
    assert!(keys(&[]).is_empty());
}

#[test]
fn own_requests_count() {
    let busy = Candidate {
        in_flight: 4,
        ..loaded(0, 0)
    };
    assert_eq!(keys(&[busy, loaded(1, 100)]), [1, 0]);
}

// The model is loaded on a busy target and not on an idle one. A wait of half a second is better than a
// cold start of 20 s, a wait of a minute is worse.
#[test]
fn cold_start_or_wait() {
    let cold = Candidate {
        loaded: false,
        cold_start: ms(20_000),
        ..loaded(0, 0)
    };
    assert_eq!(keys(&[cold, loaded(1, 500)]), [1, 0]);
    assert_eq!(keys(&[cold, loaded(1, 60_000)]), [0, 1]);
}

#[test]
fn affinity_bounded() {
    let affinity = Candidate {
        prefix_affinity: true,
        ..loaded(0, 200)
    };
    assert_eq!(keys(&[affinity, loaded(1, 0)]), [0, 1]);
    let overloaded = Candidate {
        expected_wait: ms(400),
        ..affinity
    };
    assert_eq!(keys(&[overloaded, loaded(1, 0)]), [1, 0]);
}

#[test]
fn same_data_centre_first() {
    let far = Candidate {
        same_data_centre: false,
        ..loaded(0, 0)
    };
    assert_eq!(keys(&[far, loaded(1, 0)]), [1, 0]);
}

// All entries have the same stale report, in which one target is idle. If all of them chose it, its
// requests would wait while the other targets were idle.
#[test]
fn stale_reports_spread() {
    let all = [stale(0, 0), stale(1, 10), stale(2, 20), stale(3, 900)];
    let counts = count_first(&all, 4_000);
    assert!(counts[0] < 2_000, "{counts:?}");
    assert!(counts[2] > 600, "{counts:?}");
    assert!(counts[3] < 400, "{counts:?}");
}

// All reports are minutes old. The reported queues have drained since, so all candidates rank the same.
#[test]
fn old_wait_drains() {
    let old = |key, wait| Candidate {
        report_age: ms(120_000),
        ..loaded(key, wait)
    };
    let counts = count_first(&[old(0, 0), old(1, 2_000)], 4_000);
    assert!((1_800..2_200).contains(&counts[0]), "{counts:?}");
}

// A slow target with weight 0.1 gets a tenth of its fair half, so that its recovery is noticed, although
// it always ranks first with so little in flight.
#[test]
fn weight_is_traffic_share() {
    let slow = Candidate {
        weight: 0.1,
        ..loaded(0, 0)
    };
    let counts = count_first(&[slow, loaded(1, 50)], 4_000);
    assert!((150..280).contains(&counts[0]), "{counts:?}");
}

#[test]
fn affinity_is_stable() {
    let fleet: Vec<_> = (0..10).map(|k| (TargetKey(k), u64::from(k) * 77)).collect();
    for prefix in 0..100 {
        let affinity = affinity_target(prefix, fleet.iter().copied()).unwrap();
        let lost = fleet[(affinity.0 as usize + 1) % 10].0;
        let rest = fleet.iter().copied().filter(|t| t.0 != lost);
        assert_eq!(affinity_target(prefix, rest), Some(affinity));
    }
}

#[test]
fn affinity_is_even() {
    let mut affinity_counts = [0; 9];
    for prefix in 0..9_000 {
        let fleet = (0..9).map(|k| (TargetKey(k), u64::from(k)));
        let affinity = affinity_target(prefix, fleet).unwrap();
        affinity_counts[affinity.0 as usize] += 1;
    }
    assert!(
        affinity_counts.iter().all(|n| (850..1_150).contains(n)),
        "{affinity_counts:?}"
    );
}
