//! Tests of the reservations of clients that a short quota refused, under load.

mod support;

use std::time::Duration;

use stair_fleet::quota::{
    Ledger,
    Rule, //
};
use support::order_desk::{
    Arrival,
    EXCESS,
    Outcome,
    QUOTA,
    ROUTES,
    SLACK,
    arrivals,
    ms,
    ordered,
    play, //
};

/// A refused client must not be refused again when it returns as told, whatever else arrives meanwhile.
#[test]
fn who_returns_as_told_is_served() {
    let mut reserved = 0;
    for seed in 0..10 {
        for late in [0, 20, 150, 400] {
            for excess in [3.0, EXCESS, 4.0 * EXCESS] {
                let load = arrivals(excess, ms(20_000), seed);
                let out = play(&mut Ledger::new(SLACK), load, ms(late));
                let back = out.iter().filter(|o| o.arrival.before == Some(true));
                let (served, refused): (Vec<&Outcome>, Vec<&Outcome>) =
                    back.partition(|o| o.granted());
                reserved += served.len();
                let first = refused.first();
                assert!(
                    first.is_none(),
                    "seed {seed}, {late} ms, {excess}: {first:?}"
                );
            }
        }
    }
    assert!(reserved > 1_000, "{reserved} reservations");
}

/// Clients with less time left get no reservation, and those with more are served in the order of their refusals.
#[test]
fn returns_are_in_order() {
    let load = arrivals(EXCESS, ms(20_000), 3);
    let out = play(&mut Ledger::new(SLACK), load, ms(0));
    for (i, r) in ROUTES.iter().enumerate() {
        let reserved = out.iter().filter(|o| {
            o.arrival.route == i && o.reply.refused.is_some_and(|r| r.reserved && !r.again)
        });
        let back: Vec<Duration> = reserved
            .map(|o| o.arrival.at + o.reply.reply.wait)
            .collect();
        assert!(back.is_sorted(), "{}: {back:?}", r.name);
    }
    for o in &out {
        let (Some(refused), a) = (o.reply.refused, o.arrival) else {
            continue;
        };
        let timeout = ROUTES[a.route].client_timeout;
        let in_time = a.at + o.reply.reply.wait < a.sent + timeout;
        assert!(!refused.reserved || in_time, "{o:?}");
    }
}

/// A client that returns before its time gains nothing: it is told the rest of the time, and keeps its place.
#[test]
fn early_returns() {
    let mut ledger = Ledger::new(SLACK);
    let load = arrivals(EXCESS, ms(10_000), 1);
    let mut early: Option<(Arrival, Duration)> = None;
    let mut tries = 0;
    for arrival in load {
        if let Some((client, at)) = early {
            let again = Arrival {
                at: arrival.at,
                ..client
            };
            let (reply, _) = ledger.handle_ordered(&ordered(&again, QUOTA), again.at);
            // Shortly before its time it is admitted with a wait until then.
            if !reply.reply.granted {
                assert_eq!(reply.refused.expect("refused").rule, Rule::Early);
                assert!(again.at + ms(50) < at, "{reply:?}");
                tries += 1;
            } else {
                early = None;
            }
            assert!(again.at + reply.reply.wait >= at);
        }
        let (reply, _) = ledger.handle_ordered(&ordered(&arrival, QUOTA), arrival.at);
        let reserved = reply.refused.is_some_and(|r| r.reserved);
        if reserved && early.is_none() && reply.reply.wait > ms(500) {
            early = Some((arrival, arrival.at + reply.reply.wait));
        }
    }
    assert!(tries > 50, "{tries} early returns");
}

/// Reservations that nobody claims must not leave a part of the quota unused.
#[test]
fn nobody_returns() {
    for seed in 0..5 {
        let mut ledger = Ledger::new(SLACK);
        let mut used = 0.0;
        for arrival in arrivals(EXCESS, ms(20_000), seed) {
            let (reply, _) = ledger.handle_ordered(&ordered(&arrival, QUOTA), arrival.at);
            if reply.reply.granted && arrival.at >= ms(4_000) {
                used += arrival.cost;
            }
        }
        let fraction = used / (QUOTA.per_s * 16.0);
        assert!(fraction > 0.95, "seed {seed}: {fraction} of the quota");
    }
}

/// Each of many clients is refused and none returns: the table is bounded, and so are the classes.
#[test]
fn bounded_tables() {
    let mut ledger = Ledger::new(SLACK);
    let arrival = Arrival {
        at: ms(0),
        client: 0,
        route: 2,
        cost: 0.1,
        sent: ms(0),
        before: None,
    };
    let large = Arrival {
        cost: QUOTA.burst * 4.0,
        ..arrival
    };
    ledger.handle_ordered(&ordered(&large, QUOTA), ms(0));
    for client in 1..20_000 {
        let mut request = ordered(&Arrival { client, ..arrival }, QUOTA);
        request.route = format!("route-{}", client % 500).into();
        ledger.handle_ordered(&request, ms(client / 100));
    }
    let order = ledger.accounts()[0].order.as_ref().expect("an order");
    assert!(
        order.reserved() > 0 && order.reserved() <= 1024,
        "{}",
        order.reserved()
    );
    assert!(order.classes().len() <= 32);
}
