//! Tests of what targets state about the requests that they take.

mod support;

use proptest::{
    collection::vec,
    prelude::*, //
};
use stair_fleet::{
    View,
    availability::{
        Availability,
        Change,
        PROBE_INTERVAL,
        Registry,
        Shared,
        Statement,
        Withheld,
        longest_seconds, //
    },
    choose, prefetch,
    rate_limit::Source,
    target::{
        Incarnation,
        State,
        Target, //
    },
    view::TargetKey,
};
use stair_types::StoreRevision;
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
    view.replace(vec![started(0, 10)], StoreRevision::new(0, 2), NOW, NOW);
    let listed = view.list(NOW);
    assert_eq!(listed[0].target.state, State::Draining(None));
    view.replace_from_peer(listed, StoreRevision::new(0, 3), false, NOW);
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

fn backs_off(time: u64) -> Statement {
    Statement {
        draining: false,
        backoff: Some(ms(time)),
    }
}

fn after(time: u64, changes: &[Change]) -> Availability {
    let mut availability = Availability::default();
    let got = availability.apply(&backs_off(time), Source::Response, NOW);
    assert_eq!(got, changes);
    availability
}

// A shorter time, a success or another process ends a backoff, or a longer time does not extend it.
#[test]
fn backoff_lasts() {
    let mut a = after(3000, &[Change::Backoff(ms(3000))]);
    assert!(!a.may_send(NOW));
    for statement in [backs_off(500), backs_off(0), Statement::default()] {
        assert_eq!(
            a.apply(&statement, Source::Response, NOW + ms(1000)),
            [] //
        );
    }
    assert_eq!(a.withheld(NOW + ms(2999)), Some(Withheld::Backoff));
    assert_eq!(a.wait(NOW + ms(1000)), Some(ms(2000)));
    assert!(a.may_send(NOW + ms(3000)));
    let longer = a.apply(&backs_off(3000), Source::AgentCall, NOW + ms(1000));
    assert_eq!(longer, [Change::Backoff(ms(3000))]);
    assert!(!a.may_send(NOW + ms(3999)));
    let known = a.apply(&Statement::default(), Source::Process, NOW + ms(4000));
    assert_eq!(known, []);
    let ended = a.apply(&Statement::default(), Source::Response, NOW + ms(4000));
    assert_eq!(ended, [Change::BackoffEnded(ms(4000))]);
    assert_eq!(a.backoff(), None);
}

// A time of 0, or none, keeps requests away.
#[test]
fn no_backoff() {
    assert!(after(0, &[]).may_send(NOW));
    let mut availability = Availability::default();
    availability.apply(&Statement::default(), Source::Response, NOW);
    assert!(availability.may_send(NOW));
}

// All requests that waited are sent at the end of a backoff, before the target has responded to one.
#[test]
fn spaced_after_backoff() {
    let mut a = after(1000, &[Change::Backoff(ms(1000))]);
    let end = NOW + ms(1000);
    assert!(a.may_send(end));
    a.record_send(end);
    assert!(!a.may_send(end) && a.withheld(end).is_none());
    assert!(a.may_send(end + PROBE_INTERVAL));
    a.apply(&Statement::default(), Source::Response, end);
    assert!(a.may_send(end));
    a.record_send(end);
    assert!(a.may_send(end));
}

// A malformed time states one, or a valid one does not.
#[test]
fn seconds() {
    let parse = |text: &str| longest_seconds([text.as_bytes()]);
    assert_eq!(parse("0"), Ok(Some(ms(0))));
    assert_eq!(parse(" 1.5 "), Ok(Some(ms(1500))));
    assert_eq!(parse("2, 3"), Ok(Some(ms(3000))));
    assert_eq!(parse(".25"), Ok(Some(ms(250))));
    assert_eq!(longest_seconds([]), Ok(None));
    assert!(parse("99999999999999999999").is_ok_and(|t| t > Some(ms(1_000_000_000))));
    for text in [
        "",
        ".",
        "-1",
        "+1",
        "NaN",
        "inf",
        "1e3",
        "1s",
        "Wed, 21 Oct 2026",
        "1.2.3",
    ] {
        assert_eq!(parse(text), Err(text.into()), "{text}");
    }
    let long = "1".repeat(40);
    assert_eq!(parse(&long), Err(long.as_str().into()));
}

fn options(tried: &[TargetKey]) -> choose::Options<'_> {
    choose::Options {
        service: SERVICE,
        model: Some("a"),
        adapter: None,
        tokens: 100,
        shared: None,
        data_centre: "dc",
        tried,
        salt: 1,
        suspects: true,
        version: None,
        connections: choose::Connections::UNBOUNDED,
        pause: None,
        placement: choose::Placement::CURRENT,
    }
}

// A target in a backoff is chosen, counts as down, or its models as lost.
#[test]
fn backoff_is_no_outage() {
    let all = ["a", "b", "c", "d", "e", "f"];
    let (mut view, keys) = fleet(vec![report(&["a", "b"], &all), report(&["a"], &all)]);
    let state = |view: &mut View, key: TargetKey, time| {
        let incarnation = view.get(key).target.incarnation();
        view.apply_statement(&incarnation, &backs_off(time), Source::Response, NOW);
    };
    state(&mut view, keys[0], 3000);
    let chosen = choose::choose(&view, &options(&[]), NOW).map(|o| o.key);
    assert_eq!(chosen, Some(keys[1]));
    state(&mut view, keys[1], 2000);
    assert!(choose::choose(&view, &options(&[]), NOW).is_none());
    let wait = |view: &View, tried: &[TargetKey]| {
        let opts = options(tried);
        let waits = choose::backoff_waits(view, &opts, &[], NOW);
        waits.map(|b| b.wait).min()
    };
    assert_eq!(wait(&view, &[]), Some(ms(2000)));
    assert_eq!(wait(&view, &[keys[1]]), Some(ms(3000)));
    assert_eq!(wait(&view, &keys), None);
    assert!(view.get(keys[0]).is_up(NOW));
    assert!(!view.may_return(SERVICE, "a", None, ms(6000), NOW));
    let next = prefetch::next(&view, SERVICE, &engine(), &[], NOW);
    assert!(next.is_none_or(|n| &*n.model != "a"));
    let later = choose::choose(&view, &options(&[]), NOW + ms(2000));
    assert!(later.is_some());
}

// A backoff is forgotten with the target's slot or its announcement.
#[test]
fn backoff_outlasts_list() {
    let mut view = View::default();
    let key = view.put(started(0, 10), NOW).expect("new");
    let incarnation = view.get(key).target.incarnation();
    view.apply_statement(&incarnation, &backs_off(3000), Source::Response, NOW);
    view.remove("t0");
    view.put(started(1, 10), NOW);
    let key = view.put(started(0, 10), NOW).expect("known");
    assert!(!view.get(key).accepts(true, NOW) && !view.get(key).takes(NOW));
    assert!(view.get(key).is_available(NOW + ms(3000)));
}

proptest! {
    // Some series of statements lets a request through within a stated time, or after a drain.
    #[test]
    fn never_within(series in vec((0..2000_u64, proptest::option::of(0..5000_u64), 0..40_u8), 1..40)) {
        let mut availability = Availability::default();
        let mut now = NOW;
        let mut until = NOW;
        let mut drained = false;
        for (pause, backoff, draining) in series {
            now += ms(pause);
            prop_assert_eq!(availability.withheld(now).is_some(), drained || now < until);
            if availability.may_send(now) {
                prop_assert!(!drained && now >= until);
                availability.record_send(now);
            }
            let statement = Statement { draining: draining == 0, backoff: backoff.map(ms) };
            availability.apply(&statement, Source::Response, now);
            until = until.max(now + ms(backoff.unwrap_or(0)));
            drained |= draining == 0;
        }
    }
}
