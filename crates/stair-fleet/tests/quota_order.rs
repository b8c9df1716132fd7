//! Tests of the order among the requests of a workspace whose quota is short, under load.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use proptest::{
    collection::vec,
    prelude::*, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use stair_fleet::{
    quota::{
        Ledger,
        OrderedReply,
        OrderedRequest,
        PassedOver,
        Request,
        Rule, //
    },
    workspace::{
        Quota,
        Unit, //
    },
};
use stair_types::{
    Fingerprint,
    fingerprint::Contents, //
};

/// The quota of the workspace of the order desk that sends six times its usual load.
const QUOTA: Quota = Quota {
    per_s: 144_456.0,
    burst: 144_456.0,
    unit: Unit::Tokens { plain: 200.0 },
};

const SLACK: f64 = 110_000.0;

/// One sixteenth of the requests of the order desk, which has 16 workspaces.
const WORKSPACES: f64 = 16.0;

/// How many times its usual load the workspace sends.
const EXCESS: f64 = 6.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn fingerprint(n: u64) -> Fingerprint {
    let contents = Contents {
        workspace: Some("acme"),
        method: "POST",
        host: b"desk",
        path: "/",
        body: &n.to_le_bytes(),
    };
    contents.fingerprint()
}

#[derive(Debug, Clone, Copy)]
struct Route {
    name: &'static str,
    rank: u8,
    /// Costs of its requests, which are equally frequent.
    costs: &'static [f64],
    per_s: f64,
    objective: Duration,
    client_timeout: Duration,
}

/// The routes of the order desk, as declared. The costs are the prompts and the responses in tokens.
const ROUTES: [Route; 5] = [
    Route {
        name: "stock-query",
        rank: 0,
        costs: &[1_000.0, 1_114.0, 3_000.0],
        per_s: 47.0,
        objective: Duration::from_millis(500),
        client_timeout: Duration::from_secs(12),
    },
    Route {
        name: "booklist-check",
        rank: 1,
        costs: &[3_000.0, 9_246.0, 14_000.0],
        per_s: 34.2,
        objective: Duration::from_millis(800),
        client_timeout: Duration::from_secs(4),
    },
    Route {
        name: "tender-quote",
        rank: 2,
        costs: &[3_000.0, 9_246.0, 14_000.0],
        per_s: 25.5,
        objective: Duration::from_secs(4),
        client_timeout: Duration::from_secs(13),
    },
    Route {
        name: "post-invoice",
        rank: 2,
        costs: &[200.0],
        per_s: 37.3,
        objective: Duration::from_millis(300),
        client_timeout: Duration::from_secs(4),
    },
    Route {
        name: "order-lookup",
        rank: 2,
        costs: &[200.0],
        per_s: 8.61,
        objective: Duration::from_millis(300),
        client_timeout: Duration::from_secs(4),
    },
];

/// A request of a client, first or repeated.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Duration,
    /// Number of the client.
    client: u64,
    route: usize,
    cost: f64,
    sent: Duration,
    /// Whether it was refused with a reservation, or without one.
    before: Option<bool>,
}

/// What became of a request.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    arrival: Arrival,
    reply: OrderedReply,
}

impl Outcome {
    fn granted(&self) -> bool {
        self.reply.reply.granted
    }
}

/// The arrivals of `time` at `excess` times the usual load, by time.
fn arrivals(excess: f64, time: Duration, seed: u64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut all = Vec::new();
    for (route, r) in ROUTES.iter().enumerate() {
        let per_s = r.per_s / WORKSPACES * excess;
        let mut at = 0.0;
        loop {
            at += -(1.0 - random.random::<f64>()).ln() / per_s;
            if at >= time.as_secs_f64() {
                break;
            }
            let at = Duration::from_secs_f64(at);
            let cost = r.costs[random.random_range(0..r.costs.len())];
            all.push(Arrival {
                at,
                client: 0,
                route,
                cost,
                sent: at,
                before: None,
            });
        }
    }
    all.sort_by_key(|a| a.at);
    for (n, arrival) in all.iter_mut().enumerate() {
        arrival.client = n as u64;
    }
    all
}

fn ordered(arrival: &Arrival, quota: Quota) -> OrderedRequest {
    let route = ROUTES[arrival.route];
    let passed = arrival.at.saturating_sub(arrival.sent);
    OrderedRequest {
        request: Request {
            workspace: "acme".into(),
            version: 1,
            quota,
            cost: arrival.cost,
            max_wait: route.objective / 4,
            admitted: false,
            stand_in: false,
        },
        rank: route.rank,
        route: route.name.into(),
        fingerprint: Some(fingerprint(arrival.client)),
        objective: route.objective,
        time_left: route.client_timeout.saturating_sub(passed),
        passed_over: Vec::new(),
        entries: 1,
    }
}

/// Sends the arrivals; each client that is refused returns once, `late` after the time that it is told, if it
/// still waits then.
fn play(ledger: &mut Ledger, mut arrivals: Vec<Arrival>, late: Duration) -> Vec<Outcome> {
    arrivals.sort_by_key(|a| std::cmp::Reverse(a.at));
    let mut out = Vec::new();
    while let Some(arrival) = arrivals.pop() {
        let (reply, _) = ledger.handle_ordered(&ordered(&arrival, QUOTA), arrival.at);
        out.push(Outcome { arrival, reply });
        let timeout = ROUTES[arrival.route].client_timeout;
        let at = arrival.at + reply.reply.wait + late;
        if let Some(refused) = reply.refused
            && arrival.before.is_none()
            && at < arrival.sent + timeout
        {
            let again = Arrival {
                at,
                before: Some(refused.reserved),
                ..arrival
            };
            let i = arrivals.partition_point(|a| a.at >= at);
            arrivals.insert(i, again);
        }
    }
    out
}

/// Fraction of the requests of a route that were refused when they were first sent, from `from` on.
fn refused_at_first(out: &[Outcome], from: Duration, is: impl Fn(&Arrival) -> bool) -> f64 {
    let first = out
        .iter()
        .filter(|o| o.arrival.before.is_none() && o.arrival.at >= from && is(&o.arrival));
    let (mut all, mut refused) = (0_u32, 0_u32);
    for o in first {
        all += 1;
        refused += u32::from(!o.granted());
    }
    f64::from(refused) / f64::from(all.max(1))
}

/// Units admitted of the requests that `is` selects and that arrive from `from` to `until`.
fn admitted_units<F>(out: &[Outcome], from: Duration, until: Duration, is: F) -> f64
where
    F: Fn(&Arrival) -> bool,
{
    let granted = out.iter().filter(|o| o.granted() && is(&o.arrival));
    granted
        .filter(|o| (from..until).contains(&o.arrival.at))
        .map(|o| o.arrival.cost)
        .sum()
}

fn route(name: &str) -> usize {
    ROUTES.iter().position(|r| r.name == name).expect("a route")
}

/// The most units that run within 8 s, as a fraction of what the platform allows.
fn most_of_bound(runs: &[(Duration, f64)], quota: Quota, slack: f64) -> f64 {
    let mut runs = runs.to_vec();
    runs.sort_by_key(|(at, _)| *at);
    let bound = (quota.per_s * 8.0 + quota.burst) * 1.1 + slack;
    let (mut most, mut sum, mut first) = (0.0_f64, 0.0, 0);
    for i in 0..runs.len() {
        sum += runs[i].1;
        while runs[first].0 + ms(8_000) < runs[i].0 {
            sum -= runs[first].1;
            first += 1;
        }
        most = most.max(sum);
    }
    most / bound
}

fn runs(out: &[Outcome]) -> Vec<(Duration, f64)> {
    let granted = out.iter().filter(|o| o.granted());
    granted
        .map(|o| (o.arrival.at + o.reply.reply.wait, o.arrival.cost))
        .collect()
}

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
