//! A request id runs at most once and a withdrawal is final.

use std::time::Duration;

use proptest::prelude::*;
use stair_state::{
    RunTable,
    runs::{
        Phase,
        RETENTION, //
    },
};
use stair_types::RequestId;

const NOW: Duration = Duration::ZERO;

// The link breaks just after the entry has sent the start. The entry queries on a new link whether
// the request ran, and the query arrives before the start. After the agent has reported "not run",
// the entry sends the request to another target, so the late start must not run it.
#[test]
fn start_after_withdrawal() {
    let mut table = RunTable::default();
    assert!(table.offer(NOW, RequestId(1)));

    assert_eq!(table.withdraw(NOW, RequestId(1)), Phase::Withdrawn);

    assert!(!table.start(RequestId(1)));
}

// The query arrives even before the offer.
#[test]
fn offer_after_withdrawal() {
    let mut table = RunTable::default();

    assert_eq!(table.withdraw(NOW, RequestId(1)), Phase::Withdrawn);

    assert!(!table.offer(NOW, RequestId(1)));
    assert!(!table.start(RequestId(1)));
}

#[test]
fn started_stays_started() {
    let mut table = RunTable::default();
    table.offer(NOW, RequestId(1));
    assert!(table.start(RequestId(1)));

    assert_eq!(table.withdraw(NOW, RequestId(1)), Phase::Started);
    assert!(!table.start(RequestId(1)));
    assert!(!table.offer(NOW, RequestId(1)));
}

#[test]
fn ended_forgotten() {
    let mut table = RunTable::default();
    table.offer(NOW, RequestId(1));
    table.start(RequestId(1));
    table.end(NOW, RequestId(1));

    table.offer(NOW + RETENTION + Duration::from_secs(1), RequestId(2));

    assert_eq!(table.len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    // Messages of a request arrive repeatedly, late and in any order.
    #[test]
    fn any_order(calls in prop::collection::vec((0..4u8, 0..3u128), 1..60)) {
        let mut table = RunTable::default();
        let mut runs = [0; 3];
        let mut withdrawn = [false; 3];
        for (call, id) in calls {
            let i = id as usize;
            let id = RequestId(id);
            match call {
                0 => drop(table.offer(NOW, id)),
                1 => {
                    if table.start(id) {
                        runs[i] += 1;
                        prop_assert!(!withdrawn[i], "ran after it was withdrawn");
                    }
                }
                2 => {
                    let phase = table.withdraw(NOW, id);
                    withdrawn[i] |= phase == Phase::Withdrawn;
                    prop_assert_eq!(phase == Phase::Started, runs[i] > 0);
                }
                _ => table.end(NOW, id),
            }
            prop_assert!(runs[i] <= 1, "ran twice");
        }
    }
}
