//! The list of targets after the store has come back from a copy.

mod support;

use std::time::Duration;

use proptest::{
    collection::vec,
    prelude::*, //
};
use stair_fleet::{
    Target, View,
    target::State,
    view::{
        MISSING_GRACE,
        REMOVAL_SUPPRESSION, //
    },
};
use stair_types::StoreRevision;
use support::{
    NOW,
    SERVICE,
    target, //
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn draining(n: usize) -> Target {
    Target {
        state: State::Draining(None),
        ..target(n, SERVICE)
    }
}

fn list(view: &mut View, era: u64, counter: u64, targets: Vec<Target>, now: Duration) -> usize {
    let revision = StoreRevision::new(era, counter);
    view.replace(targets, revision, now, now).len()
}

fn open(view: &View, n: usize, now: Duration) -> bool {
    let id = target(n, SERVICE).id;
    let mut all = view.of(SERVICE);
    all.any(|(_, s)| s.target.id == id && s.is_available(now))
}

#[test]
fn drain_outlasts_copy() {
    let mut view = View::default();
    list(
        &mut view,
        1,
        90,
        vec![target(0, SERVICE), target(1, SERVICE)],
        NOW,
    );
    view.put(draining(0), NOW);
    let ready = || vec![target(0, SERVICE), target(1, SERVICE)];
    assert_eq!(list(&mut view, 2, 50, ready(), NOW), 1);
    assert!(!open(&view, 0, NOW) && open(&view, 1, NOW));
    // A peer that never knew of the drain, and the target's own stale announcement, change nothing.
    let peer = View::default().list(NOW);
    view.replace_from_peer(peer, StoreRevision::new(3, 10), false, NOW);
    view.put(target(0, SERVICE), NOW);
    assert!(!open(&view, 0, NOW));
    assert_eq!(list(&mut view, 4, 5, ready(), NOW), 0);
    assert!(!open(&view, 0, NOW));
}

/// A target that drained and was removed is ready in the copy.
#[test]
fn drain_outlasts_removal() {
    let mut view = View::default();
    list(&mut view, 1, 90, vec![draining(0)], NOW);
    list(&mut view, 1, 91, vec![], NOW);
    view.expire(NOW);
    list(&mut view, 2, 50, vec![target(0, SERVICE)], NOW);
    let later = NOW + REMOVAL_SUPPRESSION + ms(1);
    view.expire(later);
    assert!(!open(&view, 0, later));
}

#[test]
fn removal_outlasts_copy() {
    let mut view = View::default();
    list(
        &mut view,
        1,
        90,
        vec![target(0, SERVICE), target(1, SERVICE)],
        NOW,
    );
    view.remove(&target(0, SERVICE).id);
    let copy = || vec![target(0, SERVICE), target(1, SERVICE)];
    list(&mut view, 2, 50, copy(), NOW);
    assert!(!open(&view, 0, NOW) && open(&view, 1, NOW));
    let mut peer = View::default();
    peer.replace_from_peer(view.list(NOW), StoreRevision::new(2, 50), false, NOW);
    // The list of the same era is read again.
    list(&mut view, 2, 51, copy(), NOW + ms(1000));
    for view in [&mut view, &mut peer] {
        let before = NOW + REMOVAL_SUPPRESSION - ms(1);
        view.expire(before);
        assert!(!open(view, 0, before));
        let after = NOW + REMOVAL_SUPPRESSION;
        view.expire(after);
        assert!(open(view, 0, after));
    }
    // It announces itself after the return.
    list(&mut view, 3, 10, copy(), NOW);
    view.remove(&target(0, SERVICE).id);
    list(&mut view, 4, 10, copy(), NOW);
    assert!(!open(&view, 0, NOW));
    view.put(target(0, SERVICE), NOW);
    assert!(open(&view, 0, NOW));
}

/// Each return of a series gives what is missing its whole time.
#[test]
fn missing_gets_time() {
    let mut view = View::default();
    list(
        &mut view,
        1,
        90,
        vec![target(0, SERVICE), target(1, SERVICE)],
        NOW,
    );
    list(&mut view, 2, 50, vec![target(1, SERVICE)], NOW);
    let later = NOW + ms(1500);
    list(&mut view, 3, 50, vec![target(1, SERVICE)], later);
    view.expire(later + MISSING_GRACE - ms(1));
    assert!(open(&view, 0, later + MISSING_GRACE - ms(1)));
    view.expire(later + MISSING_GRACE);
    assert!(!open(&view, 0, later + MISSING_GRACE));
}

/// An incarnation at the address of a newer one is back in the copy, which lacks the newer one.
#[test]
fn former_incarnation() {
    let at_same_addr = |id: &str, started| Target {
        id: id.into(),
        started: Some(started),
        ..target(0, SERVICE)
    };
    let mut view = View::default();
    list(&mut view, 1, 90, vec![at_same_addr("former", 1)], NOW);
    view.remove("former");
    view.put(at_same_addr("present", 2), NOW);
    list(&mut view, 2, 50, vec![at_same_addr("former", 1)], NOW);
    let (_, current) = view.at(target(0, SERVICE).addr).expect("listed");
    assert_eq!(&*current.target.id, "present");
    assert!(current.is_available(NOW));
}

const TARGETS: usize = 4;

#[derive(Debug, Clone)]
enum Event {
    /// A target announces that it drains; the entry learns it or not.
    Drain(usize, bool),
    /// The store comes back from a copy in which these targets are ready and the others missing.
    Return(Vec<usize>),
    /// A list of an earlier era arrives.
    Stale,
    Pass(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let listed = || vec(0..TARGETS, 0..TARGETS);
    prop_oneof![
        (0..TARGETS, any::<bool>()).prop_map(|(n, known)| Event::Drain(n, known)),
        listed().prop_map(Event::Return),
        Just(Event::Stale),
        (0..3000_u64).prop_map(Event::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A drain that was known is never forgotten, and the revision never falls, whatever copies say.
    #[test]
    fn known_drains(events in vec(event(), 1..60)) {
        let mut view = View::default();
        let mut now = NOW;
        let mut era = 1;
        let mut known = [false; TARGETS];
        list(&mut view, era, 100, (0..TARGETS).map(|n| target(n, SERVICE)).collect(), now);
        for event in events {
            let before = view.revision;
            match event {
                Event::Drain(n, true) => {
                    view.put(draining(n), now);
                    known[n] = true;
                }
                Event::Drain(_, false) => {}
                Event::Return(mut listed) => {
                    listed.sort();
                    listed.dedup();
                    era += 1;
                    let targets = listed.iter().map(|n| target(*n, SERVICE));
                    list(&mut view, era, 10, targets.collect(), now);
                }
                // Whoever applies lists drops this one; see `StoreRevision`.
                Event::Stale => prop_assert!(StoreRevision::new(era - 1, 999) < view.revision),
                Event::Pass(time) => now += ms(time),
            }
            view.expire(now);
            prop_assert!(view.revision >= before);
            for n in (0..TARGETS).filter(|n| known[*n]) {
                prop_assert!(!open(&view, n, now), "target {n}");
            }
        }
    }
}
