//! Origins of streams, the versions that a service has had, and placement by version.

mod support;

use std::time::Duration;

use stair_fleet::{
    Target,
    View,
    choose::{
        Options,
        choose, //
    },
    cold_start,
    origin::{
        Answer,
        History,
        Origin,
        Record,
        Records,
        Report,
        StreamKey,
        allows,
        ranked, //
    },
    prefetch,
    view::TargetKey, //
};
use stair_types::{
    Era,
    StoreRevision, //
};
use support::{
    NOW,
    SERVICE,
    engine,
    fleet,
    load_of,
    ms,
    options,
    report,
    used, //
};

const WITHIN: Duration = Duration::from_secs(10);

fn origin(version: &str) -> Origin {
    Origin {
        service: SERVICE.into(),
        version: version.into(),
    }
}

fn record(id: &str, version: &str) -> Record {
    Record {
        stream: StreamKey::of(id),
        origin: origin(version),
        ttl: ms(5000),
    }
}

fn set_versions(view: &mut View, keys: &[TargetKey], versions: &[&str]) {
    for (key, version) in keys.iter().zip(versions) {
        view.get_mut(*key).target.version = Some((*version).into());
    }
}

#[test]
fn records() {
    let mut records = Records::default();
    let stream = StreamKey::of("a");
    assert_eq!(records.get(stream, NOW), Answer::Unknown);
    records.put(&record("a", "v1"), NOW);
    records.put(&record("b", "v2"), NOW);
    assert_eq!(records.get(stream, NOW), Answer::Known(origin("v1")));
    // A continuation is recorded again and lasts longer.
    records.put(&record("a", "v1"), NOW + ms(4000));
    let later = NOW + ms(8000);
    assert_eq!(records.get(stream, later), Answer::Known(origin("v1")));
    assert_eq!(records.get(StreamKey::of("b"), later), Answer::Unknown);
    records.put(&record("a", "v2"), later);
    assert_eq!(records.get(stream, later), Answer::Ambiguous);
    // The id is used again long after.
    let after = NOW + ms(60_000);
    records.put(&record("a", "v2"), after);
    assert_eq!(records.get(stream, after), Answer::Known(origin("v2")));
}

/// Records without a bound would fill the memory of an agent.
#[test]
fn records_are_bounded() {
    let mut records = Records::default();
    for n in 0..40_000 {
        records.put(&record(&format!("s{n}"), "v1"), NOW);
    }
    let kept: usize = records.counts().iter().map(|(_, n)| n).sum();
    assert!((1..=1 << 14).contains(&kept), "{kept}");
}

#[test]
fn answers() {
    let known = |v| Answer::Known(origin(v));
    assert_eq!(Answer::Unknown.and(known("v1")), known("v1"));
    assert_eq!(known("v1").and(Answer::Unknown), known("v1"));
    assert_eq!(known("v1").and(known("v1")), known("v1"));
    assert_eq!(known("v1").and(known("v2")), Answer::Ambiguous);
    assert_eq!(Answer::Ambiguous.and(known("v1")), Answer::Ambiguous);
}

#[test]
fn unknown_versions_match_none() {
    assert!(allows(None, None));
    assert!(allows(Some("v1"), Some("v1")));
    assert!(!allows(Some("v1"), Some("v2")));
    assert!(!allows(Some("v1"), None));
    assert!(!allows(Some(""), None));
    assert!(!allows(Some(""), Some("")));
}

/// Entries with other agents linked ask another one than the one that has the record.
#[test]
fn keepers_agree() {
    let names: Vec<String> = (0..20).map(|n| format!("10.0.0.{n}:80")).collect();
    let stream = StreamKey::of("a");
    let (all, keepers) = ranked(stream, names.iter().map(|n| &**n));
    assert_eq!(keepers, 3);
    let lost = all[0];
    let others: Vec<&str> = (0..20).filter(|n| *n != lost).map(|n| &*names[n]).collect();
    let (order, _) = ranked(stream, others.iter().copied());
    assert_eq!(others[order[0]], names[all[1]]);
    assert_eq!(others[order[1]], names[all[2]]);
}

fn sole(history: &History, service: &str, now: Duration) -> Option<String> {
    let known = history.covers(WITHIN, now);
    let version = history.sole(service, WITHIN, now);
    version.filter(|_| known).map(str::to_owned)
}

fn seen(history: &mut History, versions: &[&str], now: Duration) -> bool {
    history.observe(versions.iter().map(|v| (SERVICE, *v)), now)
}

#[test]
fn sole_version() {
    let mut history = History::default();
    assert!(seen(&mut history, &["v1", "v1"], NOW));
    assert!(!seen(&mut history, &["v1"], NOW + ms(100)));
    // Another version may have left before this process knew the list.
    assert_eq!(sole(&history, SERVICE, NOW + ms(9000)), None);
    assert_eq!(sole(&history, SERVICE, NOW + WITHIN).as_deref(), Some("v1"));
    assert_eq!(sole(&history, "another", NOW + WITHIN), None);
    let came = NOW + ms(20_000);
    assert!(seen(&mut history, &["v1", "v2"], came));
    assert_eq!(sole(&history, SERVICE, came), None);
    assert!(seen(&mut history, &["v2"], came + ms(1000)));
    assert_eq!(sole(&history, SERVICE, came + WITHIN), None);
    assert_eq!(
        sole(&history, SERVICE, came + ms(11_001)).as_deref(),
        Some("v2")
    );
}

/// A target whose version is not known may be of any.
#[test]
fn unknown_version_is_no_sole_one() {
    let mut history = History::default();
    seen(&mut history, &[""], NOW);
    assert_eq!(sole(&history, SERVICE, NOW + WITHIN), None);
}

/// A process that has just started learns from others, also of a version that it has not seen itself.
#[test]
fn reported_versions() {
    let mut old = History::default();
    seen(&mut old, &["v1"], NOW);
    let mut agent = History::default();
    let now = NOW + ms(60_000);
    agent.merge(&old.report(None, now), ms(5));
    let mut new = History::default();
    seen(&mut new, &["v1"], ms(1));
    assert_eq!(sole(&new, SERVICE, ms(10)), None);
    new.add(&agent.report(Some(SERVICE), ms(10)), ms(10));
    assert_eq!(sole(&new, SERVICE, ms(10)).as_deref(), Some("v1"));
    seen(&mut old, &["v1", "v2"], now);
    agent.merge(&old.report(None, now), ms(20));
    new.add(&agent.report(Some(SERVICE), ms(20)), ms(20));
    assert_eq!(sole(&new, SERVICE, ms(20)), None);
    // A gap in which nothing was reported.
    agent.interrupt();
    assert_eq!(agent.report(None, ms(30)).coverage, None);
    assert_eq!(Report::default().versions, Vec::new());
}

#[test]
fn bound_to_a_version() {
    let loaded = || report(&["a"], &[]);
    let (mut view, keys) = fleet(vec![loaded(), loaded(), report(&[], &["a"])]);
    set_versions(&mut view, &keys, &["v1", "v2", "v2"]);
    let bound = |version| Options {
        version: Some(version),
        ..options("a")
    };
    let key = |version| choose(&view, &bound(version), NOW).map(|o| o.key);
    assert_eq!(key("v1"), Some(keys[0]));
    assert_eq!(key("v2"), Some(keys[1]));
    assert_eq!(key("v3"), None);
    let engine = engine();
    let load = |version| {
        let opts = cold_start::Options {
            version: Some(version),
            ..load_of(&engine, "a", &[])
        };
        cold_start::choose(&view, &opts, NOW).map(|o| o.key)
    };
    assert_eq!(load("v2"), Some(keys[2]));
    assert_eq!(load("v1"), None);
}

/// One engine of a version has a busy model, and its streams cannot go on when it fails.
#[test]
fn spare_of_the_version() {
    let busy = || used(report(&["a"], &[]), "a", 0.6, 1);
    let reports = vec![busy(), report(&[], &[]), busy(), busy()];
    let (mut view, keys) = fleet(reports);
    let next = |view: &View| {
        let found = prefetch::next(view, SERVICE, &engine(), &[], NOW);
        found.filter(|f| *f.model == *"a").map(|f| f.place.key)
    };
    set_versions(&mut view, &keys, &["v1"; 4]);
    let without = next(&view);
    assert_eq!(without, None);
    set_versions(&mut view, &keys, &["v1", "v1", "v2", "v2"]);
    assert_eq!(next(&view), Some(keys[1]));
    // The only engine of its version has nowhere to have a spare.
    set_versions(&mut view, &keys, &["v1", "v2", "v2", "v2"]);
    assert_eq!(next(&view), None);
}

/// A target has restarted under its id with other software, and the store comes back from a copy of before.
#[test]
fn version_of_a_copy() {
    let (mut view, keys) = fleet(vec![report(&["a"], &[])]);
    set_versions(&mut view, &keys, &["v2"]);
    let version = |view: &View| {
        let mut all = view.all();
        let (_, s) = all.next().expect("a target");
        s.target.version.clone()
    };
    let copied = Target {
        version: Some("v1".into()),
        ..view.get(keys[0]).target.clone()
    };
    let later = |era, counter| StoreRevision {
        era: Era(era),
        counter,
    };
    let known = view.revision;
    let era = known.era.0 + 1;
    view.replace(vec![copied.clone()], later(era, 1), NOW, NOW);
    assert_eq!(version(&view).as_deref(), Some("v2"));
    view.replace(vec![copied.clone()], later(era, 2), NOW, NOW);
    assert_eq!(version(&view).as_deref(), Some("v2"));
    // It announces itself again: what the target states itself counts.
    view.put(copied, NOW);
    assert_eq!(version(&view).as_deref(), Some("v1"));
}
