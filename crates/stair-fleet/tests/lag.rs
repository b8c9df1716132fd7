//! Tests of the detection of entries that lag.

use std::time::Duration;

use stair_fleet::{
    lag::Lag,
    msg::{
        Peers,
        ReplicationState, //
    },
};
use stair_types::StoreRevision;

fn state(entry: &str, data_centre: &str, targets: u64) -> ReplicationState {
    ReplicationState {
        entry: entry.into(),
        data_centre: data_centre.into(),
        peer: ([127, 0, 0, 1], 1).into(),
        catalogue: 1,
        targets: StoreRevision::new(0, targets),
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A hundred entries follow a list that changes sixty times a second, each up to 600 ms late, and
/// report once a second. At nearly any moment the last report of each entry is older than that of
/// some other. If that counted as lag, each entry would fetch the whole list from a peer several
/// times a second although its own watch delivers it.
#[test]
fn old_reports_are_no_lag() {
    let mut lag = Lag::default();
    for at in 0..10_000_u64 {
        if at % 10 == 0 {
            let n = at / 10 % 100;
            // Watches deliver changes at different moments, at most 600 ms late.
            let age = n * 37 % 600;
            let report = state(&format!("e{n}"), "a", at.saturating_sub(age) * 60 / 1000);
            assert!(!lag.observe(&report, ms(at)), "e{n} at {at} ms");
        }
    }
}

/// The store rejects one entry and serves the others. That entry would send requests to targets
/// that drain; it must be found within 2.5 seconds.
#[test]
fn entry_rejected_by_the_store() {
    let mut lag = Lag::default();
    let mut noticed = None;
    for at in (0..4000_u64).step_by(10) {
        lag.observe(&state("sound", "a", at), ms(at));
        let stuck = state("stuck", "a", at.min(1000));
        if at % 500 == 0 && lag.observe(&stuck, ms(at)) {
            noticed.get_or_insert(at);
        }
    }
    let noticed = noticed.expect("noticed");
    assert!((1900..=2500).contains(&noticed), "{noticed} ms");
}

/// All entries of a data centre must get the same watcher, and each data centre its own.
#[test]
fn one_watcher() {
    let all = vec![
        state("d", "a", 1),
        state("b", "b", 2),
        state("c", "a", 3),
        state("e", "b", 4),
    ];
    let watcher = |own: &ReplicationState| Peers::of(own, &all).watcher.map(|p| p.entry);
    let found: Vec<_> = all.iter().map(|k| watcher(k).expect("one")).collect();
    assert_eq!(found, ["c".into(), "b".into(), "c".into(), "b".into()]);
}
