//! Tests of the bound on what runs under a quota, with one process that counts and with several.

mod support;

use std::{
    net::SocketAddr,
    time::Duration, //
};

use proptest::{
    collection::vec,
    prelude::*, //
};
use stair_fleet::{
    quota::{
        Ledger,
        PassedOver, //
    },
    workspace::Quota,
};
use support::order_desk::{
    Arrival,
    EXCESS,
    QUOTA,
    ROUTES,
    SLACK,
    arrivals,
    most_of_bound,
    ms,
    ordered,
    play,
    runs, //
};

/// The bound of the platform holds while one process counts, whatever the excess.
#[test]
fn bound_under_load() {
    for seed in 0..10 {
        for excess in [3.0, EXCESS, 10.0 * EXCESS] {
            let load = arrivals(excess, ms(20_000), seed);
            let out = play(&mut Ledger::new(SLACK), load, ms(0));
            let most = most_of_bound(&runs(&out), QUOTA, SLACK);
            assert!(most <= 1.0, "seed {seed}, {excess}: {most}");
        }
    }
}

/// The counting process is killed twice within 8 s. Its successors know nothing of what it admitted.
#[test]
fn bound_after_restarts() {
    for seed in 0..10 {
        let load = arrivals(10.0 * EXCESS, ms(16_000), seed);
        let mut all = Vec::new();
        for (from, until) in [(0, 5_000), (5_000, 8_000), (8_000, 16_000)] {
            let part = load
                .iter()
                .filter(|a| (ms(from)..ms(until)).contains(&a.at));
            let out = play(&mut Ledger::new(SLACK), part.copied().collect(), ms(0));
            // A client that returns after the end of the process is a new one to the next process.
            all.extend(runs(&out).into_iter().filter(|(at, _)| *at < ms(until)));
        }
        let most = most_of_bound(&all, QUOTA, SLACK);
        assert!(most <= 1.0, "seed {seed}: {most}");
    }
}

/// Sends a load through entries to two agents; `agent` selects the agent of an entry at a time. Returns what
/// runs, and the number of refused requests.
fn play_two<F>(load: &[Arrival], entries: u64, agent: F) -> (Vec<(Duration, f64)>, usize)
where
    F: Fn(u64, Duration) -> usize,
{
    let first: SocketAddr = "10.0.0.1:80".parse().expect("an address");
    let mut agents = [Ledger::new(SLACK), Ledger::new(SLACK)];
    let mut used = vec![0; entries as usize];
    let (mut runs, mut refused) = (Vec::new(), 0);
    for entry in 0..entries {
        for agent in &mut agents {
            agent.coverage().state(entry, PassedOver::default());
        }
    }
    for arrival in load {
        let entry = arrival.client % entries;
        let own = agent(entry, arrival.at);
        let mut request = ordered(arrival, QUOTA);
        request.entries = entries as u32;
        request.request.stand_in = own == 1;
        if own == 1 {
            request.passed_over.push(first);
        }
        if std::mem::replace(&mut used[entry as usize], own) != own {
            let passed = |receiver, other: bool| PassedOver {
                receiver,
                engines: if other { vec![first] } else { Vec::new() },
            };
            agents[0].coverage().state(entry, passed(own == 1, false));
            agents[1].coverage().state(entry, passed(false, own == 1));
        }
        let coverage = agents[own].coverage();
        coverage.observe(entry, entries as u32, &request.passed_over, arrival.at);
        let (reply, _) = agents[own].handle_ordered(&request, arrival.at);
        match reply.reply.granted {
            true => runs.push((arrival.at + reply.reply.wait, arrival.cost)),
            false => refused += 1,
        }
    }
    (runs, refused)
}

/// A part of the entries cannot reach the agent that counts and use the next one, for long. Each of two agents
/// with the whole rate would admit twice the quota.
#[test]
fn bound_while_two_agents_count() {
    for cut in [1, 7, 14, 21, 27] {
        for seed in 0..3 {
            let load = arrivals(10.0 * EXCESS, ms(30_000), seed);
            let (runs, _) = play_two(&load, 28, |entry, at| {
                usize::from(entry < cut && at > ms(8_000) && at < ms(24_000))
            });
            let most = most_of_bound(&runs, QUOTA, SLACK);
            assert!(most <= 1.0, "{cut} entries cut off, seed {seed}: {most}");
        }
    }
}

/// All entries pass over the agent that counts, each when its next request is not answered. The agent that counts
/// instead does not know how many of them will, so it has a part of the rate for a second. It must not refuse 1.5
/// times the usual load of the workspace, four tenths of its quota, nor may the first one after its return.
#[test]
fn next_agent_refuses_nothing() {
    for seed in 0..20 {
        let load = arrivals(1.5, ms(20_000), seed);
        let (_, refused) = play_two(&load, 28, |_, at| {
            usize::from(at > ms(8_000) && at < ms(14_000))
        });
        assert_eq!(refused, 0, "seed {seed}");
    }
}

/// An event at the process that counts.
#[derive(Debug, Clone)]
enum Event {
    Send {
        route: usize,
        client: u64,
        cost: u32,
        admitted: bool,
    },
    /// A request that is refunded before it is sent.
    Refund {
        cost: u32,
    },
    Pass(u64),
    /// A moment of the process's clock is repeated.
    ClockStops,
}

fn event() -> impl Strategy<Value = Event> {
    let send = (
        0..ROUTES.len(),
        0..50_u64,
        1..20_000_u32,
        prop::bool::weighted(0.02),
    );
    prop_oneof![
        8 => send.prop_map(|(route, client, cost, admitted)| Event::Send {
            route,
            client,
            cost: if admitted { cost / 8 } else { cost },
            admitted,
        }),
        1 => (1..20_000_u32).prop_map(|cost| Event::Refund { cost }),
        3 => (1..600_u64).prop_map(Event::Pass),
        1 => Just(Event::ClockStops),
    ]
}

proptest! {
    /// Whatever the order of events, the requests that run within 8 s are within the bound of the platform.
    #[test]
    fn bound_holds(events in vec(event(), 1..400)) {
        let quota = Quota { per_s: 29_000.0, burst: 29_000.0, ..QUOTA };
        let mut ledger = Ledger::new(SLACK);
        let mut now = ms(0);
        let mut runs: Vec<(Duration, f64)> = Vec::new();
        let send = |ledger: &mut Ledger, route, client, cost: u32, admitted, now| {
            let arrival = Arrival {
                at: now, client, route, cost: f64::from(cost), sent: now, before: None,
            };
            let mut request = ordered(&arrival, quota);
            request.request.admitted = admitted;
            let (reply, _) = ledger.handle_ordered(&request, now);
            reply.reply.granted.then_some((now + reply.reply.wait, arrival.cost))
        };
        for event in events {
            match event {
                Event::Send { route, client, cost, admitted } => {
                    runs.extend(send(&mut ledger, route, client, cost, admitted, now));
                }
                Event::Refund { cost } => {
                    if send(&mut ledger, 0, 99, cost, false, now).is_some() {
                        ledger.refund("acme", f64::from(cost), now);
                    }
                }
                Event::Pass(t) => now += ms(t),
                Event::ClockStops => {
                    let before = now.saturating_sub(ms(50));
                    runs.extend(send(&mut ledger, 1, 98, 10, false, before));
                }
            }
        }
        let most = most_of_bound(&runs, quota, SLACK);
        prop_assert!(most <= 1.0, "{most}");
        // The slack is for the start and for two processes that count at once.
        let later: Vec<_> = runs.iter().copied().filter(|(at, _)| *at > ms(9_000)).collect();
        let most = most_of_bound(&later, quota, 20_000.0);
        prop_assert!(most <= 1.0, "{most} without the slack");
    }
}
