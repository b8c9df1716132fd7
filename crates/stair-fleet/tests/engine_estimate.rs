//! Tests of the estimate of an engine's speed.

mod support;

use std::time::Duration;

use stair_fleet::{
    engine_estimate::{
        ESTIMATE_TTL,
        Estimate,
        Estimator,
        EventTime,
        ModelRate,
        Sampler,
        load_spread, //
    },
    msg::{
        Extension,
        Features, //
    },
    prefill::Schedule,
};
use support::{
    NOW,
    SERVICE,
    fleet,
    ms,
    report,
    used, //
};

fn sample(model: &str, event_ms: f32) -> EventTime {
    EventTime {
        model: model.into(),
        event_ms,
    }
}

/// Records an event time four times a second, from `from` for `seconds`.
fn feed(estimator: &mut Estimator, event_ms: f32, streams: u32, from: u64, seconds: u64) -> u64 {
    let until = from + 1000 * seconds;
    for at in (from..until).step_by(250) {
        estimator.record(&sample("a", event_ms), streams, ms(at));
    }
    until
}

/// An engine becomes half as fast and recovers. Unless the estimate follows within 2 s each way, the
/// engine gets twice the work that it can do, or half of it.
#[test]
fn follows_within_two_seconds() {
    let mut estimator = Estimator::default();
    let at = feed(&mut estimator, 30.0, 4, 0, 5);
    assert!((estimator.speed(ms(at)) - 1.0).abs() < 0.05);
    let at = feed(&mut estimator, 60.0, 4, at, 2);
    assert!((0.45..0.6).contains(&estimator.speed(ms(at))));
    assert!((55.0..65.0).contains(&estimator.event_ms(4, ms(at))));
    let at = feed(&mut estimator, 30.0, 4, at, 2);
    assert!((0.85..1.15).contains(&estimator.speed(ms(at))));
}

/// One stream reports an absurd time: its entry was frozen, or the sample is corrupt. The estimate
/// must stay bounded, and be right again soon.
#[test]
fn outliers_have_little_effect() {
    let mut estimator = Estimator::default();
    let at = feed(&mut estimator, 30.0, 4, 0, 5);
    for absurd in [f32::NAN, f32::INFINITY, -5.0, 0.0] {
        estimator.record(&sample("a", absurd), 4, ms(at));
    }
    assert!((estimator.speed(ms(at)) - 1.0).abs() < 0.05);
    estimator.record(&sample("a", 1e9), 4, ms(at));
    assert!(estimator.speed(ms(at)) > 0.6, "{}", estimator.speed(ms(at)));
    let at = feed(&mut estimator, 30.0, 4, at + 50, 1);
    assert!((estimator.speed(ms(at)) - 1.0).abs() < 0.15);
    let at = feed(&mut estimator, 1e9, 4, at, 60);
    assert!(estimator.speed(ms(at)) >= 0.3);
    assert!(estimator.event_ms(64, ms(at)).is_finite());
}

/// Two models whose events take 30 and 9 ms run at one engine. When the streams change from one to the
/// other, the engine has not changed its speed.
#[test]
fn small_model_is_not_a_fast_engine() {
    let mut estimator = Estimator::default();
    for at in (0..5000).step_by(250) {
        estimator.record(&sample("large", 30.0), 4, ms(at));
        estimator.record(&sample("small", 9.0), 4, ms(at));
    }
    for at in (5000..8000).step_by(250) {
        estimator.record(&sample("small", 9.0), 4, ms(at));
    }
    assert!((estimator.speed(ms(8000)) - 1.0).abs() < 0.05);
}

/// An engine's steps take three times as long from 56 streams on. The estimate must state that for
/// 56 streams and not for a few, or the engine would look slow while it is nearly idle.
#[test]
fn slow_when_nearly_full() {
    let mut estimator = Estimator::default();
    let mut at = 0;
    for _ in 0..15 {
        at = feed(&mut estimator, 30.0, 10, at, 3);
        at = feed(&mut estimator, 90.0, 60, at, 3);
    }
    at = feed(&mut estimator, 30.0, 10, at, 2);
    let few = estimator.event_ms(10, ms(at));
    let full = estimator.event_ms(60, ms(at));
    assert!((25.0..36.0).contains(&few), "{few}");
    assert!(full > 2.0 * few, "{few} {full}");
}

/// An engine that was slow gets no requests and so no samples. If it counted as slow for good, it
/// would never get any.
#[test]
fn idle_engine_returns_to_usual() {
    let mut estimator = Estimator::default();
    let at = feed(&mut estimator, 30.0, 4, 0, 5);
    let at = feed(&mut estimator, 75.0, 4, at, 2);
    assert!(estimator.speed(ms(at)) < 0.5);
    let later = ms(at) + Duration::from_secs(25);
    assert!(estimator.speed(later) > 0.85);
    assert!(estimator.estimate(later).is_some());
    assert!(estimator.estimate(ms(at) + ESTIMATE_TTL).is_none());
    assert!(Estimator::default().estimate(NOW).is_none());
}

/// An engine reads prompts for 350 ms after every second event, and the network delivers some events
/// two at a time. Its speed is that of its short pauses.
#[test]
fn pauses_by_prefill_and_joined_events() {
    let mut sampler = Sampler::default();
    let mut at = 0;
    let mut found = Vec::new();
    for n in 0..40 {
        at += if n % 3 == 2 { 380 } else { 30 };
        found.extend(sampler.arrived(ms(at)));
    }
    assert!(found.len() >= 2);
    assert!(found.iter().all(|t| (29.0..31.0).contains(t)), "{found:?}");
    let mut joined = Sampler::default();
    let mut found = Vec::new();
    for n in 0..60 {
        at += if n % 2 == 0 { 60 } else { 0 };
        found.extend(joined.arrived(ms(at)));
    }
    assert!(!found.is_empty());
    assert!(found.iter().all(|t| (29.0..31.0).contains(t)), "{found:?}");
    // A stream of a few events gives no sample.
    let mut short = Sampler::default();
    (0..4).for_each(|n| assert!(short.arrived(ms(n * 30)).is_none()));
    assert!(short.take().is_none());
}

/// A slow engine reads a burst within the promised pause, and its streams have an event in the break
/// after it. Otherwise two bursts stall a stream one after the other.
#[test]
fn bursts_and_breaks_of_a_slow_engine() {
    let mut prefills = Schedule::default();
    let slow = |at: u64, event_ms: f32| (ms(at), [sample("a", event_ms)]);
    for (at, times) in (0..20).map(|n| slow(n * 250, 50.0)) {
        prefills.record_events(&times, 4, at);
    }
    let usual = prefills.rate("a");
    for (at, times) in (20..28).map(|n| slow(n * 250, 100.0)) {
        prefills.record_events(&times, 4, at);
    }
    assert!((0.45..0.6).contains(&(prefills.rate("a") / usual)));
    let request = |n: u64| stair_fleet::prefill::Request {
        model: "a".into(),
        blocks: vec![stair_fleet::prefill::PrefixBlock {
            chain: n,
            tokens: 2000,
        }],
        tokens: 2000,
        max_wait: ms(60_000),
        urgent_max_wait: None,
        pause: Some(ms(500)),
        first: true,
    };
    let now = ms(7000);
    let slots: Vec<(Duration, Duration)> = (0..8)
        .map(|n| prefills.reserve(&request(n), 250_000, now))
        .map(|r| (r.wait, r.wait + r.prefill_time))
        .collect();
    let mut from = slots[0].0;
    for pair in slots.windows(2) {
        let gap = pair[1].0.saturating_sub(pair[0].1);
        if !gap.is_zero() {
            assert!(pair[0].1 - from <= ms(340), "{slots:?}");
            assert!(gap >= ms(140), "{slots:?}");
            from = pair[1].0;
        }
    }
    // A new incarnation of the engine keeps the speed, since the hardware is the same.
    let before = prefills.rate("a");
    prefills.clear();
    assert_eq!(prefills.rate("a"), before);
    let unread = prefills.estimate(["a"].into_iter(), now).expect("measured");
    assert!(unread.is_sound() && unread.rate("a").is_none());
    for (prefill_time, took) in [(10, 60), (100, 160)] {
        prefills.record(&stair_fleet::prefill::Measurement {
            model: "a".into(),
            prefill_time: ms(prefill_time),
            took: ms(took),
        });
    }
    let estimate = prefills.estimate(["a"].into_iter(), now).expect("measured");
    assert!(estimate.is_sound() && estimate.rate("a").is_some());
}

/// A process of the previous release reads the features of the extension and ignores the rest, and one
/// of this release finds no estimate in an extension of the previous one.
#[test]
fn readable_by_the_previous_release() {
    let ext = Extension {
        features: Features::CURRENT,
        estimate: Some(Estimate {
            tokens_per_ms: 30.0,
            speed: 0.7,
            ..Estimate::default()
        }),
    };
    let bytes = postcard::to_stdvec(&ext).expect("encodes");
    let before: (bool, bool) = postcard::from_bytes(&bytes).expect("decodes");
    assert_eq!(before, (true, true));
    let mut old = postcard::to_stdvec(&(true, true)).expect("encodes");
    old.extend([0; 16]);
    let read: Extension = postcard::from_bytes(&old).expect("decodes");
    assert!(read.features.causes && !read.features.event_times);
    assert_eq!(read.estimate, None);
}

/// A report from another process with absurd numbers must not enter the choice.
#[test]
fn absurd_estimates_are_rejected() {
    let sound = Estimate {
        tokens_per_ms: 30.0,
        speed: 1.0,
        ..Estimate::default()
    };
    assert!(sound.is_sound());
    for speed in [f32::NAN, 0.0, -1.0, 50.0] {
        let absurd = Estimate {
            speed,
            ..sound.clone()
        };
        assert!(!absurd.is_sound());
    }
    let absurd = Estimate {
        rates: vec![ModelRate {
            model: "a".into(),
            tokens_per_ms: f32::INFINITY,
        }],
        ..sound
    };
    assert!(!absurd.is_sound());
}

/// The busiest of four engines has half of all load, by its own capacity.
#[test]
fn spread_of_load() {
    let loaded = |per_s| used(report(&["a"], &[]), "a", per_s, 1);
    let (view, _) = fleet(vec![loaded(3.0), loaded(1.0), loaded(1.0), loaded(1.0)]);
    let spread = load_spread(&view, SERVICE, NOW).expect("loaded");
    assert!((1.99..2.01).contains(&spread), "{spread}");
    let (idle, _) = fleet(vec![report(&["a"], &[])]);
    assert_eq!(load_spread(&idle, SERVICE, NOW), None);
}
