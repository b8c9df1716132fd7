//! Tests of the order among the requests of a workspace whose quota is short, under load.

mod support;

use std::time::Duration;

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use stair_fleet::{
    quota::Ledger,
    workspace::{
        Quota,
        Unit, //
    },
};
use support::order_desk::{
    Arrival,
    EXCESS,
    Outcome,
    QUOTA,
    ROUTES,
    SLACK,
    admitted_units,
    arrivals,
    most_of_bound,
    ms,
    ordered,
    play,
    refused_at_first,
    route, //
};

/// One workspace sends six times its usual load. Without an order the quota went to the requests that may wait
/// longest: two thirds of the invoices were refused, and ranks did not matter.
#[test]
fn ranks_and_routes() {
    for seed in 0..10 {
        let load = arrivals(EXCESS, ms(30_000), seed);
        let out = play(&mut Ledger::new(SLACK), load, ms(20));
        let from = ms(3_000);
        let refused: Vec<f64> = (0..ROUTES.len())
            .map(|r| refused_at_first(&out, from, |a| a.route == r))
            .collect();
        let of = |name| refused[route(name)];
        assert_eq!(of("stock-query"), 0.0, "seed {seed}: {refused:?}");
        assert!(of("post-invoice") <= 0.01, "seed {seed}: {refused:?}");
        assert!(of("order-lookup") <= 0.01, "seed {seed}: {refused:?}");
        assert!(
            of("booklist-check") < of("tender-quote"),
            "seed {seed}: {refused:?}"
        );
        let rank_2 = admitted_units(&out, from, ms(30_000), |a| ROUTES[a.route].rank == 2);
        assert!(
            rank_2 >= QUOTA.per_s * 27.0 * 0.09,
            "seed {seed}: {rank_2} units"
        );
    }
}

/// Large requests must not be refused because small ones always find room, nor the other way round.
#[test]
fn sizes_of_a_route() {
    let out: Vec<Outcome> = (0..8)
        .flat_map(|seed| {
            let load = arrivals(EXCESS, ms(60_000), seed);
            play(&mut Ledger::new(SLACK), load, ms(20))
        })
        .collect();
    for (i, r) in ROUTES.iter().enumerate() {
        let all = 1.0 - refused_at_first(&out, ms(0), |a| a.route == i);
        for cost in r.costs {
            let one = 1.0 - refused_at_first(&out, ms(0), |a| a.route == i && a.cost == *cost);
            assert!(one >= all / 2.0, "{} of {cost}: {one} of {all}", r.name);
        }
    }
}

/// Demand within rate, burst and time must not be refused by any rule of the order, also not in the first second
/// of a process that begins to count.
#[test]
fn within_the_quota() {
    for seed in 0..20 {
        let mut level: f64 = SLACK / 2.0;
        let mut last = ms(0);
        let mut load = arrivals(EXCESS, ms(20_000), seed);
        load.retain(|a| {
            let passed = a.at.saturating_sub(last).as_secs_f64();
            let credit = if a.at < ms(1_000) {
                SLACK / 2.0
            } else {
                QUOTA.burst
            };
            level = (level + passed * QUOTA.per_s).min(credit);
            last = a.at;
            let conforms = level >= a.cost;
            if conforms {
                level -= a.cost;
            }
            conforms
        });
        let sum: f64 = load.iter().map(|a| a.cost).sum();
        assert!(sum > QUOTA.per_s * 20.0 * 0.9, "the load is too low: {sum}");
        let out = play(&mut Ledger::new(SLACK), load, ms(0));
        let refused = out.iter().filter(|o| !o.granted()).count();
        assert_eq!(refused, 0, "seed {seed}");
    }
}

/// Requests of lower ranks have spent the quota when requests of the highest rank arrive, which need six tenths
/// of it.
#[test]
fn higher_rank_arrives_late() {
    for seed in 0..10 {
        let mut load = arrivals(3.0 * EXCESS, ms(12_000), seed);
        load.retain(|a| ROUTES[a.route].rank > 0 || a.at > ms(6_000));
        let out = play(&mut Ledger::new(SLACK), load, ms(20));
        let refused = refused_at_first(&out, ms(0), |a| ROUTES[a.route].rank == 0);
        assert_eq!(refused, 0.0, "seed {seed}");
    }
}

/// The outcome must not depend on which of the requests of the same moment arrives first. The tolerance is
/// 0.05 of the requests of a route.
#[test]
fn shuffled_arrivals() {
    for seed in 0..5 {
        let fractions = |shuffle: Option<u64>| -> Vec<f64> {
            let mut load = arrivals(EXCESS, ms(60_000), seed);
            if let Some(s) = shuffle {
                let mut random = StdRng::seed_from_u64(s);
                for moment in load.chunks_mut(20) {
                    let times: Vec<Duration> = moment.iter().map(|a| a.at).collect();
                    for i in (1..moment.len()).rev() {
                        moment.swap(i, random.random_range(0..=i));
                    }
                    for (arrival, at) in moment.iter_mut().zip(times) {
                        (arrival.at, arrival.sent) = (at, at);
                    }
                }
            }
            let out = play(&mut Ledger::new(SLACK), load, ms(20));
            (0..ROUTES.len())
                .map(|r| refused_at_first(&out, ms(0), |a| a.route == r))
                .collect()
        };
        let before = fractions(None);
        for shuffle in 0..4 {
            let after = fractions(Some(shuffle));
            for (a, b) in before.iter().zip(&after) {
                assert!((a - b).abs() <= 0.05, "seed {seed}: {before:?}, {after:?}");
            }
        }
    }
}

/// A token count may be anything that a client writes.
#[test]
fn absurd_costs() {
    for cost in [
        f64::NAN,
        f64::INFINITY,
        -1e300,
        -5.0,
        1e300,
        u64::MAX as f64,
    ] {
        let mut ledger = Ledger::new(SLACK);
        let mut arrival = Arrival {
            at: ms(0),
            client: 0,
            route: 0,
            cost,
            sent: ms(0),
            before: None,
        };
        for n in 0..1_000 {
            arrival.client = n;
            ledger.handle_ordered(&ordered(&arrival, QUOTA), ms(n));
            ledger.refund("acme", cost, ms(n));
        }
        ledger.handle_ordered(&ordered(&arrival, QUOTA), ms(2_000));
        let level = ledger.accounts()[0].bucket.level();
        assert!(
            (-QUOTA.per_s * 40.0..=QUOTA.burst).contains(&level),
            "{cost}: {level}"
        );
        let later = Arrival {
            cost: 1_000.0,
            client: 5_000,
            ..arrival
        };
        let (reply, _) = ledger.handle_ordered(&ordered(&later, QUOTA), ms(60_000));
        assert!(reply.reply.granted, "{cost}: {reply:?}");
    }
}

/// An operator lowers the quota to a tenth and raises it again while it is short.
#[test]
fn quota_changes() {
    let lower = Quota {
        per_s: QUOTA.per_s / 10.0,
        burst: QUOTA.burst / 10.0,
        ..QUOTA
    };
    let mut ledger = Ledger::new(SLACK);
    let mut units = [0.0; 3];
    for arrival in arrivals(EXCESS, ms(30_000), 1) {
        let phase = (arrival.at.as_secs() / 10) as usize;
        let mut request = ordered(&arrival, if phase == 1 { lower } else { QUOTA });
        request.request.version = phase as u64 + 1;
        if arrival.client % 3 == 0 && phase == 1 {
            // An entry that lags states the former quota.
            request.request.version = 1;
            request.request.quota = QUOTA;
        }
        let (reply, _) = ledger.handle_ordered(&request, arrival.at);
        if reply.reply.granted && arrival.at.as_secs() % 10 >= 2 {
            units[phase] += arrival.cost;
        }
    }
    let of = |n: usize| units[n] / (QUOTA.per_s * 8.0);
    assert!(of(0) > 0.9 && of(0) < 1.1, "{units:?}");
    assert!(of(1) > 0.07 && of(1) < 0.12, "{units:?}");
    assert!(of(2) > 0.9 && of(2) < 1.1, "{units:?}");
}

/// A quota in requests has the same order; each request costs one.
#[test]
fn quota_in_requests() {
    let quota = Quota {
        per_s: 20.0,
        burst: 10.0,
        unit: Unit::Requests,
    };
    let mut ledger = Ledger::new(SLACK);
    let (mut runs, mut refused) = (Vec::new(), [0; ROUTES.len()]);
    for arrival in arrivals(EXCESS, ms(30_000), 1) {
        let arrival = Arrival {
            cost: 1.0,
            ..arrival
        };
        let (reply, _) = ledger.handle_ordered(&ordered(&arrival, quota), arrival.at);
        match reply.reply.granted {
            true => runs.push((arrival.at + reply.reply.wait, 1.0)),
            false => refused[arrival.route] += 1,
        }
    }
    assert!(most_of_bound(&runs, quota, 0.0) <= 1.0);
    assert!(runs.len() > 20 * 28, "{} admitted", runs.len());
    assert!(refused[0] < refused[1], "{refused:?}");
}
