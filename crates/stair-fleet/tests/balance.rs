//! Which model gets a further replica, and whose replicas make way for it.

mod support;

use stair_fleet::{
    View,
    balance,
    cold_start,
    target::{
        CopyLocation,
        Report, //
    },
    view::TargetKey, //
};
use support::{
    NOW,
    SERVICE,
    engine,
    fleet,
    report,
    tell,
    used, //
};

fn next(view: &View) -> Option<(Box<str>, cold_start::Outcome)> {
    find(view, true)
}

fn find(view: &View, store: bool) -> Option<(Box<str>, cold_start::Outcome)> {
    let opts = balance::Options {
        view,
        service: SERVICE,
        engine: &engine(),
        requested: &[],
        excluded: &[],
        store,
    };
    let found = balance::next(&opts, NOW)?;
    Some((found.model, found.place))
}

/// An engine has crashed and come back empty, with copies on its disk. The busiest model of all has
/// no copy there. Looking at that one alone would leave the engine idle while the next busiest
/// crowds its own.
#[test]
fn idle_engine_takes_what_it_can() {
    let (view, keys) = fleet(vec![
        used(report(&["a"], &["a"]), "a", 9.0, 9),
        used(report(&["b"], &["b"]), "b", 6.0, 6),
        report(&[], &["b", "c"]),
    ]);
    let (model, at) = next(&view).expect("a load");
    assert_eq!(
        (&*model, at.key, at.from),
        ("b", keys[2], CopyLocation::Disk)
    );
}

/// A load from the weight store is made when no copy helps, at the engine with the least to do.
#[test]
fn from_the_store_last() {
    let (view, keys) = fleet(vec![
        used(report(&["a"], &["a"]), "a", 9.0, 9),
        used(report(&["b"], &["b"]), "b", 2.0, 2),
        report(&["c"], &["c"]),
    ]);
    let (model, at) = next(&view).expect("a load");
    assert_eq!(
        (&*model, at.key, at.from),
        ("a", keys[2], CopyLocation::Store)
    );
    assert_eq!(find(&view, false), None);
}

/// The copy that a load from the weight store would push out may be the last one of its model, whose
/// next request would wait for the weight store then.
#[test]
fn last_copies_stay() {
    let (view, _) = fleet(vec![
        used(report(&["a"], &["a"]), "a", 9.0, 9),
        report(&[], &["c"]),
    ]);
    assert_eq!(next(&view), None);
}

/// Demand that is spread well needs no load, and models that are hardly asked for get no second
/// replica, however much room there is.
#[test]
fn nothing_to_gain() {
    let (view, _) = fleet(vec![
        used(report(&["a"], &["a", "b"]), "a", 1.0, 1),
        used(report(&["b"], &["a", "b"]), "b", 0.2, 0),
    ]);
    assert_eq!(next(&view), None);
}

/// Two busy models share two engines and each could take a place of the other. Each move that
/// crowds the other one would be undone by the next look, and both models' prompts would be read
/// anew each time; the fleet comes to rest instead.
#[test]
fn comes_to_rest() {
    let disk = ["a", "b", "c", "d"];
    let rates = [("a", 10.0), ("b", 8.0), ("c", 5.0), ("d", 3.0)];
    let mut held: Vec<Vec<&str>> = vec![vec!["a", "b"], vec!["c"], vec!["d"], vec![], vec![]];
    let mut moves = 0;
    loop {
        let view = at_rates(&held, &disk, &rates);
        let Some((model, at)) = next(&view.0) else {
            break;
        };
        let i = view.1.iter().position(|k| *k == at.key).expect("listed");
        held[i].retain(|m| !at.victims.iter().any(|v| **v == **m));
        held[i].push(*disk.iter().find(|m| ***m == *model).expect("declared"));
        moves += 1;
        assert!(moves < 20, "it never comes to rest: {held:?}");
    }
    let busiest = held
        .iter()
        .map(|h| load(h, &held, &rates))
        .fold(0.0, f64::max);
    assert!(busiest < 8.0, "{held:?}");
}

fn replicas(held: &[Vec<&str>], model: &str) -> f64 {
    held.iter().filter(|h| h.contains(&model)).count() as f64
}

fn load(here: &[&str], held: &[Vec<&str>], rates: &[(&str, f64)]) -> f64 {
    let share = |m: &&&str| {
        let rate = rates.iter().find(|(name, _)| *name == **m);
        rate.map_or(0.0, |(_, r)| r / replicas(held, m))
    };
    here.iter().map(|m| share(&m)).sum()
}

fn at_rates(held: &[Vec<&str>], disk: &[&str], rates: &[(&str, f64)]) -> (View, Vec<TargetKey>) {
    let reports: Vec<Report> = held
        .iter()
        .map(|h| {
            let mut r = report(h, disk);
            for (model, rate) in rates.iter().filter(|(m, _)| h.contains(m)) {
                r = used(r, model, (rate / replicas(held, model)) as f32, 1);
            }
            r
        })
        .collect();
    fleet(reports)
}

/// An engine that is loading is left alone, and what it loads counts as a replica already.
#[test]
fn loads_count() {
    let (mut view, keys) = fleet(vec![
        used(report(&["a"], &["a"]), "a", 9.0, 9),
        report(&[], &["a"]),
    ]);
    assert!(next(&view).is_some());
    let mut loading = report(&[], &["a"]);
    loading.load.loading = Some(stair_fleet::target::Loading {
        model: "a".into(),
        from: CopyLocation::Disk,
        remaining: support::ms(500),
        slowdown: 0.0,
    });
    tell(&mut view, 1, loading);
    assert_eq!(next(&view), None);
    assert_eq!(keys.len(), 2);
}

/// Short prompts: 20 requests a second take a tenth of one engine's time. A further replica would gain
/// them next to nothing, and the rare model that made way for it would be missed.
#[test]
fn light_work_stays() {
    let mut busy = used(report(&["a"], &["a"]), "a", 20.0, 20);
    busy.load.usage[0].prefill_fraction = 0.1;
    let rare = used(used(report(&["b", "c"], &["a"]), "b", 0.6, 0), "c", 0.6, 0);
    let (view, _) = fleet(vec![busy, rare]);
    assert_eq!(next(&view), None);
}
