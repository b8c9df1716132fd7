//! Tests of the choice of a target that can run a request now.

mod support;

use std::time::Duration;

use stair_fleet::{
    View,
    choose::{
        Connections,
        Options,
        choose,
        lacks_connection, //
    },
    target::{
        LoadedModel,
        Loading,
        State, //
    },
    target_state::SUSPECT_DURATION,
};
use stair_types::StoreRevision;
use support::{
    NOW,
    SERVICE,
    fleet,
    ms,
    options,
    report,
    target, //
};

#[test]
fn holds_the_model() {
    let (view, keys) = fleet(vec![report(&["a"], &[]), report(&["b"], &[])]);
    assert_eq!(choose(&view, &options("b"), NOW).expect("one").key, keys[1]);
    assert_eq!(choose(&view, &options("c"), NOW), None);
}

/// One replica has a long prefill backlog while the other is idle. A request sent to the first one
/// would get its first token seconds late.
#[test]
fn around_a_queue() {
    let mut busy = report(&["a"], &[]);
    busy.load.backlog = ms(600);
    let (view, keys) = fleet(vec![busy, report(&["a"], &[])]);
    assert_eq!(choose(&view, &options("a"), NOW).expect("one").key, keys[1]);
}

/// Requests with a common prefix must meet at one replica from any entry, so that the prefix is
/// read once; unless that replica's queue costs more than reading the prefix again.
#[test]
fn same_prefix_same_replica() {
    let reports = vec![
        report(&["a"], &[]),
        report(&["a"], &[]),
        report(&["a"], &[]),
    ];
    let (mut view, _) = fleet(reports);
    let opts = Options {
        shared: Some((6000, 42)),
        ..options("a")
    };
    let preferred = choose(&view, &opts, NOW).expect("one").key;
    for _ in 0..10 {
        assert_eq!(choose(&view, &opts, NOW).expect("one").key, preferred);
    }
    view.get_mut(preferred).prefill_until = NOW + ms(1500);
    assert_ne!(choose(&view, &opts, NOW).expect("one").key, preferred);
}

/// A target announces that it drains before it ends. A request sent to it after that would be lost.
#[test]
fn not_to_a_draining_target() {
    let (mut view, keys) = fleet(vec![report(&["a"], &[])]);
    assert!(choose(&view, &options("a"), NOW).is_some());
    let mut draining = view.get(keys[0]).target.clone();
    draining.state = State::Draining(Some(ms(2000)));
    view.put(draining, NOW);
    assert_eq!(choose(&view, &options("a"), NOW), None);
}

/// An agent reports that its engine does not reply, seconds before the list drops the engine.
#[test]
fn not_to_a_dead_engine() {
    let mut dead = report(&["a"], &[]);
    dead.load.alive = false;
    let (view, keys) = fleet(vec![dead, report(&["a"], &[])]);
    assert_eq!(choose(&view, &options("a"), NOW).expect("one").key, keys[1]);
}

/// An agent fails while its engine runs. The engine's own announcement still has the inventory, so
/// the engine must be used: otherwise a failed agent would disable a healthy engine.
#[test]
fn without_an_agent() {
    let (mut view, keys) = fleet(vec![report(&["a"], &[])]);
    let mut announced = view.get(keys[0]).target.clone();
    announced.inventory = support::inventory(&["a"], &[]);
    view.put(announced, NOW);
    let later = NOW + Duration::from_secs(10);
    assert_eq!(
        choose(&view, &options("a"), later).expect("one").key,
        keys[0]
    );
}

/// A connection to the only target has just failed. The target is left out for requests that have
/// another one, and tried again when there is no other.
#[test]
fn suspects_last() {
    let (mut view, keys) = fleet(vec![report(&["a"], &[])]);
    view.get_mut(keys[0]).suspect_until = NOW + SUSPECT_DURATION;
    assert_eq!(choose(&view, &options("a"), NOW), None);
    let opts = Options {
        suspects: true,
        ..options("a")
    };
    assert_eq!(choose(&view, &opts, NOW).expect("one").key, keys[0]);
    assert!(choose(&view, &options("a"), NOW + SUSPECT_DURATION).is_some());
}

/// One of three plain targets fails half of its requests while it announces itself as ready. Its
/// share must shrink, but not to zero, so that its recovery shows.
#[test]
fn half_failing() {
    let mut view = stair_fleet::View::default();
    view.replace(
        (0..3).map(|n| target(n, SERVICE)).collect(),
        StoreRevision::new(0, 1),
        NOW,
        NOW,
    );
    let opts = Options {
        model: None,
        ..options("")
    };
    let first = choose(&view, &opts, NOW).expect("one").key;
    for _ in 0..5 {
        view.get_mut(first).record_attempt(false);
    }
    assert_ne!(choose(&view, &opts, NOW).expect("one").key, first);
    for _ in 0..60 {
        view.get_mut(first).record_attempt(true);
    }
    assert!(view.get(first).failing < 0.01);
}

/// An engine takes no orders for adapters while it loads a model, for seconds. Meanwhile requests
/// for an adapter that it has not loaded must go to another engine; other requests may still go
/// there.
#[test]
fn adapter_during_a_load() {
    let mut loading = report(&["a"], &[]);
    loading.load.loading = Some(Loading {
        model: "b".into(),
        from: stair_fleet::target::CopyLocation::Store,
        remaining: ms(5000),
        slowdown: 0.0,
    });
    let mut other = report(&["a"], &[]);
    other.load.backlog = ms(300);
    let (mut view, keys) = fleet(vec![loading, other]);
    let opts = Options {
        adapter: Some("a1"),
        ..options("a")
    };
    assert_eq!(choose(&view, &opts, NOW).expect("one").key, keys[1]);
    assert_eq!(choose(&view, &options("a"), NOW).expect("one").key, keys[0]);
    let (report, _) = view.get_mut(keys[0]).report.as_mut().expect("reported");
    report.inventory.models = vec![LoadedModel {
        name: "a".into(),
        adapters: vec!["a1".into()],
    }];
    assert_eq!(choose(&view, &opts, NOW).expect("one").key, keys[0]);
}

/// Several entries see three equal targets and not each other's requests. If each chose the first
/// one, it would be full while two are idle.
#[test]
fn equal_targets_share() {
    let mut view = stair_fleet::View::default();
    view.replace(
        (0..3).map(|n| target(n, SERVICE)).collect(),
        StoreRevision::new(0, 1),
        NOW,
        NOW,
    );
    let mut counts = [0; 3];
    for salt in 0..300 {
        let opts = Options {
            model: None,
            salt,
            ..options("")
        };
        let key = choose(&view, &opts, NOW).expect("one").key;
        let id = &view.get(key).target.id;
        counts[usize::from(id.as_bytes()[1] - b'0')] += 1;
    }
    assert!(counts.iter().all(|n| (70..=130).contains(n)), "{counts:?}");
}

/// Entries of a deployment open more connections together than a target accepts.
#[test]
fn connections_are_shared() {
    let (mut view, keys) = fleet(vec![report(&["a"], &[])]);
    let opts = |entries| Options {
        connections: Connections::shared(20, entries),
        ..options("a")
    };
    let chosen = |view: &View, opts: &Options<'_>| choose(view, opts, NOW).is_some();
    view.get_mut(keys[0]).in_flight = 5;
    assert!(chosen(&view, &opts(2)));
    // All entries together use less than half, by the report.
    assert!(chosen(&view, &opts(4)));
    view.get_mut(keys[0]).in_flight = 10;
    assert!(!chosen(&view, &opts(4)));
    view.get_mut(keys[0]).in_flight = 5;
    let reported = view.get_mut(keys[0]).report.as_mut();
    reported.expect("a report").0.load.running = 12;
    assert!(!chosen(&view, &opts(4)));
    assert!(lacks_connection(&view, &opts(4), NOW));
    assert!(chosen(&view, &opts(2)));
}
