//! Shares of callers in the prefill slots of an engine that has too few of them.

#[path = "support/slots.rs"]
mod slots;

use std::time::Duration;

use slots::{
    Kind,
    Load,
    Outcome,
    Policy,
    run, //
};
use stair_fleet::fair_share::{
    MAX_CALLERS,
    MAX_TURNS, //
};

/// Long prompts with a shared prefix, beside more urgent ones that wait for 600 ms at most.
const QUOTE: Kind = Kind {
    tokens: 9200,
    shared: 6300,
    objective_ms: 4000,
    rank: 2,
    urgent_ms: Some(600),
};

const SEEDS: std::ops::Range<u64> = 0..8;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// `n` callers with the same load.
fn equal(n: usize, kind: Kind, per_s: f64) -> Vec<Load> {
    (0..n).map(|c| Load::new(c, kind, per_s)).collect()
}

fn outcomes(policy: Policy, loads: &[Load]) -> Vec<Outcome> {
    SEEDS.map(|seed| run(policy, loads, seed)).collect()
}

/// The fraction of the callers' prompts that had a slot in time, on average.
fn in_time(all: &[Outcome], callers: std::ops::Range<usize>) -> f64 {
    let each = all
        .iter()
        .flat_map(|o| callers.clone().map(|c| o.in_time(c)));
    each.sum::<f64>() / (all.len() * callers.len()) as f64
}

fn longest_without(all: &[Outcome]) -> Duration {
    let each = all.iter().flat_map(|o| &o.callers);
    each.map(|c| c.longest_without).max().unwrap_or_default()
}

/// One caller sends six times its usual load, and the engine is full. Without shares it has the
/// slots, since it asks most often, and the prompts of the others are late.
fn six_times(kind: Kind, per_s: f64) {
    let usual = equal(13, kind, per_s);
    let mut six = usual.clone();
    six[12].per_s *= 6.0;
    let without = in_time(&outcomes(Policy::Alone, &usual), 0..12);
    let unshared = in_time(&outcomes(Policy::Alone, &six), 0..12);
    let shared = in_time(&outcomes(Policy::Fair, &six), 0..12);
    assert!(unshared < without - 0.01, "slots are not short: {unshared}");
    assert!(shared >= without - 0.01, "{without} {unshared} {shared}");
}

#[test]
fn six_times_with_yielding_prompts() {
    six_times(QUOTE, 0.4);
}

/// Without a more urgent route prompts reserve slots seconds ahead. If the one caller could do so,
/// the others would wait behind all of its prompts.
#[test]
fn six_times_with_prompts_that_reserve_far_ahead() {
    let kind = Kind {
        urgent_ms: None,
        ..QUOTE
    };
    six_times(kind, 0.4);
}

#[test]
fn six_times_with_two_seconds() {
    let kind = Kind {
        objective_ms: 2000,
        ..QUOTE
    };
    six_times(kind, 0.4);
}

/// Half of the callers have long prompts that nothing is cached of, the others many short ones. A
/// short prompt fits into each burst. Without shares the long ones are hardly served.
#[test]
fn long_and_short_prompts() {
    let long = Kind {
        shared: 10,
        ..QUOTE
    };
    let short = Kind {
        tokens: 826,
        shared: 198,
        ..QUOTE
    };
    let mut loads = equal(12, long, 3.0);
    for load in &mut loads[6..] {
        (load.kind, load.per_s) = (short, 10.0);
    }
    for seed in 0..2 {
        let outcome = run(Policy::Fair, &loads, seed);
        let share = outcome.granted_ms / 12.0;
        for caller in &outcome.callers {
            let fraction = caller.granted_ms / share;
            assert!((0.8..=1.2).contains(&fraction), "{fraction} of its share");
        }
    }
    let unshared = run(Policy::Alone, &loads, 0);
    assert!(unshared.callers[0].granted_ms < 0.1 * unshared.granted_ms / 12.0);
}

/// Demands differ: the callers with little demand are served in full, and the others equally.
#[test]
fn max_min_shares() {
    let mut loads = equal(9, QUOTE, 6.0);
    for load in &mut loads[..5] {
        load.per_s = 0.15;
    }
    for load in &mut loads[5..7] {
        load.per_s = 2.0;
    }
    let all = outcomes(Policy::Fair, &loads);
    assert!(in_time(&all, 0..5) > 0.99, "{}", in_time(&all, 0..5));
    for outcome in &all {
        let granted = |c: usize| outcome.callers[c].granted_ms;
        let share = (outcome.granted_ms - (0..5).map(granted).sum::<f64>()) / 4.0;
        for caller in 5..9 {
            let fraction = granted(caller) / share;
            assert!((0.85..=1.15).contains(&fraction), "{caller}: {fraction}");
        }
    }
}

/// Sixteen callers each demand more than the engine has. Without shares, two or three of them whose
/// prefixes are cached have all slots for the whole minute.
#[test]
fn nobody_is_shut_out() {
    let loads = equal(16, QUOTE, 3.0);
    let longest = longest_without(&outcomes(Policy::Fair, &loads));
    assert!(longest <= ms(8000), "{longest:?}");
    let unshared = longest_without(&outcomes(Policy::Alone, &loads));
    assert!(unshared > ms(20_000), "{unshared:?}");
}

/// As above, with prompts that wait for 400 ms at most: most of them are refused at once and have no
/// turn.
#[test]
fn nobody_is_shut_out_with_little_time() {
    let kind = Kind {
        objective_ms: 800,
        ..QUOTE
    };
    let longest = longest_without(&outcomes(Policy::Fair, &equal(16, kind, 3.0)));
    assert!(longest <= ms(8000), "{longest:?}");
}

/// A caller appears while eight others fill the engine. It has no share yet, and its prompts go
/// before theirs.
#[test]
fn caller_appears_late() {
    let mut loads = equal(8, QUOTE, 1.5);
    loads.push(Load {
        from: ms(30_000),
        ..Load::new(8, QUOTE, 0.1)
    });
    let all = outcomes(Policy::Fair, &loads);
    assert!(in_time(&all, 8..9) > 0.99, "{}", in_time(&all, 8..9));
}

/// Prompts of a lower rank fill the engine. Prompts of a higher rank have less time; they must not
/// be refused for the others.
#[test]
fn rank_goes_first() {
    let check = Kind {
        objective_ms: 2000,
        rank: 1,
        ..QUOTE
    };
    let mut loads = equal(12, check, 0.2);
    for load in &mut loads[6..] {
        load.kind = QUOTE;
    }
    let calm = in_time(&outcomes(Policy::Fair, &loads), 0..6);
    for load in &mut loads[6..] {
        load.per_s = 1.5;
    }
    let full = in_time(&outcomes(Policy::Fair, &loads), 0..6);
    let unshared = in_time(&outcomes(Policy::Alone, &loads), 0..6);
    assert!(full >= calm - 0.01, "{calm} {full}, unshared {unshared}");
}

/// Prompts that are told to wait often do not come back: they find another engine, or their clients
/// leave. The engine must not be idle for them while other prompts wait.
#[test]
fn engine_is_not_idle() {
    let mut loads = equal(13, QUOTE, 0.5);
    loads[12].per_s = 3.0;
    for load in &mut loads[..12] {
        load.leaves = 0.5;
    }
    let idle = |all: &[Outcome]| all.iter().map(|o| o.idle).sum::<Duration>();
    let (alone, fair) = (
        idle(&outcomes(Policy::Alone, &loads)),
        idle(&outcomes(Policy::Fair, &loads)),
    );
    assert!(fair <= alone, "{fair:?}, {alone:?} without shares");
}

/// A single caller has nobody to leave slots to, however much it sends.
#[test]
fn single_caller() {
    let loads = equal(1, QUOTE, 12.0);
    let alone = outcomes(Policy::Alone, &loads);
    let fair = outcomes(Policy::Fair, &loads);
    for (alone, fair) in alone.iter().zip(&fair) {
        assert!(fair.granted_ms >= 0.999 * alone.granted_ms);
    }
    assert!(in_time(&fair, 0..1) >= in_time(&alone, 0..1) - 0.01);
}

/// Three thousand callers ask an engine that can serve a few dozen of them in the window. The table
/// must not grow beyond its bound, nor the engine serve fewer prompts.
#[test]
fn more_callers_than_the_table_holds() {
    let short = Kind {
        tokens: 826,
        shared: 198,
        ..QUOTE
    };
    let loads = equal(3000, short, 0.1);
    let (alone, fair) = (run(Policy::Alone, &loads, 0), run(Policy::Fair, &loads, 0));
    assert_eq!(fair.most_callers, MAX_CALLERS);
    assert!(fair.most_waiting <= MAX_TURNS);
    assert!(fair.granted_ms >= 0.98 * alone.granted_ms);
}

/// Entries of the previous release name no caller, and ask again every 300 ms whatever they are told.
/// They must be served as before.
#[test]
fn entries_that_name_no_caller() {
    let mut loads = equal(13, QUOTE, 0.4);
    loads[12].per_s *= 6.0;
    let (alone, unnamed) = (
        outcomes(Policy::Alone, &loads),
        outcomes(Policy::Unnamed, &loads),
    );
    let (before, after) = (in_time(&alone, 0..13), in_time(&unnamed, 0..13));
    assert!(after >= before - 0.01, "{before} {after}");
}
