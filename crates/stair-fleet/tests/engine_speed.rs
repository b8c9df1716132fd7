//! Tests of the choice of a target by the engines' own speeds.

mod support;

use std::time::Duration;

use stair_fleet::{
    View,
    choose::{
        self,
        Options,
        Outcome,
        Placement,
        choose, //
    },
    cold_start,
    engine_estimate::{
        BANDS,
        ESTIMATE_TTL,
        Estimate,
        EventTime, //
    },
    overload::{
        Decision,
        decide, //
    },
    target::Report,
    target_state::REPORT_TTL,
    view::TargetKey, //
};
use stair_types::StoreRevision;
use support::{
    NOW,
    SERVICE,
    fleet,
    ms,
    options,
    report,
    target,
    used, //
};

const PAUSE: Duration = Duration::from_millis(500);

/// An estimate of an engine that reads this many tokens a millisecond and takes this long for an event.
fn estimate(tokens_per_ms: f32, event_ms: f32) -> Estimate {
    Estimate {
        tokens_per_ms,
        rates: Vec::new(),
        speed: 1.0,
        event_ms: [event_ms; BANDS],
        age: Duration::ZERO,
    }
}

fn estimated(mut report: Report, estimate: Estimate, running: u32) -> Report {
    report.load.estimate = Some(estimate);
    report.load.running = running;
    report
}

fn engine(tokens_per_ms: f32, event_ms: f32, running: u32) -> Report {
    estimated(
        report(&["a"], &[]),
        estimate(tokens_per_ms, event_ms),
        running,
    )
}

fn prompt(placement: Placement) -> Options<'static> {
    Options {
        tokens: 9190,
        pause: Some(PAUSE),
        placement,
        ..options("a")
    }
}

fn share() -> Options<'static> {
    prompt(Placement::Share)
}

fn chosen(view: &View, opts: &Options<'_>) -> Outcome {
    choose(view, opts, NOW).expect("one")
}

fn key(view: &View, opts: &Options<'_>) -> TargetKey {
    chosen(view, opts).key
}

/// A prompt of 9,190 tokens would stall the streams of a slow engine for longer than promised, and the
/// other replica is free. By the constants the two engines were equal.
#[test]
fn pause_breaks_beside_streams() {
    let (view, keys) = fleet(vec![engine(18.0, 50.0, 4), engine(40.0, 25.0, 0)]);
    assert_eq!(key(&view, &share()), keys[1]);
    // The other replica has a backlog for which the prompt would wait. It still goes there, for the streams.
    let mut busy = engine(40.0, 25.0, 0);
    busy.load.backlog = ms(700);
    let (view, keys) = fleet(vec![engine(18.0, 50.0, 4), busy.clone()]);
    assert_eq!(key(&view, &share()), keys[1]);
    // Without streams nothing is late at the slow engine.
    let (view, keys) = fleet(vec![engine(18.0, 50.0, 0), busy]);
    assert_eq!(key(&view, &share()), keys[0]);
}

/// Where no other replica is better, the prompt is sent all the same: an estimate refuses nothing and loads
/// nothing.
#[test]
fn no_refusal_by_an_estimate() {
    let slow = engine(12.0, 80.0, 30);
    let mut plain = slow.clone();
    plain.load.estimate = None;
    let (view, keys) = fleet(vec![slow]);
    let best = chosen(&view, &share());
    assert_eq!(best.key, keys[0]);
    assert!(best.cost_ms > 500.0 && best.expected_ms > 700.0, "{best:?}");
    let (view, _) = fleet(vec![plain]);
    let before = chosen(&view, &share());
    assert_eq!(before.wait_ms, best.wait_ms);
    let placement: Option<&cold_start::Outcome> = None;
    for remaining in [200, 400, 800] {
        let decision = decide(Some(&best), placement, ms(800), ms(remaining));
        let usual = decide(Some(&before), placement, ms(800), ms(remaining));
        assert_eq!(decision, usual);
    }
    let decision = decide(Some(&best), placement, ms(800), ms(800));
    assert_eq!(decision, Decision::Send);
}

/// The shared prefix of a prompt is cached at one replica. The prompt goes there while the other replica
/// costs more than the cached prefix saves, and not when the replica is far busier.
#[test]
fn prefix_is_worth_what_it_saves() {
    let loaded = |fraction: f32| {
        let per_s = fraction / support::PROMPT_PREFILL_FRACTION;
        let report = used(report(&["a"], &[]), "a", per_s, 2);
        estimated(report, estimate(38.0, 27.0), 2)
    };
    let opts = Options {
        shared: Some((6300, 42)),
        ..share()
    };
    let (view, keys) = fleet(vec![loaded(0.0), loaded(0.0)]);
    let preferred = key(&view, &opts);
    let loads = |own: f32, other: f32| {
        let both = keys
            .iter()
            .map(|k| if *k == preferred { own } else { other });
        fleet(both.map(loaded).collect()).0
    };
    assert_eq!(key(&loads(0.4, 0.1), &opts), preferred);
    assert_ne!(key(&loads(0.85, 0.0), &opts), preferred);
}

/// An engine's steps take four times as long from 56 streams on. A request must go to another engine
/// before it gets there, even if that one has a backlog of a quarter of a second.
#[test]
fn kept_below_the_point_of_slowing_down() {
    let mut steep = estimate(40.0, 25.0);
    steep.event_ms[7] = 100.0;
    let filling = |running| estimated(report(&["a"], &[]), steep.clone(), running);
    let mut other = engine(40.0, 25.0, 10);
    other.load.backlog = ms(250);
    let short = Options {
        tokens: 830,
        ..share()
    };
    let (view, keys) = fleet(vec![filling(50), other.clone()]);
    assert_eq!(key(&view, &short), keys[0]);
    let (view, keys) = fleet(vec![filling(55), other]);
    assert_eq!(key(&view, &short), keys[1]);
}

/// Without an estimate, or with an old one, the constants apply.
#[test]
fn old_estimates_are_not_used() {
    let mut old = estimate(12.0, 80.0);
    old.age = ESTIMATE_TTL;
    let (view, _) = fleet(vec![estimated(report(&["a"], &[]), old, 0)]);
    let best = chosen(&view, &share());
    assert_eq!((best.expected_ms, best.pause_ms), (best.wait_ms, 0.0));
}

/// An agent is frozen, and its engine is slow. The entry's own streams show that, as nothing else does.
#[test]
fn own_observations_without_reports() {
    let (mut view, keys) = fleet(vec![engine(38.0, 27.0, 0), engine(38.0, 27.0, 0)]);
    for k in &keys {
        let mut announced = view.get(*k).target.clone();
        announced.inventory = support::inventory(&["a"], &[]);
        view.put(announced, NOW);
    }
    let later = NOW + REPORT_TTL + ms(100);
    for n in 0..40 {
        let at = later - ms(10_000) + ms(250 * n);
        for (k, slow_ms) in keys.iter().zip([70.0, 27.0]) {
            let event_ms = if n < 20 { 27.0 } else { slow_ms };
            let time = EventTime {
                model: "a".into(),
                event_ms,
            };
            view.get_mut(*k).own_estimator.record(&time, 2, at);
        }
    }
    for salt in 0..20 {
        let opts = Options { salt, ..share() };
        assert_eq!(choose(&view, &opts, later).expect("one").key, keys[1]);
    }
}

/// Where they are separated, a long prompt avoids streams and a short one avoids engines that read.
#[test]
fn separated() {
    let reads = used(report(&["a"], &[]), "a", 2.5, 1);
    let reads = estimated(reads, estimate(38.0, 27.0), 1);
    let (view, keys) = fleet(vec![engine(38.0, 27.0, 20), reads]);
    let long = prompt(Placement::Separate);
    assert_eq!(key(&view, &long), keys[1]);
    let short = Options {
        tokens: 830,
        ..long
    };
    assert_eq!(key(&view, &short), keys[0]);
}

/// One of four plain targets takes 2.5 times as long for 0.6 s, which is noise. Its share afterwards must be
/// that of the others: what counts are requests in flight, and the time of single responses does not.
#[test]
fn plain_target_with_noise() {
    let mut view = View::default();
    view.replace(
        (0..4).map(|n| target(n, SERVICE)).collect(),
        StoreRevision::new(0, 1),
        NOW,
        NOW,
    );
    let keys: Vec<TargetKey> = view.all().map(|(key, _)| key).collect();
    let mut running: Vec<(u64, TargetKey)> = Vec::new();
    let mut counts = [0; 4];
    for n in 0..300_u64 {
        let at = n * 25;
        running.retain(|(end, key)| {
            let ended = *end <= at;
            if ended {
                let state = view.get_mut(*key);
                state.in_flight -= 1;
                state.record_attempt(true);
            }
            !ended
        });
        let opts = choose::Options {
            model: None,
            salt: n.wrapping_mul(0x9E37_79B9_7F4A_7C15),
            ..options("")
        };
        let best = choose(&view, &opts, NOW + ms(at)).expect("one").key;
        let is_slow = best == keys[0] && (1000..1600).contains(&at);
        running.push((at + if is_slow { 100 } else { 40 }, best));
        view.get_mut(best).in_flight += 1;
        if at >= 1800 {
            counts[keys.iter().position(|k| *k == best).expect("known")] += 1;
        }
    }
    let mean = counts.iter().sum::<i32>() / 4;
    assert!(counts[0] * 10 >= mean * 8, "{counts:?}");
}

/// A model is chosen by a bit for each model of an engine, before its inventory is compared. A bit that is
/// missing would hide a replica: one that was loaded before the agent's next report, or announced anew.
#[test]
fn every_loaded_model_is_found() {
    let names: Vec<String> = (0..200).map(|n| format!("model-{n}")).collect();
    for name in &names {
        let (mut view, keys) = fleet(vec![report(&["a"], &[])]);
        assert_eq!(choose(&view, &options(name), NOW), None);
        view.get_mut(keys[0]).mark_loaded(name);
        assert_eq!(key(&view, &options(name)), keys[0]);
        assert_eq!(key(&view, &options("a")), keys[0]);
        let reported = support::inventory(&[name], &[]);
        view.set_inventory_at(support::addr(0), reported, NOW);
        assert_eq!(key(&view, &options(name)), keys[0]);
        assert_eq!(choose(&view, &options("a"), NOW), None);
        let mut announced = view.get(keys[0]).target.clone();
        announced.inventory = support::inventory(&["b"], &[]);
        view.put(announced, NOW);
        view.drop_report_at(support::addr(0));
        assert_eq!(key(&view, &options("b")), keys[0]);
    }
}
