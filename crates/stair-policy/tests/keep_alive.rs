//! The keep-alive time of idle models.

use std::time::Duration;

use stair_policy::keep_alive::{
    Cost,
    KeepAlive,
    Options, //
};
use stair_types::ModelKey;

const MODEL: ModelKey = ModelKey(3);
const COST: Cost = Cost {
    cold_start: Duration::from_secs(20),
    memory_fraction: 1.0,
};

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn keep_alive(cold_start_weight: f64) -> KeepAlive {
    KeepAlive::new(Options {
        cold_start_weight,
        ..Options::default()
    })
}

/// Requests the model after each of the gaps, and returns its keep-alive time after the last one.
fn kept_after(keep_alive: &mut KeepAlive, gaps: impl IntoIterator<Item = u64>) -> Duration {
    let mut now = secs(0);
    keep_alive.used(MODEL, now);
    for gap in gaps {
        now += secs(gap);
        keep_alive.used(MODEL, now);
    }
    keep_alive.idle_until(MODEL, now, &COST) - now
}

#[test]
fn break_even_first() {
    assert_eq!(kept_after(&mut keep_alive(2.0), []), secs(40));
}

#[test]
fn bounds_kept() {
    assert_eq!(kept_after(&mut keep_alive(0.0), []), secs(5));
    assert_eq!(kept_after(&mut keep_alive(1_000.0), []), secs(600));
}

// Requests come every 30 s. The break-even time of 20 s would cost both the idle time and a cold start
// for each of them.
#[test]
fn regular_pattern() {
    let kept = kept_after(&mut keep_alive(1.0), [30; 20]);
    assert!(kept >= secs(30) || kept == secs(5), "{kept:?}");
    let kept = kept_after(&mut keep_alive(4.0), [30; 20]);
    assert!((secs(30)..secs(60)).contains(&kept), "{kept:?}");
}

// Requests come every 20 minutes. Keeping the model loaded would only occupy memory.
#[test]
fn rare_model_unloaded() {
    assert_eq!(kept_after(&mut keep_alive(1.0), [1_200; 20]), secs(5));
}

// Requests come in bursts, 8 s apart within a burst, with 20 minutes between bursts.
#[test]
fn bursts_kept_through() {
    let gaps = (0..600).map(|n| if n % 10 == 9 { 1_200 } else { 8 });
    let kept = kept_after(&mut keep_alive(1.0), gaps);
    assert!((secs(8)..secs(16)).contains(&kept), "{kept:?}");
}

#[test]
fn pattern_changes() {
    let mut keep_alive = keep_alive(4.0);
    kept_after(&mut keep_alive, [1_200; 200]);
    let kept = kept_after(&mut keep_alive, [30; 200]);
    assert!(kept >= secs(30), "{kept:?}");
}

// The model's weights are in the host's memory, so a reload takes only a second.
#[test]
fn fast_reload_unloaded() {
    let keep_alive = keep_alive(2.0);
    let cost = Cost {
        cold_start: secs(1),
        ..COST
    };
    let until = keep_alive.idle_until(MODEL, secs(100), &cost);
    assert_eq!(until, secs(105));
}

// An adapter occupies a twentieth of the accelerator, so it is kept twenty times as long.
#[test]
fn adapter_kept_longer() {
    let keep_alive = keep_alive(1.0);
    let cost = Cost {
        cold_start: secs(2),
        memory_fraction: 0.05,
    };
    let until = keep_alive.idle_until(MODEL, secs(0), &cost);
    assert_eq!(until, secs(40));
}
