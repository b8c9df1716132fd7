//! Cost of the causes of crashes: to a request with 8 parts, and to the agent that judges a crash.
//!
//!     cargo bench -p stair-fleet --bench causes -- 5 25 100 410

use std::{
    hint::black_box,
    time::{
        Duration,
        Instant, //
    },
};

use stair_fleet::quarantine::{
    Crash,
    Ledger,
    Notice,
    Parts,
    SETTLE_DELAY,
    Standing,
    Survivals,
    ToWatchlist,
    Watchlist,
    interrupted, //
};
use stair_types::{
    Fingerprint,
    fingerprint::{
        Contents,
        Scope, //
    },
};

const ROUNDS: u32 = 200_000;

/// Shared parts of a request with 8 parts.
const PARTS: u64 = 7;

/// Requests on a target that crashes.
const RUNS: u64 = 64;

/// Crashes that a ledger remembers at most.
const CRASHES: u64 = 512;

/// Average time of one round, in nanoseconds.
fn each<F>(rounds: u32, mut round: F) -> f64
where
    F: FnMut(u32),
{
    let begun = Instant::now();
    (0..rounds).for_each(&mut round);
    begun.elapsed().as_secs_f64() * 1e9 / f64::from(rounds)
}

fn request(n: u64) -> Fingerprint {
    let contents = Contents {
        workspace: Some("w"),
        method: "POST",
        host: b"words.example",
        path: &format!("/{n}"),
        body: b"",
    };
    contents.fingerprint()
}

fn parts(n: u64) -> Parts {
    Parts::new(Some("w"), (0..PARTS).map(|p| n * PARTS + p))
}

fn watchlist(len: u64) -> Watchlist {
    let mut watchlist = Watchlist::default();
    for n in 0..len {
        let notice = Notice {
            fingerprint: Fingerprint::of_part(Scope::All, 1_000_000 + n),
            standing: Standing::Suspect,
        };
        watchlist.apply(&notice, Duration::ZERO);
    }
    watchlist
}

fn crash(n: u64) -> Crash {
    let runs = (0..RUNS).flat_map(|r| {
        let id = n * RUNS + r;
        interrupted(request(id), &parts(id), false, &[])
    });
    Crash {
        incarnation: format!("i-{n}").into(),
        runs: runs.collect(),
    }
}

fn main() {
    let empty = Watchlist::default();
    let mut survivals = Survivals::default();
    let now = Duration::from_secs(1);
    let idle = each(ROUNDS, |n| {
        black_box(empty.is_empty());
        if survivals.take_turn(now) {
            survivals.record(parts(n.into()).as_slice(), now);
        }
    });
    println!("a request while nothing is suspect: {idle:.0} ns");
    survivals.activate(now);
    let active = each(ROUNDS, |n| {
        if survivals.take_turn(now) {
            survivals.record(parts(n.into()).as_slice(), now);
        }
    });
    println!("its survival, after a crash: {active:.0} ns");
    for len in [1, 1000] {
        let watchlist = watchlist(len);
        let assessed = each(ROUNDS, |n| {
            let parts = parts(n.into());
            black_box(watchlist.assess(None, &parts, now));
        });
        println!("a request while {len} parts are suspect: {assessed:.0} ns");
    }
    for known in [0, CRASHES - 1] {
        let mut ledger = Ledger::default();
        for n in 0..known {
            ledger.report(&crash(n), now);
            ledger.settle(now + SETTLE_DELAY);
        }
        let last = crash(CRASHES);
        let judged = each(1, |_| {
            ledger.report(&last, now);
            black_box(ledger.settle(now + SETTLE_DELAY));
        });
        println!(
            "a crash under {RUNS} requests, after {known} others: {:.2} ms",
            judged / 1e6
        );
    }
    let notices = vec![
        Notice {
            fingerprint: Fingerprint::of_part(Scope::All, 1),
            standing: Standing::Quarantined(Duration::from_secs(60)),
        };
        2
    ];
    let msg = postcard::to_stdvec(&ToWatchlist::Known(notices)).expect("it encodes");
    let counts = std::env::args().skip(1).filter_map(|a| a.parse().ok());
    for entries in counts.collect::<Vec<usize>>() {
        let bytes = msg.len() * entries;
        println!("a verdict on one part, an agent to {entries} entries: {bytes} bytes");
    }
}
