//! Loads that are made before a request waits for them.

mod support;

use stair_fleet::{
    prefetch,
    target::{
        CopyLocation,
        Demand,
        Report, //
    },
};
use support::{
    NOW,
    SERVICE,
    engine,
    fetching,
    fleet,
    ms,
    report, //
};

fn unserved(mut report: Report, demands: &[(&str, f32)]) -> Report {
    let demand = |(model, per_s): &(&str, f32)| Demand {
        model: (*model).into(),
        per_s: *per_s,
    };
    report.load.unserved = demands.iter().map(demand).collect();
    report
}

/// Several models have no copy left. Guards against a weight store that is busy with one that nobody asks for,
/// while clients of another come back to the same rejection.
#[test]
fn most_rejected_first() {
    let (view, _) = fleet(vec![
        unserved(report(&["a"], &[]), &[("e", 0.4)]),
        unserved(report(&["b"], &[]), &[("d", 0.5), ("e", 0.3)]),
    ]);
    let next = prefetch::next(&view, SERVICE, &engine(), &[], NOW).expect("a load");
    assert_eq!(&*next.model, "e");
    assert_eq!(next.place.from, CopyLocation::Store);
}

#[test]
fn not_beyond_the_store() {
    let (view, _) = fleet(vec![
        unserved(report(&["a", "b"], &[]), &[("e", 0.4)]),
        fetching("c", ms(5000), 0.1),
        fetching("d", ms(5000), 0.1),
        fetching("f", ms(5000), 0.1),
        fetching("a", ms(5000), 0.1),
    ]);
    let next = prefetch::next(&view, SERVICE, &engine(), &[], NOW);
    assert!(next.is_none_or(|n| n.place.from != CopyLocation::Store));
}

/// Guards against a load of ten seconds for a model whose engine is back in two.
#[test]
fn not_while_it_may_return() {
    let models = ["a", "b", "c", "d", "e", "f"];
    let (mut view, keys) = fleet(vec![
        report(&models[..2], &models[..5]),
        unserved(report(&["f"], &[]), &[("e", 0.4)]),
        report(&models[2..4], &models[..4]),
    ]);
    view.get_mut(keys[0]).suspect_until = NOW + ms(500);
    let next = prefetch::next(&view, SERVICE, &engine(), &[], NOW);
    assert!(next.is_none_or(|n| &*n.model != "e"));
    view.remove("t0");
    let next = prefetch::next(&view, SERVICE, &engine(), &[], NOW + ms(2900));
    assert!(next.is_none_or(|n| &*n.model != "e"));
}
