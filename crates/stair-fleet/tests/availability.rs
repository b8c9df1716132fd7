//! Tests of what targets state about the requests that they take.

mod support;

use stair_fleet::{
    View,
    availability::{
        Change,
        Registry,
        Shared,
        Statement,
        Withheld, //
    },
    prefetch,
    rate_limit::Source,
    target::{
        Incarnation,
        State,
        Target, //
    },
};
use support::{
    NOW,
    SERVICE,
    addr,
    apply_report,
    engine,
    fleet,
    ms,
    report,
    target,
    used, //
};

fn drains() -> Statement {
    Statement {
        draining: true,
        backoff: None,
    }
}

fn started(n: usize, started: u64) -> Target {
    Target {
        started: Some(started),
        ..target(n, SERVICE)
    }
}

fn is_available(view: &View, id: &str) -> bool {
    let found = view.all().find(|(_, s)| *s.target.id == *id);
    found.is_some_and(|(_, s)| s.is_available(NOW) || s.accepts(true, NOW))
}

// The list, a peer's list, a report or a later response without the header ends a drain.
#[test]
fn drain_outlasts_all() {
    let mut view = View::default();
    let key = view.put(started(0, 10), NOW).expect("new");
    let incarnation = view.get(key).target.incarnation();
    let changes = view.apply_statement(&incarnation, &drains(), Source::Response, NOW);
    assert_eq!(changes, [Change::Drain]);
    let again = view.apply_statement(&incarnation, &drains(), Source::AgentCall, NOW);
    assert_eq!(again, []);
    view.apply_statement(&incarnation, &Statement::default(), Source::Response, NOW);
    view.put(started(0, 10), NOW);
    assert!(!is_available(&view, "t0"));
    view.replace(vec![started(0, 10)], 2, NOW, NOW);
    let listed = view.list(NOW);
    assert_eq!(listed[0].target.state, State::Draining(None));
    view.replace_from_peer(listed, 3, NOW);
    apply_report(&mut view, 0, report(&["a"], &[]));
    view.put(started(0, 10), NOW);
    assert!(!is_available(&view, "t0"));
    view.remove("t0");
    view.put(started(0, 10), NOW);
    assert!(!is_available(&view, "t0"));
}

// The slot of a target that drains is reused, and the target gets requests when the list has it again.
#[test]
fn drain_outlasts_slot() {
    let mut view = View::default();
    let key = view.put(started(0, 10), NOW).expect("new");
    let incarnation = view.get(key).target.incarnation();
    view.apply_statement(&incarnation, &drains(), Source::Response, NOW);
    view.remove("t0");
    view.put(started(1, 10), NOW);
    assert!(is_available(&view, "t1"));
    view.put(started(0, 10), NOW);
    assert!(!is_available(&view, "t0"));
    assert_eq!(view.drains().collect::<Vec<_>>(), [incarnation]);
}

// An incarnation that drains keeps its successor from requests.
#[test]
fn successor_is_used() {
    let mut view = View::default();
    let key = view.put(started(0, 10), NOW).expect("new");
    let incarnation = view.get(key).target.incarnation();
    view.apply_statement(&incarnation, &drains(), Source::Response, NOW);
    view.put(started(0, 20), NOW);
    assert!(is_available(&view, "t0"));
    let other = Target {
        addr: addr(0),
        ..started(5, 30)
    };
    view.put(other, NOW);
    assert!(is_available(&view, "t5"));
}

// A drain that another process has told of before the list has the target is lost.
#[test]
fn drain_before_list() {
    let mut view = View::default();
    let incarnation = started(0, 10).incarnation();
    view.apply_statement(&incarnation, &drains(), Source::Process, NOW);
    view.put(started(0, 10), NOW);
    assert!(!is_available(&view, "t0"));
}

// A model whose last replica is on an engine that drains is loaded nowhere else before its requests are refused,
// or a model without demand evicts another one.
#[test]
fn drained_models_load_elsewhere() {
    let (mut view, keys) = fleet(vec![
        used(
            used(report(&["a", "b"], &[]), "a", 0.5, 0),
            "b",
            2.0,
            0, //
        ),
        report(&["c", "d"], &[]),
        report(&["e", "f"], &["a", "b"]),
    ]);
    let before = prefetch::next(&view, SERVICE, &engine(), &[], NOW);
    assert!(before.is_none_or(|n| n.gain.is_some()));
    let incarnation = view.get(keys[0]).target.incarnation();
    view.apply_statement(&incarnation, &drains(), Source::Response, NOW);
    let next = prefetch::next(&view, SERVICE, &engine(), &[], NOW).expect("a load");
    assert_eq!(&*next.model, "b");
    assert_eq!(next.place.key, keys[2]);
}

// A registry forgets a drain when other incarnations of the target are stated, or keeps all forever.
#[test]
fn registry_by_incarnation() {
    let mut registry = Registry::default();
    let of = |started| Incarnation {
        id: "t".into(),
        started: Some(started),
    };
    for started in 0..3 {
        let shared = Shared::drain(of(started));
        registry.apply(&shared.incarnation, &shared.statement, Source::Process, NOW);
    }
    assert_eq!(registry.drains().count(), 3);
    let withheld = |r: &Registry, n| r.get(&of(n)).withheld(NOW);
    assert_eq!(withheld(&registry, 1), Some(Withheld::Drain));
    assert_eq!(withheld(&registry, 3), None);
    let later = NOW + ms(4_000_000);
    registry.apply(&of(3), &drains(), Source::Process, later);
    assert_eq!(registry.drains().count(), 1);
}
