//! Choice, placement and prefetch around targets that have named a limit.

mod support;

use std::time::Duration;

use stair_fleet::{
    View, choose, cold_start, prefetch,
    rate_limit::{
        Rate,
        Source, //
    },
    target::CopyLocation,
    target_state::TargetLimit,
    view::TargetKey,
};
use support::{
    NOW,
    SERVICE,
    engine,
    fleet,
    load_of,
    ms,
    options,
    report,
    used, //
};

fn limit(view: &mut View, key: TargetKey, free_in: Duration) {
    view.get_mut(key).limit = Some(TargetLimit {
        rate: Rate::try_from(1.0).expect("a rate"),
        epoch: None,
        source: Source::Response,
        since: NOW,
        free_at: NOW + free_in,
    });
}

// A request waits at a limited target beside a free replica, or a limited one that is free is left out.
#[test]
fn other_replica_first() {
    let (mut view, keys) = fleet(vec![report(&["a"], &[]), report(&["a"], &[])]);
    let free = choose::choose(&view, &options("a"), NOW).expect("a target");
    for limited in [0, 1] {
        limit(&mut view, keys[limited], ms(800));
        let at = choose::choose(&view, &options("a"), NOW).expect("a target");
        assert_eq!(at.key, keys[1 - limited]);
        view.get_mut(keys[limited]).limit = None;
    }
    limit(&mut view, keys[0], ms(800));
    limit(&mut view, keys[1], ms(300));
    let at = choose::choose(&view, &options("a"), NOW).expect("a target");
    assert_eq!(at.key, keys[1]);
    assert!((at.wait_ms - free.wait_ms - 300.0).abs() < 10.0, "{at:?}");
}

// A model is loaded at an engine that may take one request a second.
#[test]
fn loads_elsewhere() {
    let copies = ["a", "b"];
    let (mut view, keys) = fleet(vec![report(&[], &copies), report(&["c", "d"], &copies)]);
    let place = |view: &View| {
        cold_start::find(view, &load_of(&engine(), "a", &[]), NOW).expect("a placement")
    };
    assert_eq!(place(&view).key, keys[0]);
    limit(&mut view, keys[0], ms(0));
    assert_eq!(place(&view).key, keys[1]);
    limit(&mut view, keys[1], ms(0));
    assert_eq!(place(&view).key, keys[0]);
}

// The only replica without a limit is evicted as redundant.
#[test]
fn evicts_others() {
    let reports = vec![
        report(&["a", "b"], &["e"]),
        used(report(&["a", "c"], &["e"]), "c", 0.1, 0),
        used(report(&["a"], &[]), "a", 0.5, 0),
    ];
    let (mut view, keys) = fleet(reports);
    limit(&mut view, keys[2], ms(0));
    limit(&mut view, keys[0], ms(0));
    let at = cold_start::find(&view, &load_of(&engine(), "e", &[]), NOW).expect("a placement");
    assert_eq!(at.key, keys[1]);
    assert_eq!(&*at.victims[0], "c");
}

// Clients are refused for the limits of all replicas, and no further one is loaded from the store.
#[test]
fn further_replica() {
    let mut refused = report(&["b"], &[]);
    refused.load.unserved = vec![stair_fleet::target::Demand {
        model: "a".into(),
        per_s: 0.5,
    }];
    let all = ["a", "b", "c", "d", "e", "f"];
    let (mut view, keys) = fleet(vec![
        report(&["a"], &["a"]),
        refused,
        report(&[], &all[1..]),
    ]);
    let next = |view: &View| prefetch::next(view, SERVICE, &engine(), &[], NOW);
    assert!(next(&view).is_none_or(|n| &*n.model != "a"));
    limit(&mut view, keys[0], ms(900));
    let load = next(&view).expect("a load");
    assert_eq!((&*load.model, load.place.from), ("a", CopyLocation::Store));
}

// A request for an adapter gets a permit at an engine that lacks it and may not load it.
#[test]
fn adapter_elsewhere() {
    let (mut view, keys) = fleet(vec![report(&["a"], &[])]);
    let opts = choose::Options {
        adapter: Some("x"),
        ..options("a")
    };
    let chosen = |view: &View| choose::choose(view, &opts, NOW).map(|at| at.key);
    assert_eq!(chosen(&view), Some(keys[0]));
    limit(&mut view, keys[0], ms(0));
    assert_eq!(chosen(&view), None);
    let mut with_adapter = report(&["a"], &[]);
    with_adapter.inventory.models[0].adapters = vec!["x".into()];
    support::apply_report(&mut view, 0, with_adapter);
    assert_eq!(chosen(&view), Some(keys[0]));
}
