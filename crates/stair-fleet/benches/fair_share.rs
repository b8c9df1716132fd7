//! Cost of a decision about a prefill slot, beside that of the schedule alone.
//!
//!     cargo bench -p stair-fleet --bench fair_share -- 10 1000 3000
//!
//! Each number of callers is played with prompts that come 5 ms apart, so that the sums over all
//! callers, which are computed every 250 ms, are part of the average. Half of the prompts find no
//! slot and wait; the table of turns is full.

use std::{
    hint::black_box,
    time::{
        Duration,
        Instant, //
    },
};

use stair_fleet::{
    fair_share::{
        Ask,
        Caller,
        FairShares, //
    },
    prefill::{
        PrefixBlock,
        Request,
        Schedule, //
    },
};

const ROUNDS: u64 = 100_000;
const MEMORY: u64 = 250_000;
/// Prompts of ten seconds.
const BATCH: usize = 2000;
const INTERVAL: Duration = Duration::from_millis(5);

fn request(n: u64, waits: bool) -> Request {
    Request {
        model: "m".into(),
        blocks: vec![PrefixBlock {
            chain: n % 64,
            tokens: 200,
        }],
        tokens: 200,
        max_wait: match waits {
            true => Duration::ZERO,
            false => Duration::from_millis(400),
        },
        urgent_max_wait: None,
        pause: Some(Duration::from_millis(500)),
        first: true,
    }
}

fn caller(n: u64, callers: u64) -> Caller {
    Caller {
        // Spread over the table.
        name: format!("workspace/{:x}", (n * 7919) % callers).into(),
        rank: 0,
        prompt: n,
        time_left: Duration::from_secs(3),
    }
}

/// Average time of one round in nanoseconds, in the median of batches of ten seconds of prompts: other
/// processes of the machine disturb some batches.
fn each<F>(prompts: &[(Request, Caller)], mut round: F) -> f64
where
    F: FnMut(u64, &Request, &Caller),
{
    let mut n = 0;
    let mut batches: Vec<f64> = Vec::new();
    for batch in prompts.chunks(BATCH) {
        let begun = Instant::now();
        for (request, caller) in batch {
            round(n, request, caller);
            n += 1;
        }
        batches.push(begun.elapsed().as_secs_f64() * 1e9 / batch.len() as f64);
    }
    batches.sort_by(f64::total_cmp);
    batches[batches.len() / 2]
}

fn main() {
    let counts = std::env::args().skip(1).filter_map(|a| a.parse().ok());
    let mut counts: Vec<u64> = counts.collect();
    if counts.is_empty() {
        counts = vec![10, 1000, 3000];
    }
    for callers in counts {
        for short in [false, true] {
            let prompts: Vec<_> = (0..ROUNDS)
                .map(|n| (request(n, short && n % 2 == 0), caller(n, callers)))
                .collect();
            let mut alone = Schedule::default();
            let before = each(&prompts, |n, request, _| {
                let now = INTERVAL * u32::try_from(n).unwrap_or(u32::MAX);
                black_box(alone.reserve(request, MEMORY, now));
            });
            let (mut shares, mut prefills) = (FairShares::default(), Schedule::default());
            let (mut most_waiting, mut most_callers) = (0, 0);
            let after = each(&prompts, |n, request, caller| {
                let now = INTERVAL * u32::try_from(n).unwrap_or(u32::MAX);
                let ask = Ask {
                    link: 1,
                    caller: Some(caller),
                    request,
                };
                black_box(shares.reserve(&mut prefills, &ask, MEMORY, now));
                most_waiting = most_waiting.max(shares.waiting());
                most_callers = most_callers.max(shares.callers());
            });
            println!(
                "{callers} callers, slots {}: {after:.0} ns, alone {before:.0} ns; \
                 up to {most_callers} callers and {most_waiting} turns",
                if short { "short" } else { "free" },
            );
        }
    }
}
