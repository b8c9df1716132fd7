//! Tests of the placement of models and of the choice of victims.

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
    engine,
    fetching,
    fleet,
    load_of,
    ms,
    options,
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
    let at = choose(&view, &load_of(&engine(), "a", &[]), NOW).expect("a placement");
    assert_eq!((at.key, at.from), (keys[1], CopyLocation::Disk));
    assert!(at.victims.is_empty());
}

/// A load of a rare model has to evict a busy model or an idle one. If it evicted the busy one, all
/// of that model's requests would wait for a swap.
#[test]
fn idle_models_are_evicted() {
    let full = used(used(report(&["b", "c"], &["a"]), "b", 6.0, 4), "c", 0.1, 0);
    let (view, _) = fleet(vec![full]);
    let at = choose(&view, &load_of(&engine(), "a", &[]), NOW).expect("a placement");
    assert_eq!(at.victims, vec!["c".into()]);
}

/// The victims at one engine have eight streams in flight; the victim at the other has one and a
/// slightly higher eviction cost. The first engine takes the order only when the last of the eight
/// has ended: a request sent there for a load of 0.8 s waited 4 s.
#[test]
fn waits_for_the_longest_stream() {
    let busy = used(used(report(&["b", "c"], &["a"]), "b", 0.1, 8), "c", 0.1, 8);
    let lightly_used = used(used(report(&["d", "e"], &["a"]), "d", 0.6, 1), "e", 0.6, 1);
    let (view, keys) = fleet(vec![busy, lightly_used]);
    let at = choose(&view, &load_of(&engine(), "a", &[]), NOW).expect("a placement");
    assert_eq!(at.key, keys[1]);
    assert!(at.ready_in >= ms(800 + 700), "{:?}", at.ready_in);
}

/// A redundant replica is evicted before the last replica of a model.
#[test]
fn redundant_replicas_are_evicted() {
    let (view, keys) = fleet(vec![
        used(report(&["b", "c"], &["a"]), "b", 0.2, 0),
        used(report(&["b", "d"], &["a"]), "b", 0.2, 0),
    ]);
    let at = choose(&view, &load_of(&engine(), "a", &[]), NOW).expect("a placement");
    assert!(keys.contains(&at.key));
    assert_eq!(at.victims, vec!["b".into()]);
}

/// Two entries need memory at the same moment, each at one of the two engines with a busy model. If
/// each counted the replica there as redundant, none would remain and all requests of the model
/// would be refused until it is loaded again (seen: 20 requests per second for 4 s).
#[test]
fn one_replica_is_redundant() {
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
        let at = choose(&view, &load_of(&engine(), "a", &[keys[tried]]), NOW);
        at.expect("a placement").victims
    };
    let evicted = [victims(0), victims(1)].concat();
    let busy = evicted.iter().filter(|v| ***v == *"b").count();
    assert_eq!(busy, 1, "{evicted:?}");
}

/// A second request for a model that an engine is loading joins that load.
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
    let at = choose(&view, &load_of(&engine(), "a", &[]), NOW).expect("a placement");
    assert_eq!((at.key, at.ready_in), (keys[1], ms(300)));
}

/// The limit of loads from the weight store is reached, and a further one would slow all of them
/// down. The error must be that the store is busy, not that there is no capacity.
#[test]
fn store_is_busy() {
    let mut reports: Vec<_> = ["b", "c", "d", "e"]
        .map(|m| fetching(m, ms(4000), 0.3))
        .to_vec();
    reports.push(report(&[], &[]));
    let (view, keys) = fleet(reports);
    let found = find(&view, &load_of(&engine(), "a", &[]), NOW);
    assert_eq!(found, Err(Error::StoreBusy));
    let joined = find(&view, &load_of(&engine(), "b", &[]), NOW).expect("joins");
    assert_eq!(joined.key, keys[0]);
    let (nothing, _) = fleet(vec![]);
    let found = find(&nothing, &load_of(&engine(), "a", &[]), NOW);
    assert_eq!(found, Err(Error::NoCapacity));
}

/// All agents are silent, so no engine takes orders.
#[test]
fn no_agent_no_load() {
    let (view, _) = fleet(vec![report(&[], &["a"])]);
    let later = NOW + ms(60_000);
    assert_eq!(choose(&view, &load_of(&engine(), "a", &[]), later), None);
}

/// Before traffic the engines' memory is half empty. Models with a copy on disk are loaded where
/// memory is free, one per engine at a time, without evictions.
#[test]
fn fills_free_memory() {
    let (view, keys) = fleet(vec![
        report(&["b"], &["a", "b"]),
        report(&["c", "d"], &["e"]),
    ]);
    let prefetch::Outcome {
        model, place: at, ..
    } = prefetch::next(&view, SERVICE, &engine(), &[], NOW).expect("a load");
    // "f" has no copy at any engine and comes first, from the weight store.
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
    let requested = prefetch::RequestedLoad {
        key: known.1[0],
        model: "a".into(),
    };
    let none = prefetch::next(&known.0, SERVICE, &engine(), &[requested], NOW);
    assert_eq!(none, None, "an engine with a requested load is excluded");
    assert_eq!(keys.len(), 2);
}

/// Demand moves to a model with one replica, five requests per second, whose prompts stall each
/// other's streams. A further replica must be loaded from a copy on disk and evict a model with
/// hardly any demand.
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

/// A fleet restarts empty, and the first replica of a busy model gets all of its requests. All of
/// them would queue there until their deadlines. Requests with a long wait must have a further
/// replica loaded, and requests that cannot be served in time must be refused at once.
#[test]
fn slow_target_loads_another_replica() {
    let mut busy = report(&["a"], &["a"]);
    busy.load.backlog = ms(3000);
    let (view, keys) = fleet(vec![busy, report(&[], &["a"])]);
    let best = stair_fleet::choose::choose(&view, &options("a"), NOW).expect("one");
    let place = choose(&view, &load_of(&engine(), "a", &[keys[0]]), NOW);
    let objective = ms(800);
    let decision = decide(Some(&best), place.as_ref(), objective, ms(5000));
    assert_eq!(decision, Decision::Load);
    let alone = decide(Some(&best), None, objective, ms(5000));
    assert_eq!(alone, Decision::Send);
    let late = decide(Some(&best), None, objective, ms(1000));
    assert_eq!(late, Decision::Refuse);
    let (idle, _) = fleet(vec![report(&["a"], &[])]);
    let fast = stair_fleet::choose::choose(&idle, &options("a"), NOW).expect("one");
    let decision = decide(Some(&fast), place.as_ref(), objective, ms(5000));
    assert_eq!(decision, Decision::Send);
}

/// An engine unloads a busy model after the model's streams have ended, and takes no orders until
/// then. A request for the model finds a copy in that engine's memory, which is the fastest by load
/// time alone; waiting there took as long as the streams, until the client disconnected.
#[test]
fn not_behind_an_unload() {
    let mut unloading = report(&["a"], &["a"]);
    unloading.inventory.in_memory = vec!["a".into()];
    unloading.load.unloading = true;
    unloading.load.draining = vec!["a".into()];
    let (view, keys) = fleet(vec![unloading, report(&["b"], &["a"])]);
    let at = choose(&view, &load_of(&engine(), "a", &[]), NOW).expect("a placement");
    assert_eq!((at.key, at.from), (keys[1], CopyLocation::Disk));
}

/// Engines fail with the only copies of two rare models, while a third model overloads its replica.
/// The weight store serves few loads at a time: if the rare models were loaded first, the busy one
/// would wait for several seconds, and all of its requests would be late.
#[test]
fn overloaded_before_missing() {
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
    let requested = prefetch::RequestedLoad { key: at.key, model };
    let then = prefetch::next(&view, SERVICE, &engine(), &[requested], NOW);
    let fetched = then.filter(|o| o.place.from == CopyLocation::Store);
    assert_eq!(
        fetched, None,
        "one engine has a requested load, the other is busy"
    );
}

/// A requested load appears in a report only after its engine has freed memory. Until then the same
/// model was requested again at another engine, and two of four loads went to a model with hardly
/// any demand.
#[test]
fn requested_once() {
    let (view, _) = fleet(vec![
        report(&["a"], &["a", "b", "c", "d", "e"]),
        report(&["b"], &["a", "b", "c", "d", "e"]),
    ]);
    let prefetch::Outcome {
        model, place: at, ..
    } = prefetch::next(&view, SERVICE, &engine(), &[], NOW).expect("a load");
    assert_eq!((&*model, at.from), ("f", CopyLocation::Store));
    let requested = prefetch::RequestedLoad { key: at.key, model };
    let then = prefetch::next(&view, SERVICE, &engine(), &[requested], NOW);
    let again = then.filter(|o| *o.model == *"f");
    assert_eq!(again, None);
}

/// An engine replaces another and starts without copies. It must load a model with a single copy,
/// so that a failure of the other engine, or demand for the model, does not wait for the weight
/// store. Once each model has two copies it must get no further loads.
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
    // "f" is loaded at the third engine and on the disk of the first.
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

/// All VMs restart after a power cut. One engine's agent has reported; the agent of the engine
/// whose disk has the model has not. A load from the weight store at once would take six seconds
/// and keep the store busy, while the copy is known half a second later. An agent that stays silent
/// must not delay the load for longer.
#[test]
fn copies_not_reported_yet() {
    let (mut view, keys) = fleet(vec![report(&[], &[]), report(&[], &["a"])]);
    let early = ms(700);
    for n in 0..2 {
        view.drop_report_at(support::addr(n));
    }
    view.set_inventory_at(support::addr(0), support::inventory(&[], &[]), early);
    view.set_load_at(support::addr(0), report(&[], &[]).load, early);
    let found = find(&view, &load_of(&engine(), "a", &[]), early);
    assert_eq!(found, Err(Error::MissingReports));
    assert_eq!(prefetch::next(&view, SERVICE, &engine(), &[], early), None);
    let later = ms(2600);
    let found = find(&view, &load_of(&engine(), "a", &[]), later).expect("a placement");
    assert_eq!((found.key, found.from), (keys[0], CopyLocation::Store));
    view.set_inventory_at(support::addr(1), support::inventory(&[], &["a"]), early);
    view.set_load_at(support::addr(1), report(&[], &[]).load, early);
    let found = find(&view, &load_of(&engine(), "a", &[]), early).expect("a placement");
    assert_eq!((found.key, found.from), (keys[1], CopyLocation::Disk));
}
