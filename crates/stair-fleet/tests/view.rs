//! Tests of an entry's list of targets: announcements, incarnations and removal.

mod support;

use stair_fleet::{
    Target,
    View,
    msg::{
        Peers,
        ReplicationState, //
    },
    target::State,
    view::Listed, //
};
use stair_types::StoreRevision;
use support::{
    NOW,
    SERVICE,
    addr,
    apply_report, //
    fleet,
    ms,
    report,
    target,
};

/// After an outage the store lacks targets that live; they announce themselves again within two
/// seconds. If the first list were trusted, half of a healthy fleet would get no requests. A target
/// that stays missing counts as removed.
#[test]
fn missing_after_an_outage() {
    let mut view = View::default();
    view.replace(
        vec![target(0, SERVICE), target(1, SERVICE)],
        StoreRevision::new(0, 1),
        NOW,
        NOW,
    );
    view.replace(
        vec![target(0, SERVICE)],
        StoreRevision::new(0, 2),
        NOW + ms(1900),
        NOW,
    );
    let available = |view: &View, now| {
        view.of(SERVICE)
            .filter(|(_, s)| s.is_available(now))
            .count()
    };
    assert_eq!(available(&view, NOW), 2);
    assert_eq!(available(&view, NOW + ms(1900)), 1);
    view.put(target(1, SERVICE), NOW);
    assert_eq!(available(&view, NOW + ms(3000)), 2);
}

/// Without an outage a target that the list lacks is removed at once.
#[test]
fn missing_otherwise() {
    let mut view = View::default();
    view.replace(vec![target(0, SERVICE)], StoreRevision::new(0, 1), NOW, NOW);
    view.replace(vec![], StoreRevision::new(0, 2), NOW, NOW);
    assert!(!view.of(SERVICE).any(|(_, s)| s.is_available(NOW)));
}

/// A target of another service gets the address of a removed one. Its requests must follow the new
/// announcement, and the report of the old target's agent must not count for it.
#[test]
fn address_reused() {
    let (mut view, keys) = fleet(vec![report(&["a"], &[])]);
    view.remove(&view.get(keys[0]).target.id.clone());
    let mut other = target(7, "lookups");
    other.addr = addr(0);
    let key = view.put(other, NOW).expect("a newer announcement");
    assert_eq!(view.of(SERVICE).count(), 0);
    assert!(view.get(key).report.is_none());
}

#[test]
fn draining_is_not_available() {
    let mut view = View::default();
    let key = view
        .put(target(0, SERVICE), NOW)
        .expect("a newer announcement");
    assert!(view.get(key).is_available(NOW));
    let mut draining = target(0, SERVICE);
    draining.state = State::Draining(None);
    view.put(draining, NOW);
    assert!(!view.get(key).is_available(NOW));
}

/// An engine refuses a request because it has not loaded the model that its announcement still
/// lists. Until the next report no request for the model may go there: each would be refused and
/// use up a retry.
#[test]
fn model_not_loaded() {
    let (mut view, keys) = fleet(vec![report(&["a"], &[])]);
    assert!(view.get(keys[0]).can_run("a", NOW));
    view.get_mut(keys[0]).mark_not_loaded("a");
    assert!(!view.get(keys[0]).can_run("a", NOW));
    apply_report(&mut view, 0, report(&["a"], &[]));
    assert!(view.get(keys[0]).can_run("a", NOW));
}

/// A process sees thousands of replacements. The slots of removed targets must be reused.
#[test]
fn does_not_grow() {
    let mut view = View::default();
    for n in 0..1000 {
        let mut t = target(1, SERVICE);
        t.id = format!("incarnation{n}").into();
        view.put(t, NOW);
        view.remove(&format!("incarnation{n}"));
    }
    assert_eq!(view.all().count(), 0);
    let key = view
        .put(target(0, SERVICE), NOW)
        .expect("a newer announcement");
    assert_eq!(format!("{key:?}"), "TargetKey { slot: 0, serial: 1001 }");
}

/// One entry is rejected by the store and lags. It must get the entries with newer state and no
/// others; entries that are up to date get only the least name.
#[test]
fn peers_with_newer_state() {
    let known = |entry: &str, catalogue, targets| ReplicationState {
        entry: entry.into(),
        data_centre: "a".into(),
        peer: addr(0),
        catalogue,
        targets: StoreRevision::new(0, targets),
    };
    let all = vec![known("b", 7, 90), known("a", 5, 40), known("c", 7, 91)];
    let lagging = Peers::of(&all[1], &all);
    assert_eq!(&*lagging.least_name, "a");
    let names: Vec<&str> = lagging.newer.iter().map(|k| &*k.entry).collect();
    assert!(names.contains(&"c"), "{names:?}");
    assert!(names.len() <= 2);
    assert!(Peers::of(&all[2], &all).newer.is_empty());
}

/// A target is removed while one entry is disconnected from the store, and the entry gets the list
/// from a peer. If the peer still sent the target, it would get requests long after it announced
/// that it drains, and these would be interrupted.
#[test]
fn peer_does_not_restore_removed() {
    let mut peer = View::default();
    peer.replace(
        vec![target(0, SERVICE), target(1, SERVICE)],
        StoreRevision::new(0, 1),
        NOW,
        NOW,
    );
    let mut disconnected = peer.clone();
    peer.replace(
        vec![target(0, SERVICE)],
        StoreRevision::new(0, 2),
        NOW + ms(1900),
        NOW,
    );
    let available = |view: &View, now| {
        view.of(SERVICE)
            .filter(|(_, s)| s.is_available(now))
            .count()
    };
    // The peer still waits for the target, so the other entry does too, but no longer than the
    // peer.
    disconnected.replace_from_peer(
        peer.list(NOW + ms(1000)),
        StoreRevision::new(0, 2),
        false,
        NOW + ms(1000),
    );
    assert_eq!(available(&disconnected, NOW + ms(1500)), 2);
    assert_eq!(available(&disconnected, NOW + ms(1900)), 1);
    let later = NOW + ms(5000);
    let mut third = View::default();
    third.replace(
        vec![target(0, SERVICE), target(1, SERVICE)],
        StoreRevision::new(0, 1),
        NOW,
        NOW,
    );
    third.replace_from_peer(peer.list(later), StoreRevision::new(0, 2), false, later);
    assert_eq!(available(&third, later), 1);
}

/// The store drops its history while an engine restarts. The list that is read again has the
/// engine's new incarnation at the same address and lacks the stale one. If the address still led
/// to the stale one, it would get the agent's reports, the agent would get an incarnation for which
/// its engine refuses all orders, and the engine would stay idle while others are overloaded.
#[test]
fn new_incarnation_after_a_new_list() {
    let (mut view, _) = fleet(vec![report(&["a"], &[])]);
    let mut next = target(0, SERVICE);
    next.id = "next".into();
    view.replace(vec![next], StoreRevision::new(0, 2), NOW, NOW);
    let (key, here) = view.at(addr(0)).expect("a target");
    assert_eq!((&*here.target.id, here.report.is_none()), ("next", true));
    apply_report(&mut view, 0, report(&["b"], &[]));
    assert!(view.get(key).can_run("b", NOW));
    assert_eq!(view.of(SERVICE).count(), 1);
}

/// An engine crashes, and its new incarnation announces itself before the list drops the dead one.
#[test]
fn new_incarnation_beside_the_dead_one() {
    let (mut view, keys) = fleet(vec![report(&["a"], &[])]);
    let mut next = target(0, SERVICE);
    next.id = "next".into();
    let key = view.put(next, NOW).expect("a newer announcement");
    apply_report(&mut view, 0, report(&["b"], &[]));
    assert!(view.get(key).can_run("b", NOW));
    assert!(view.get(keys[0]).can_run("a", NOW));
    view.remove(&target(0, SERVICE).id);
    assert_eq!(view.at(addr(0)).map(|(k, _)| k), Some(key));
}

/// Missing targets must be removed eventually: gauges, connections and lookups by address use the
/// list.
#[test]
fn missing_targets_expire() {
    let mut view = View::default();
    view.replace(vec![target(0, SERVICE)], StoreRevision::new(0, 1), NOW, NOW);
    view.replace(vec![], StoreRevision::new(0, 2), NOW + ms(1900), NOW);
    view.expire(NOW + ms(1800));
    assert_eq!(view.all().count(), 1);
    view.expire(NOW + ms(1900));
    assert_eq!(view.all().count(), 0);
}

/// A request waits for its prefill slot at an engine that is then removed, and a target of another
/// service reuses the engine's slot in the view. With the old key the prompt would run at a service
/// that its route does not name.
#[test]
fn slot_reused() {
    let mut view = View::default();
    let key = view
        .put(target(0, "engines"), NOW)
        .expect("a newer announcement");
    view.remove("t0");
    let other = view
        .put(target(1, "lookups"), NOW)
        .expect("a newer announcement");
    assert_ne!(key, other);
    let state = view.get(key);
    assert!(!state.accepts(true, NOW) && !state.is_available(NOW));
    view.get_mut(key).record_attempt(false);
    view.get_mut(key).in_flight += 1;
    assert_eq!(view.get(other).failing, 0.0);
    assert_eq!(view.get(other).in_flight, 0);
    assert_eq!(&*view.get(other).target.service, "lookups");
}

fn incarnation(started: u64) -> Target {
    Target {
        started: Some(started),
        ..target(0, SERVICE)
    }
}

/// An engine crashes and starts again under the same id. The new incarnation has no models loaded,
/// and the requests sent to the stale one have ended. If both counted as one, it would get requests
/// for models that it has lost.
#[test]
fn restart_under_the_same_id() {
    let mut view = View::default();
    let before = view
        .put(incarnation(10), NOW)
        .expect("a newer announcement");
    apply_report(&mut view, 0, report(&["a"], &[]));
    view.get_mut(before).in_flight = 1;
    let after = view
        .put(incarnation(20), NOW)
        .expect("a newer announcement");
    assert_ne!(before, after);
    assert!(!view.get(before).accepts(true, NOW));
    assert!(view.get(after).report.is_none() && view.get(after).in_flight == 0);
    assert_eq!(view.at(addr(0)).map(|(key, _)| key), Some(after));
    assert_eq!(view.of(SERVICE).count(), 1);
}

/// An announcement of a stale incarnation arrives late, from the store or from a peer. It says that
/// the engine drains; if it were applied, the engine would get no requests until its next change.
#[test]
fn late_announcement_of_a_stale_incarnation() {
    let mut view = View::default();
    let key = view
        .put(incarnation(20), NOW)
        .expect("a newer announcement");
    let mut stale = incarnation(10);
    stale.state = State::Draining(None);
    assert_eq!(view.put(stale.clone(), NOW), None);
    view.replace(vec![stale], StoreRevision::new(0, 2), NOW, NOW + ms(1000));
    assert!(view.get(key).is_available(NOW + ms(1000)));
    // An announcement without a start comes from another writer.
    assert_eq!(view.put(target(0, SERVICE), NOW + ms(1000)), None);
}

/// An engine's clock is set back between two incarnations, so that the newer one looks stale. If
/// its announcements were dropped forever, a healthy engine would stay idle.
#[test]
fn clock_set_back() {
    let mut view = View::default();
    view.put(incarnation(20), NOW);
    assert_eq!(view.put(incarnation(10), NOW + ms(100)), None);
    assert_eq!(view.put(incarnation(10), NOW + ms(1300)), None);
    let key = view
        .put(incarnation(10), NOW + ms(3800))
        .expect("accepted by now");
    assert_eq!(view.get(key).target.started, Some(10));
    // An announcement of the other incarnation in between restarts the timeout.
    view.put(incarnation(20), NOW + ms(4000));
    view.put(incarnation(10), NOW + ms(4100));
    view.put(incarnation(20), NOW + ms(5000));
    assert_eq!(view.put(incarnation(10), NOW + ms(8000)), None);
}

/// An unknown writer announces an undeclared service at the address of a healthy engine. If the
/// address led to that target, it would get the reports of the engine's agent.
#[test]
fn undeclared_service() {
    let mut view = View::default();
    let key = view
        .put(target(0, SERVICE), NOW)
        .expect("a newer announcement");
    view.declare([SERVICE]);
    let mut stranger = target(0, "nobody's");
    stranger.id = "stranger".into();
    view.put(stranger, NOW);
    assert_eq!(view.at(addr(0)).map(|(key, _)| key), Some(key));
    assert_eq!(view.all().count(), 1);
    // It counts once its service is declared.
    view.declare([SERVICE, "nobody's"]);
    assert_eq!(view.all().count(), 2);
}

/// An entry that is disconnected from the store has newer declarations than the peer that sends it
/// the list. If the peer left out targets of services that it does not know, the entry would remove
/// them and refuse all requests for those services.
#[test]
fn list_of_a_lagging_peer() {
    let mut peer = View::default();
    peer.declare([]);
    peer.put(target(0, SERVICE), NOW);
    assert_eq!(peer.all().count(), 0);
    let mut disconnected = View::default();
    disconnected.declare([SERVICE]);
    let key = disconnected
        .put(target(0, SERVICE), NOW)
        .expect("a newer announcement");
    disconnected.replace_from_peer(peer.list(NOW), StoreRevision::new(0, 2), false, NOW);
    assert!(disconnected.get(key).is_available(NOW));
}

/// A model whose only engine is unavailable may soon be available again. An engine that was removed
/// for good, or has returned without the model, must not be waited for.
#[test]
fn engines_that_may_return() {
    let within = ms(6000);
    let (mut view, keys) = fleet(vec![report(&["a"], &["b"])]);
    let returns =
        |view: &View, model: &str, now| view.may_return(SERVICE, model, None, within, now);
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
        "its inventory is not reported yet"
    );
    apply_report(&mut view, 0, report(&[], &["c"]));
    assert!(!returns(&view, "b", NOW));
}

#[test]
fn drained_engine_does_not_return() {
    let (mut view, _) = fleet(vec![report(&["a"], &[])]);
    let mut draining = target(0, SERVICE);
    draining.state = State::Draining(None);
    view.put(draining, NOW);
    view.remove("t0");
    assert!(!view.may_return(SERVICE, "a", None, ms(6000), NOW));
}

/// A peer whose calls of the store failed still waits for targets of which this entry has seen more.
fn waiting_peer(targets: &[Target]) -> Vec<Listed> {
    let mut peer = View::default();
    peer.replace(targets.to_vec(), StoreRevision::new(0, 1), NOW, NOW);
    peer.replace(vec![], StoreRevision::new(0, 3), NOW + ms(1900), NOW);
    peer.list(NOW)
}

/// Guards against a peer that was cut off from the store and restores a target whose removal is known here.
#[test]
fn known_removal_is_kept() {
    for store_available in [false, true] {
        let mut view = View::default();
        view.put(target(0, SERVICE), NOW);
        view.remove("t0");
        let listed = waiting_peer(&[target(0, SERVICE)]);
        view.replace_from_peer(listed, StoreRevision::new(0, 3), store_available, NOW);
        assert_eq!(view.all().count(), 0, "{store_available}");
    }
}

/// Guards against a peer that was cut off from the store and ends a drain that is known here.
#[test]
fn known_drain_is_kept() {
    let mut view = View::default();
    let mut draining = target(0, SERVICE);
    draining.state = State::Draining(None);
    let key = view.put(draining, NOW).expect("a newer announcement");
    let listed = waiting_peer(&[target(0, SERVICE)]);
    view.replace_from_peer(listed, StoreRevision::new(0, 3), false, NOW);
    assert!(!view.get(key).accepts(true, NOW));
}

/// Guards against a peer's wait at an entry whose own calls of the store have not failed: it would use the removed
/// target until the peer's wait ends, and its next watch begins after the removal.
#[test]
fn removal_not_yet_seen() {
    let available = |store_available| {
        let mut view = View::default();
        view.put(target(0, SERVICE), NOW);
        let listed = waiting_peer(&[target(0, SERVICE), target(1, SERVICE)]);
        view.replace_from_peer(listed, StoreRevision::new(0, 3), store_available, NOW);
        view.of(SERVICE)
            .filter(|(_, s)| s.is_available(NOW))
            .count()
    };
    assert_eq!(available(true), 0);
    // In an outage of the store both are waited for.
    assert_eq!(available(false), 2);
}

/// Guards against targets that are dropped although the store came back from a copy that lacks them, and against a
/// wait that a peer prolongs.
#[test]
fn peer_waits_for_a_copy() {
    let mut view = View::default();
    let key = view
        .put(target(0, SERVICE), NOW)
        .expect("a newer announcement");
    view.revision = StoreRevision::new(1, 9);
    let listed = waiting_peer(&[target(0, SERVICE)]);
    view.replace_from_peer(listed.clone(), StoreRevision::new(2, 3), true, NOW);
    assert!(view.get(key).is_available(NOW + ms(1800)));
    view.replace_from_peer(listed, StoreRevision::new(2, 4), false, NOW + ms(1000));
    assert!(!view.get(key).is_available(NOW + ms(1900)));
}
