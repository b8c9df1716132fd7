//! Cost of looking up a key and of charging a quota, by the number of workspaces: without an order, by the order
//! while no quota is short, and while all are and clients return early. 410 entries are linked.
//!
//!     cargo bench -p stair-fleet --bench workspaces

use std::{
    hint::black_box,
    time::{
        Duration,
        Instant, //
    },
};

use stair_fleet::{
    quota::{
        Ledger,
        OrderedRequest,
        Request, //
    },
    workspace::{
        Declared,
        Quota,
        Unit,
        Workspace,
        Workspaces, //
    },
};
use stair_types::{
    Fingerprint,
    KeyDigest,
    fingerprint::Contents, //
};

const ROUNDS: u32 = 200_000;

const QUOTA: Quota = Quota {
    per_s: 29_000.0,
    burst: 29_000.0,
    unit: Unit::Tokens { plain: 200.0 },
};

fn key(n: u32) -> String {
    format!("key-of-workspace-{n:08}")
}

fn workspaces(count: u32) -> Workspaces {
    let declared = |n: u32| Declared {
        workspace: Workspace {
            name: format!("workspace-{n}").into(),
            rank: None,
            quota: Some(QUOTA),
        },
        keys: vec![KeyDigest::of(key(n).as_bytes())],
    };
    let all: Vec<Declared> = (0..count).map(declared).collect();
    all.try_into().expect("sound")
}

/// Average time of one round, in nanoseconds.
fn each<F>(mut round: F) -> f64
where
    F: FnMut(u32),
{
    let begun = Instant::now();
    (0..ROUNDS).for_each(&mut round);
    begun.elapsed().as_secs_f64() * 1e9 / f64::from(ROUNDS)
}

fn main() {
    println!("workspaces  key ns  allowance ns  order ns  short ns");
    for count in [16, 1_000, 16_000] {
        let workspaces = workspaces(count);
        let keys: Vec<String> = (0..count).map(key).collect();
        let key_ns = each(|n| {
            let key = &keys[(n % count) as usize];
            black_box(workspaces.by_key(&KeyDigest::of(key.as_bytes())));
        });
        let mut ledger = Ledger::default();
        let requests: Vec<Request> = workspaces
            .all()
            .iter()
            .map(|w| Request {
                workspace: w.name.clone(),
                version: 1,
                quota: QUOTA,
                cost: 200.0,
                max_wait: Duration::ZERO,
                admitted: false,
                stand_in: false,
            })
            .collect();
        for request in &requests {
            ledger.handle(request, Duration::ZERO);
        }
        let quota_ns = each(|n| {
            let now = Duration::from_micros(n.into());
            black_box(ledger.handle(&requests[(n % count) as usize], now));
        });
        let within_ns = ordered_ns(&requests, 1.0);
        let short_ns = ordered_ns(&requests, QUOTA.per_s);
        println!("{count:10}  {key_ns:6.0}  {quota_ns:12.0}  {within_ns:8.0}  {short_ns:8.0}");
    }
}

/// Average time of a decision by the order, for requests that cost `cost` each on five routes.
fn ordered_ns(requests: &[Request], cost: f64) -> f64 {
    const CLIENTS: usize = 20_000;
    let fingerprints: Vec<Fingerprint> = (0..CLIENTS)
        .map(|n| {
            let contents = Contents {
                workspace: None,
                method: "POST",
                host: b"desk",
                path: "/",
                body: &n.to_le_bytes(),
            };
            contents.fingerprint()
        })
        .collect();
    let mut ledger = Ledger::new(110_000.0);
    for entry in 0..410 {
        ledger.coverage().observe(entry, 410, &[], Duration::ZERO);
    }
    let mut ordered: Vec<OrderedRequest> = requests
        .iter()
        .map(|request| OrderedRequest {
            request: Request {
                cost,
                ..request.clone()
            },
            rank: 0,
            route: "route-0".into(),
            fingerprint: None,
            objective: Duration::from_millis(300),
            time_left: Duration::from_secs(4),
            passed_over: Vec::new(),
            entries: 410,
        })
        .collect();
    let mut send = |n: usize| {
        let request = &mut ordered[n % requests.len()];
        request.rank = (n % 3) as u8;
        request.fingerprint = Some(fingerprints[n % CLIENTS]);
        let now = Duration::from_micros(n as u64);
        black_box(ledger.handle_ordered(request, now));
    };
    // Each account has its classes, and in the second case its debt, before the time is taken.
    let warm = requests.len() * 3;
    (0..warm).for_each(&mut send);
    each(|n| send(warm + n as usize))
}
