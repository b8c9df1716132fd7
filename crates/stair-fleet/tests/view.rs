//! What an entry knows of the targets, and how long it holds.

mod support;

use stair_fleet::{
    Target,
    View,
    msg::{
        Peers,
        ReplicationState, //
    },
    target::State, //
};
use support::{
    NOW,
    SERVICE,
    addr,
    fleet,
    ms,
    report,
    target,
    tell, //
};

/// The store was away and lost the announcements of targets that live. They announce themselves
/// again within two seconds; if the first list were believed, half of a sound fleet would get no
/// requests. One that stays missing has left.
#[test]
fn missing_after_an_outage() {
    let mut view = View::default();
    view.replace(vec![target(0, SERVICE), target(1, SERVICE)], 1, NOW, NOW);
    view.replace(vec![target(0, SERVICE)], 2, NOW + ms(1900), NOW);
    let open = |view: &View, now| {
        view.of(SERVICE)
            .filter(|(_, s)| s.is_available(now))
            .count()
    };
    assert_eq!(open(&view, NOW), 2);
    assert_eq!(open(&view, NOW + ms(1900)), 1);
    view.put(target(1, SERVICE), NOW);
    assert_eq!(open(&view, NOW + ms(3000)), 2);
}

/// Without an outage a target that a list lacks has left at once.
#[test]
fn missing_otherwise() {
    let mut view = View::default();
    view.replace(vec![target(0, SERVICE)], 1, NOW, NOW);
    view.replace(vec![], 2, NOW, NOW);
    assert!(!view.of(SERVICE).any(|(_, s)| s.is_available(NOW)));
}

/// A target's address is used again by a target of another service. Its requests must go by the
/// new announcement, and the report of the old one's agent must not count for it.
#[test]
fn address_used_again() {
    let (mut view, keys) = fleet(vec![report(&["a"], &[])]);
    view.remove(&view.get(keys[0]).target.id.clone());
    let mut other = target(7, "lookups");
    other.addr = addr(0);
    let key = view.put(other, NOW).expect("a newer word");
    assert_eq!(view.of(SERVICE).count(), 0);
    assert!(view.get(key).report.is_none());
}

#[test]
fn leaving_is_not_open() {
    let mut view = View::default();
    let key = view.put(target(0, SERVICE), NOW).expect("a newer word");
    assert!(view.get(key).is_available(NOW));
    let mut leaving = target(0, SERVICE);
    leaving.state = State::Draining(None);
    view.put(leaving, NOW);
    assert!(!view.get(key).is_available(NOW));
}

/// An engine says that it lacks a model that its announcement still lists. Until the next one, no
/// further request is sent there for it: each would be refused and use up a retry.
#[test]
fn lacks_a_model() {
    let (mut view, keys) = fleet(vec![report(&["a"], &[])]);
    assert!(view.get(keys[0]).can_run("a", NOW));
    view.get_mut(keys[0]).mark_not_loaded("a");
    assert!(!view.get(keys[0]).can_run("a", NOW));
    tell(&mut view, 0, report(&["a"], &[]));
    assert!(view.get(keys[0]).can_run("a", NOW));
}

/// A process sees thousands of replacements; slots of targets that are gone are used again.
#[test]
fn does_not_grow() {
    let mut view = View::default();
    for n in 0..1000 {
        let mut t = target(1, SERVICE);
        t.id = format!("life{n}").into();
        view.put(t, NOW);
        view.remove(&format!("life{n}"));
    }
    assert_eq!(view.all().count(), 0);
    let key = view.put(target(0, SERVICE), NOW).expect("a newer word");
    assert_eq!(format!("{key:?}"), "TargetKey { slot: 0, serial: 1001 }");
}

/// One entry is turned away by the store and lags. It is told of the one that is ahead, and of no
/// other; those that are level are told nothing but who has the least name.
#[test]
fn told_of_those_ahead() {
    let known = |entry: &str, catalogue, targets| ReplicationState {
        entry: entry.into(),
        data_centre: "a".into(),
        peer: addr(0),
        catalogue,
        targets,
    };
    let all = vec![known("b", 7, 90), known("a", 5, 40), known("c", 7, 91)];
    let behind = Peers::of(&all[1], &all);
    assert_eq!(&*behind.least_name, "a");
    let names: Vec<&str> = behind.newer.iter().map(|k| &*k.entry).collect();
    assert!(names.contains(&"c"), "{names:?}");
    assert!(names.len() <= 2);
    assert!(Peers::of(&all[2], &all).newer.is_empty());
}

/// A target leaves while one entry is cut off from the store. The entry gets the list from a peer.
/// If the peer still told the target, it would get requests again long after its word that it
/// leaves, and its clients would see them cut.
#[test]
fn peers_do_not_bring_back() {
    let mut peer = View::default();
    peer.replace(vec![target(0, SERVICE), target(1, SERVICE)], 1, NOW, NOW);
    let mut cut = peer.clone();
    peer.replace(vec![target(0, SERVICE)], 2, NOW + ms(1900), NOW);
    let open = |view: &View, now| {
        view.of(SERVICE)
            .filter(|(_, s)| s.is_available(now))
            .count()
    };
    // The peer waits for it itself: so does the other, no longer.
    cut.replace_from_peer(peer.list(NOW + ms(1000)), 2, NOW + ms(1000));
    assert_eq!(open(&cut, NOW + ms(1500)), 2);
    assert_eq!(open(&cut, NOW + ms(1900)), 1);
    let later = NOW + ms(5000);
    let mut third = View::default();
    third.replace(vec![target(0, SERVICE), target(1, SERVICE)], 1, NOW, NOW);
    third.replace_from_peer(peer.list(later), 2, later);
    assert_eq!(open(&third, later), 1);
}

/// The history of the store is dropped while an engine restarts. The list that is read anew has the
/// engine's next life at the same address and lacks the one before. Were the dead one found by the
/// address, it would get the agent's reports, and the agent would be told a life that its engine
/// refuses all orders for: the engine would stand idle while others are crowded.
#[test]
fn next_life_after_a_new_list() {
    let (mut view, _) = fleet(vec![report(&["a"], &[])]);
    let mut next = target(0, SERVICE);
    next.id = "next".into();
    view.replace(vec![next], 2, NOW, NOW);
    let (key, here) = view.at(addr(0)).expect("one is there");
    assert_eq!((&*here.target.id, here.report.is_none()), ("next", true));
    tell(&mut view, 0, report(&["b"], &[]));
    assert!(view.get(key).can_run("b", NOW));
    assert_eq!(view.of(SERVICE).count(), 1);
}

/// An engine crashes and its next life announces itself before the list has dropped the dead one.
#[test]
fn next_life_beside_the_dead_one() {
    let (mut view, keys) = fleet(vec![report(&["a"], &[])]);
    let mut next = target(0, SERVICE);
    next.id = "next".into();
    let key = view.put(next, NOW).expect("a newer word");
    tell(&mut view, 0, report(&["b"], &[]));
    assert!(view.get(key).can_run("b", NOW));
    assert!(view.get(keys[0]).can_run("a", NOW));
    view.remove(&target(0, SERVICE).id);
    assert_eq!(view.at(addr(0)).map(|(k, _)| k), Some(key));
}

/// What is missing is not kept for ever: gauges, links and look-ups by address go by the list.
#[test]
fn missing_ones_expire() {
    let mut view = View::default();
    view.replace(vec![target(0, SERVICE)], 1, NOW, NOW);
    view.replace(vec![], 2, NOW + ms(1900), NOW);
    view.expire(NOW + ms(1800));
    assert_eq!(view.all().count(), 1);
    view.expire(NOW + ms(1900));
    assert_eq!(view.all().count(), 0);
}

/// A request waits for its slot at an engine, which leaves. A target of another service comes and gets
/// its slot. Sent by the old key, a prompt would run at a service that its route does not name.
#[test]
fn slot_used_again() {
    let mut view = View::default();
    let key = view.put(target(0, "engines"), NOW).expect("a newer word");
    view.remove("t0");
    let other = view.put(target(1, "lookups"), NOW).expect("a newer word");
    assert_ne!(key, other);
    let seen = view.get(key);
    assert!(!seen.accepts(true, NOW) && !seen.is_available(NOW));
    view.get_mut(key).record_attempt(false);
    view.get_mut(key).in_flight += 1;
    assert_eq!(view.get(other).failing, 0.0);
    assert_eq!(view.get(other).in_flight, 0);
    assert_eq!(&*view.get(other).target.service, "lookups");
}

fn life(started: u64) -> Target {
    Target {
        started: Some(started),
        ..target(0, SERVICE)
    }
}

/// An engine crashes and starts again under the id that it had. It holds nothing, and what was sent to
/// the life before is over. Taken for the same one, it would be sent requests for models that it lost.
#[test]
fn starts_again_under_its_id() {
    let mut view = View::default();
    let before = view.put(life(10), NOW).expect("a newer word");
    tell(&mut view, 0, report(&["a"], &[]));
    view.get_mut(before).in_flight = 1;
    let after = view.put(life(20), NOW).expect("a newer word");
    assert_ne!(before, after);
    assert!(!view.get(before).accepts(true, NOW));
    assert!(view.get(after).report.is_none() && view.get(after).in_flight == 0);
    assert_eq!(view.at(addr(0)).map(|(key, _)| key), Some(after));
    assert_eq!(view.of(SERVICE).count(), 1);
}

/// What an engine wrote in its former life reaches the list late, from the store or from a peer. It says
/// that the engine leaves; believed, the engine would get no request until its next change.
#[test]
fn late_word_of_a_former_life() {
    let mut view = View::default();
    let key = view.put(life(20), NOW).expect("a newer word");
    let mut old = life(10);
    old.state = State::Draining(None);
    assert_eq!(view.put(old.clone(), NOW), None);
    view.replace(vec![old], 2, NOW, NOW + ms(1000));
    assert!(view.get(key).is_available(NOW + ms(1000)));
    // A writer that does not say when it started is not the target either.
    assert_eq!(view.put(target(0, SERVICE), NOW + ms(1000)), None);
}

/// An engine's clock is set back between two lives, so that the later one looks older. Its words come
/// heartbeat after heartbeat; were they dropped for ever, a sound engine would stand idle.
#[test]
fn clock_set_back() {
    let mut view = View::default();
    view.put(life(20), NOW);
    assert_eq!(view.put(life(10), NOW + ms(100)), None);
    assert_eq!(view.put(life(10), NOW + ms(1300)), None);
    let key = view.put(life(10), NOW + ms(3800)).expect("believed by now");
    assert_eq!(view.get(key).target.started, Some(10));
    // The word of the other life between starts the time anew.
    view.put(life(20), NOW + ms(4000));
    view.put(life(10), NOW + ms(4100));
    view.put(life(20), NOW + ms(5000));
    assert_eq!(view.put(life(10), NOW + ms(8000)), None);
}

/// A stranger announces itself under a service that nobody declares, at the address of a sound engine.
/// Were it found by that address, it would get the reports of the engine's agent.
#[test]
fn undeclared_service() {
    let mut view = View::default();
    let key = view.put(target(0, SERVICE), NOW).expect("a newer word");
    view.declare([SERVICE]);
    let mut stranger = target(0, "nobody's");
    stranger.id = "stranger".into();
    view.put(stranger, NOW);
    assert_eq!(view.at(addr(0)).map(|(key, _)| key), Some(key));
    assert_eq!(view.all().count(), 1);
    // Declared later, it counts.
    view.declare([SERVICE, "nobody's"]);
    assert_eq!(view.all().count(), 2);
}

/// An entry that is cut off from the store has newer declarations than the peer that it gets the list from.
/// Were the targets of a service that the peer does not know left out, the entry would take them for
/// gone and refuse all requests for that service.
#[test]
fn told_by_a_peer_that_lags() {
    let mut peer = View::default();
    peer.declare([]);
    peer.put(target(0, SERVICE), NOW);
    assert_eq!(peer.all().count(), 0);
    let mut cut = View::default();
    cut.declare([SERVICE]);
    let key = cut.put(target(0, SERVICE), NOW).expect("a newer word");
    cut.replace_from_peer(peer.list(NOW), 2, NOW);
    assert!(cut.get(key).is_available(NOW));
}

/// A model whose only engine is down may soon be there again; one whose engine has left for good, or is back
/// without it, is not waited for.
#[test]
fn engines_that_may_return() {
    let within = ms(6000);
    let (mut view, keys) = fleet(vec![report(&["a"], &["b"])]);
    let returns = |view: &View, model: &str, now| view.may_return(SERVICE, model, within, now);
    assert!(!returns(&view, "a", NOW));
    view.get_mut(keys[0]).suspect_until = NOW + ms(500);
    assert!(returns(&view, "a", NOW) && returns(&view, "b", NOW));
    assert!(!returns(&view, "c", NOW));
    view.remove("t0");
    assert!(returns(&view, "b", NOW + ms(3000)));
    assert!(!returns(&view, "b", NOW + ms(9000)));
    let mut next = target(1, SERVICE);
    next.addr = addr(0);
    view.put(next, NOW);
    assert!(
        returns(&view, "b", NOW),
        "it has not told yet what it holds"
    );
    tell(&mut view, 0, report(&[], &["c"]));
    assert!(!returns(&view, "b", NOW));
}

#[test]
fn leaving_engine_does_not_return() {
    let (mut view, _) = fleet(vec![report(&["a"], &[])]);
    let mut leaves = target(0, SERVICE);
    leaves.state = State::Draining(None);
    view.put(leaves, NOW);
    view.remove("t0");
    assert!(!view.may_return(SERVICE, "a", ms(6000), NOW));
}
