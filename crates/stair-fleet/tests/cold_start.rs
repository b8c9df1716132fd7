//! Where a model is loaded, and what makes way for it.

mod support;

use stair_fleet::{
    cold_start::{
        Error,
        choose,
        find, //
    },
    overload::{
        Decision,
        decide, //
    },
    prefetch,
    target::{
        CopyLocation,
        Loading, //
    },
};
use support::{
    NOW,
    SERVICE,
    ask,
    engine,
    fetching,
    fleet,
    ms,
    report,
    used, //
};

#[test]
fn nearest_copy() {
    let (view, keys) = fleet(vec![
        report(&[], &[]),
        report(&[], &["a"]),
        report(&["b", "c"], &["a"]),
    ]);
    let at = choose(&view, SERVICE, &engine(), "a", &[], NOW).expect("a place");
    assert_eq!((at.key, at.from), (keys[1], CopyLocation::Disk));
    assert!(at.victims.is_empty());
}

/// A rare model has to make a busy one or an idle one go. If the busy one went, its requests would
/// all wait for a swap.
#[test]
fn idle_ones_make_way() {
    let full = used(used(report(&["b", "c"], &["a"]), "b", 6.0, 4), "c", 0.1, 0);
    let (view, _) = fleet(vec![full]);
    let at = choose(&view, SERVICE, &engine(), "a", &[], NOW).expect("a place");
    assert_eq!(at.victims, vec!["c".into()]);
}

/// What has to make way at one engine has eight streams in flight, at the other a single one, of a
/// model that is missed a little more. The first engine takes the order when the last of the eight has
/// ended; a request that was sent there for a load of 0.8 s waited four.
#[test]
fn waits_for_the_longest_stream() {
    let crowded = used(used(report(&["b", "c"], &["a"]), "b", 0.1, 8), "c", 0.1, 8);
    let quiet = used(used(report(&["d", "e"], &["a"]), "d", 0.6, 1), "e", 0.6, 1);
    let (view, keys) = fleet(vec![crowded, quiet]);
    let at = choose(&view, SERVICE, &engine(), "a", &[], NOW).expect("a place");
    assert_eq!(at.key, keys[1]);
    assert!(at.ready_in >= ms(800 + 700), "{:?}", at.ready_in);
}

/// A spare replica goes before the last one of a model.
#[test]
fn spare_replicas_make_way() {
    let (view, keys) = fleet(vec![
        used(report(&["b", "c"], &["a"]), "b", 0.2, 0),
        used(report(&["b", "d"], &["a"]), "b", 0.2, 0),
    ]);
    let at = choose(&view, SERVICE, &engine(), "a", &[], NOW).expect("a place");
    assert!(keys.contains(&at.key));
    assert_eq!(at.victims, vec!["b".into()]);
}

/// Two entries need room at the same moment, each at one of the two engines that hold a busy model. If
/// each took its replica for the one that can be spared, none would be left, and all its requests
/// would be refused until it is back (seen: 20 requests a second for four seconds).
#[test]
fn one_replica_is_spare() {
    let full = |rare| {
        used(
            used(report(&["b", rare], &["a"]), "b", 0.8, 0),
            rare,
            0.9,
            0,
        )
    };
    let (view, keys) = fleet(vec![full("c"), full("d")]);
    let victims = |tried: usize| {
        let at = choose(&view, SERVICE, &engine(), "a", &[keys[tried]], NOW);
        at.expect("a place").victims
    };
    let spared = [victims(0), victims(1)].concat();
    let busy = spared.iter().filter(|v| ***v == *"b").count();
    assert_eq!(busy, 1, "{spared:?}");
}

/// A model is on its way to an engine. A second request for it joins that load.
#[test]
fn joins_a_load() {
    let mut loading = report(&["b"], &["a"]);
    loading.load.loading = Some(Loading {
        model: "a".into(),
        from: CopyLocation::Disk,
        remaining: ms(300),
        slowdown: 0.0,
    });
    let (view, keys) = fleet(vec![report(&[], &["a"]), loading]);
    let at = choose(&view, SERVICE, &engine(), "a", &[], NOW).expect("a place");
    assert_eq!((at.key, at.ready_in), (keys[1], ms(300)));
}

/// As many loads from the weight store run as make sense. A further one would slow all of them
/// down; the request is told that the store is busy, not that there is no place.
#[test]
fn store_is_busy() {
    let mut reports: Vec<_> = ["b", "c", "d", "e"]
        .map(|m| fetching(m, ms(4000), 0.3))
        .to_vec();
    reports.push(report(&[], &[]));
    let (view, keys) = fleet(reports);
    let found = find(&view, SERVICE, &engine(), "a", &[], NOW);
    assert_eq!(found, Err(Error::StoreBusy));
    let joined = find(&view, SERVICE, &engine(), "b", &[], NOW).expect("joins");
    assert_eq!(joined.key, keys[0]);
    let (nothing, _) = fleet(vec![]);
    let found = find(&nothing, SERVICE, &engine(), "a", &[], NOW);
    assert_eq!(found, Err(Error::NoCapacity));
}

/// All agents are silent: nobody may order the engines.
#[test]
fn no_agent_no_load() {
    let (view, _) = fleet(vec![report(&[], &["a"])]);
    let later = NOW + ms(60_000);
    assert_eq!(choose(&view, SERVICE, &engine(), "a", &[], later), None);
}

/// Before traffic the engines' memory is half empty. Models that lie on a disk are brought in where
/// there is room, one an engine at a time, and nothing makes way for them.
#[test]
fn fills_spare_room() {
    let (view, keys) = fleet(vec![
        report(&["b"], &["a", "b"]),
        report(&["c", "d"], &["e"]),
    ]);
    let prefetch::Outcome {
        model, place: at, ..
    } = prefetch::next(&view, SERVICE, &engine(), &[], NOW).expect("a load");
    // "f" has no copy anywhere and comes first, from the weight store.
    assert_eq!((&*model, at.from), ("f", CopyLocation::Store));
    let known = fleet(vec![
        report(&["b"], &["a", "b", "f"]),
        report(&["c", "d"], &["e"]),
    ]);
    let prefetch::Outcome {
        model, place: at, ..
    } = prefetch::next(&known.0, SERVICE, &engine(), &[], NOW).expect("a load");
    assert_eq!((&*model, at.key), ("a", known.1[0]));
    assert!(at.victims.is_empty());
    let asked = prefetch::RequestedLoad {
        key: known.1[0],
        model: "a".into(),
    };
    let none = prefetch::next(&known.0, SERVICE, &engine(), &[asked], NOW);
    assert_eq!(none, None, "an engine that was asked is left alone");
    assert_eq!(keys.len(), 2);
}

/// Demand moves to a model with one replica, five requests a second. Each would stall the others'
/// tokens; a further replica is made from a copy on disk, in the place of a model hardly asked for.
#[test]
fn follows_demand() {
    let hot = used(report(&["a", "b"], &["a", "b"]), "a", 5.0, 6);
    let other = report(&["c", "d"], &["a", "c", "d"]);
    let third = report(&["e", "f"], &["e", "f"]);
    let (view, keys) = fleet(vec![hot, other, third]);
    let prefetch::Outcome {
        model, place: at, ..
    } = prefetch::next(&view, SERVICE, &engine(), &[], NOW).expect("a load");
    assert_eq!(
        (&*model, at.key, at.from),
        ("a", keys[1], CopyLocation::Disk)
    );
}

/// A fleet comes back empty and the first replica of a busy model gets all of its requests. Before,
/// all queued there until their deadlines; now those that would wait long have a further replica
/// loaded, and what cannot be served in time is told so at once.
#[test]
fn slow_target_wakes_another() {
    let mut crowded = report(&["a"], &["a"]);
    crowded.load.backlog = ms(3000);
    let (view, keys) = fleet(vec![crowded, report(&[], &["a"])]);
    let best = stair_fleet::choose::choose(&view, &ask("a"), NOW).expect("one");
    let place = choose(&view, SERVICE, &engine(), "a", &[keys[0]], NOW);
    let objective = ms(800);
    let decision = decide(Some(&best), place.as_ref(), objective, ms(5000));
    assert_eq!(decision, Decision::Load);
    let alone = decide(Some(&best), None, objective, ms(5000));
    assert_eq!(alone, Decision::Send);
    let hopeless = decide(Some(&best), None, objective, ms(1000));
    assert_eq!(hopeless, Decision::Refuse);
    let (idle, _) = fleet(vec![report(&["a"], &[])]);
    let fast = stair_fleet::choose::choose(&idle, &ask("a"), NOW).expect("one");
    let decision = decide(Some(&fast), place.as_ref(), objective, ms(5000));
    assert_eq!(decision, Decision::Send);
}

/// An engine unloads a busy model, which it does once that model's streams have ended, and takes no
/// order before. A request for that model finds its copy in that engine's memory, a fraction of a
/// second away by the copy alone; waiting there took as long as the streams, until the client left.
#[test]
fn not_behind_an_unload() {
    let mut unloading = report(&["a"], &["a"]);
    unloading.inventory.in_memory = vec!["a".into()];
    unloading.load.unloading = true;
    unloading.load.draining = vec!["a".into()];
    let (view, keys) = fleet(vec![unloading, report(&["b"], &["a"])]);
    let at = choose(&view, SERVICE, &engine(), "a", &[], NOW).expect("a place");
    assert_eq!((at.key, at.from), (keys[1], CopyLocation::Disk));
}

/// Engines are lost with the only copies of two rare models while another model crowds its replica.
/// The weight store makes few loads at once; were the rare models fetched first, the busy one would
/// wait for them, several seconds in which each of its requests is late.
#[test]
fn crowded_before_missing() {
    let all = ["a", "b", "c", "d"];
    let (view, keys) = fleet(vec![
        used(report(&["a"], &all), "a", 9.0, 9),
        report(&["b"], &["b"]),
    ]);
    let prefetch::Outcome {
        model, place: at, ..
    } = prefetch::next(&view, SERVICE, &engine(), &[], NOW).expect("a load");
    assert_eq!(
        (&*model, at.key, at.from),
        ("a", keys[1], CopyLocation::Store)
    );
    let asked = prefetch::RequestedLoad { key: at.key, model };
    let then = prefetch::next(&view, SERVICE, &engine(), &[asked], NOW);
    let fetched = then.filter(|o| o.place.from == CopyLocation::Store);
    assert_eq!(fetched, None, "the one engine is asked, the other is busy");
}

/// A load that was asked for shows in a report only once its engine has made room. Until then the
/// same model was asked for again at another engine, and two of four loads went to a model that
/// hardly anyone asked for.
#[test]
fn asked_once() {
    let (view, _) = fleet(vec![
        report(&["a"], &["a", "b", "c", "d", "e"]),
        report(&["b"], &["a", "b", "c", "d", "e"]),
    ]);
    let prefetch::Outcome {
        model, place: at, ..
    } = prefetch::next(&view, SERVICE, &engine(), &[], NOW).expect("a load");
    assert_eq!((&*model, at.from), ("f", CopyLocation::Store));
    let asked = prefetch::RequestedLoad { key: at.key, model };
    let then = prefetch::next(&view, SERVICE, &engine(), &[asked], NOW);
    let again = then.filter(|o| *o.model == *"f");
    assert_eq!(again, None);
}

/// An engine replaces another and comes without copies. It takes a model of which there is a single
/// copy, so that its loss, or demand that moves to it, does not wait for the weight store; once each
/// model has two copies it is left in peace.
#[test]
fn new_engine_takes_single_copies() {
    let all = ["a", "b", "c", "d", "e", "f"];
    let most = ["a", "b", "c", "d", "e"];
    let (view, keys) = fleet(vec![
        report(&["a", "b"], &all),
        report(&["c", "d"], &most),
        report(&["e", "f"], &[]),
        report(&[], &[]),
    ]);
    // "f" is in the memory of the third and on the disk of the first.
    assert_eq!(prefetch::next(&view, SERVICE, &engine(), &[], NOW), None);
    let (view, _) = fleet(vec![
        report(&["a", "b"], &most),
        report(&["c", "d"], &most),
        report(&["e", "f"], &["f"]),
        report(&[], &[]),
    ]);
    let prefetch::Outcome {
        model, place: at, ..
    } = prefetch::next(&view, SERVICE, &engine(), &[], NOW).expect("a load");
    assert_eq!(
        (&*model, at.key, at.from),
        ("f", keys[3], CopyLocation::Store)
    );
}

/// All VMs come back after a power cut. One engine's agent has been heard, the other, whose disk has
/// the model, not yet. Fetching it from the weight store at once takes six seconds and keeps the store
/// busy; half a second later the copy is known. An agent that stays silent does not hold it up.
#[test]
fn copies_not_heard_of_yet() {
    let (mut view, keys) = fleet(vec![report(&[], &[]), report(&[], &["a"])]);
    let young = ms(700);
    for n in 0..2 {
        view.drop_report_at(support::addr(n));
    }
    view.set_inventory_at(support::addr(0), support::inventory(&[], &[]), young);
    view.set_load_at(support::addr(0), report(&[], &[]).load, young);
    let found = find(&view, SERVICE, &engine(), "a", &[], young);
    assert_eq!(found, Err(Error::MissingReports));
    assert_eq!(prefetch::next(&view, SERVICE, &engine(), &[], young), None);
    let older = ms(2600);
    let found = find(&view, SERVICE, &engine(), "a", &[], older).expect("a place");
    assert_eq!((found.key, found.from), (keys[0], CopyLocation::Store));
    view.set_inventory_at(support::addr(1), support::inventory(&[], &["a"]), young);
    view.set_load_at(support::addr(1), report(&[], &[]).load, young);
    let found = find(&view, SERVICE, &engine(), "a", &[], young).expect("a place");
    assert_eq!((found.key, found.from), (keys[1], CopyLocation::Disk));
}
