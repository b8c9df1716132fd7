//! What a request's key and allowance cost, by the number of workspaces.
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
        Ledger, //
        Request,
    },
    workspace::{
        Declared,
        Quota,
        Unit,
        Workspace,
        Workspaces, //
    },
};
use stair_types::KeyDigest;

const ROUNDS: u32 = 200_000;

const ALLOWANCE: Quota = Quota {
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
            quota: Some(ALLOWANCE),
        },
        keys: vec![KeyDigest::of(key(n).as_bytes())],
    };
    let all: Vec<Declared> = (0..count).map(declared).collect();
    all.try_into().expect("sound")
}

/// Time of one round, in nanoseconds.
fn each<F>(mut round: F) -> f64
where
    F: FnMut(u32),
{
    let begun = Instant::now();
    (0..ROUNDS).for_each(&mut round);
    begun.elapsed().as_secs_f64() * 1e9 / f64::from(ROUNDS)
}

fn main() {
    println!("workspaces  key ns  allowance ns");
    for count in [16, 1_000, 16_000] {
        let workspaces = workspaces(count);
        let keys: Vec<String> = (0..count).map(key).collect();
        let by_key = each(|n| {
            let key = &keys[(n % count) as usize];
            black_box(workspaces.by_key(&KeyDigest::of(key.as_bytes())));
        });
        let mut ledger = Ledger::default();
        let asks: Vec<Request> = workspaces
            .all()
            .iter()
            .map(|w| Request {
                workspace: w.name.clone(),
                version: 1,
                quota: ALLOWANCE,
                cost: 200.0,
                max_wait: Duration::ZERO,
                admitted: false,
                stand_in: false,
            })
            .collect();
        for request in &asks {
            ledger.handle(request, Duration::ZERO);
        }
        let by_ask = each(|n| {
            let now = Duration::from_micros(n.into());
            black_box(ledger.handle(&asks[(n % count) as usize], now));
        });
        println!("{count:10}  {by_key:6.0}  {by_ask:12.0}");
    }
}
