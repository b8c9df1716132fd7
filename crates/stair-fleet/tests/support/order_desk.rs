//! The order desk's load on the quota of one workspace, for tests.

use std::time::Duration;

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
        Request, //
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
pub(crate) const QUOTA: Quota = Quota {
    per_s: 144_456.0,
    burst: 144_456.0,
    unit: Unit::Tokens { plain: 200.0 },
};

pub(crate) const SLACK: f64 = 110_000.0;

/// One sixteenth of the requests of the order desk, which has 16 workspaces.
pub(crate) const WORKSPACES: f64 = 16.0;

/// How many times its usual load the workspace sends.
pub(crate) const EXCESS: f64 = 6.0;

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn fingerprint(n: u64) -> Fingerprint {
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
pub(crate) struct Route {
    pub(crate) name: &'static str,
    pub(crate) rank: u8,
    /// Costs of its requests, which are equally frequent.
    pub(crate) costs: &'static [f64],
    pub(crate) per_s: f64,
    pub(crate) objective: Duration,
    pub(crate) client_timeout: Duration,
}

/// The routes of the order desk, as declared. The costs are the prompts and the responses in tokens.
pub(crate) const ROUTES: [Route; 5] = [
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
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    /// Number of the client.
    pub(crate) client: u64,
    pub(crate) route: usize,
    pub(crate) cost: f64,
    pub(crate) sent: Duration,
    /// Whether it was refused with a reservation, or without one.
    pub(crate) before: Option<bool>,
}

/// What became of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outcome {
    pub(crate) arrival: Arrival,
    pub(crate) reply: OrderedReply,
}

impl Outcome {
    pub(crate) fn granted(&self) -> bool {
        self.reply.reply.granted
    }
}

/// The arrivals of `time` at `excess` times the usual load, by time.
pub(crate) fn arrivals(excess: f64, time: Duration, seed: u64) -> Vec<Arrival> {
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

pub(crate) fn ordered(arrival: &Arrival, quota: Quota) -> OrderedRequest {
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
pub(crate) fn play(
    ledger: &mut Ledger,
    mut arrivals: Vec<Arrival>,
    late: Duration,
) -> Vec<Outcome> {
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
pub(crate) fn refused_at_first(
    out: &[Outcome],
    from: Duration,
    is: impl Fn(&Arrival) -> bool,
) -> f64 {
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
pub(crate) fn admitted_units<F>(out: &[Outcome], from: Duration, until: Duration, is: F) -> f64
where
    F: Fn(&Arrival) -> bool,
{
    let granted = out.iter().filter(|o| o.granted() && is(&o.arrival));
    granted
        .filter(|o| (from..until).contains(&o.arrival.at))
        .map(|o| o.arrival.cost)
        .sum()
}

pub(crate) fn route(name: &str) -> usize {
    ROUTES.iter().position(|r| r.name == name).expect("a route")
}

/// The most units that run within 8 s, as a fraction of what the platform allows.
pub(crate) fn most_of_bound(runs: &[(Duration, f64)], quota: Quota, slack: f64) -> f64 {
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

pub(crate) fn runs(out: &[Outcome]) -> Vec<(Duration, f64)> {
    let granted = out.iter().filter(|o| o.granted());
    granted
        .map(|o| (o.arrival.at + o.reply.reply.wait, o.arrival.cost))
        .collect()
}
