//! The target for a request among those that can run it now.

mod support;

use std::time::Duration;

use stair_fleet::{
    choose::{
        Options,
        choose, //
    },
    target::{
        LoadedModel,
        Loading,
        State, //
    },
    target_state::SUSPECT_DURATION,
};
use support::{
    NOW,
    SERVICE,
    ask,
    fleet,
    ms,
    report,
    target, //
};

#[test]
fn holds_the_model() {
    let (view, keys) = fleet(vec![report(&["a"], &[]), report(&["b"], &[])]);
    assert_eq!(choose(&view, &ask("b"), NOW).expect("one").key, keys[1]);
    assert_eq!(choose(&view, &ask("c"), NOW), None);
}

/// One replica reads a long queue of prompts while the other is idle. A request sent to the first
/// would wait for all of them; its client would see the first token seconds late.
#[test]
fn around_a_queue() {
    let mut busy = report(&["a"], &[]);
    busy.load.backlog = ms(600);
    let (view, keys) = fleet(vec![busy, report(&["a"], &[])]);
    assert_eq!(choose(&view, &ask("a"), NOW).expect("one").key, keys[1]);
}

/// Requests with the same head of a prompt meet at one replica, from any entry, so that it is read
/// once; but not when that replica's queue costs more than reading it anew.
#[test]
fn same_head_same_replica() {
    let reports = vec![
        report(&["a"], &[]),
        report(&["a"], &[]),
        report(&["a"], &[]),
    ];
    let (mut view, _) = fleet(reports);
    let opts = Options {
        shared: Some((6000, 42)),
        ..ask("a")
    };
    let home = choose(&view, &opts, NOW).expect("one").key;
    for _ in 0..10 {
        assert_eq!(choose(&view, &opts, NOW).expect("one").key, home);
    }
    view.get_mut(home).prefill_until = NOW + ms(1500);
    assert_ne!(choose(&view, &opts, NOW).expect("one").key, home);
}

/// A target leaves: its announcement says so before it is gone. A request sent to it after that
/// would be lost with it.
#[test]
fn not_to_the_leaving() {
    let (mut view, keys) = fleet(vec![report(&["a"], &[])]);
    assert!(choose(&view, &ask("a"), NOW).is_some());
    let mut leaving = view.get(keys[0]).target.clone();
    leaving.state = State::Draining(Some(ms(2000)));
    view.put(leaving, NOW);
    assert_eq!(choose(&view, &ask("a"), NOW), None);
}

/// An agent reports that its engine no longer answers, seconds before the list drops it.
#[test]
fn not_to_the_dead() {
    let mut dead = report(&["a"], &[]);
    dead.load.alive = false;
    let (view, keys) = fleet(vec![dead, report(&["a"], &[])]);
    assert_eq!(choose(&view, &ask("a"), NOW).expect("one").key, keys[1]);
}

/// An agent dies and its engine lives. The engine's own announcement still says what it holds, so
/// it is used: without that a dead agent would cost a sound engine.
#[test]
fn without_an_agent() {
    let (mut view, keys) = fleet(vec![report(&["a"], &[])]);
    let mut announced = view.get(keys[0]).target.clone();
    announced.inventory = support::inventory(&["a"], &[]);
    view.put(announced, NOW);
    let later = NOW + Duration::from_secs(10);
    assert_eq!(choose(&view, &ask("a"), later).expect("one").key, keys[0]);
}

/// A connection to the only target failed a moment ago. It is left out while another can take the
/// request, and tried again when there is no other.
#[test]
fn suspects_last() {
    let (mut view, keys) = fleet(vec![report(&["a"], &[])]);
    view.get_mut(keys[0]).suspect_until = NOW + SUSPECT_DURATION;
    assert_eq!(choose(&view, &ask("a"), NOW), None);
    let opts = Options {
        suspects: true,
        ..ask("a")
    };
    assert_eq!(choose(&view, &opts, NOW).expect("one").key, keys[0]);
    assert!(choose(&view, &ask("a"), NOW + SUSPECT_DURATION).is_some());
}

/// One of three plain targets fails half of its requests while it says that it is well. Its share
/// shrinks; it is not cut off, so that it is seen recovering.
#[test]
fn half_failing() {
    let mut view = stair_fleet::View::default();
    view.replace((0..3).map(|n| target(n, SERVICE)).collect(), 1, NOW, NOW);
    let opts = Options {
        model: None,
        ..ask("")
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

/// An engine takes no order for an adapter while a model is loaded there, for seconds. Requests for
/// an adapter that it lacks go elsewhere meanwhile; others still go there.
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
        ..ask("a")
    };
    assert_eq!(choose(&view, &opts, NOW).expect("one").key, keys[1]);
    assert_eq!(choose(&view, &ask("a"), NOW).expect("one").key, keys[0]);
    let (report, _) = view.get_mut(keys[0]).report.as_mut().expect("reported");
    report.inventory.models = vec![LoadedModel {
        name: "a".into(),
        adapters: vec!["a1".into()],
    }];
    assert_eq!(choose(&view, &opts, NOW).expect("one").key, keys[0]);
}

/// Several entries see three equal targets and know nothing of each other's requests. If each took
/// the first, one target would be full while two are idle.
#[test]
fn equal_targets_share() {
    let mut view = stair_fleet::View::default();
    view.replace((0..3).map(|n| target(n, SERVICE)).collect(), 1, NOW, NOW);
    let mut counts = [0; 3];
    for salt in 0..300 {
        let opts = Options {
            model: None,
            salt,
            ..ask("")
        };
        let key = choose(&view, &opts, NOW).expect("one").key;
        let id = &view.get(key).target.id;
        counts[usize::from(id.as_bytes()[1] - b'0')] += 1;
    }
    assert!(counts.iter().all(|n| (70..=130).contains(n)), "{counts:?}");
}
