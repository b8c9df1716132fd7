//! Two ways to share a limit among entries, under the same load: counted by one process, or in equal
//! shares.

use std::time::Duration;

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use stair_fleet::rate_limit::{
    CachedLimit,
    Ledger,
    Limiter,
    Rate,
    Reply,
    ToLedger,
    ToSender,
    share, //
};

const DURATION_MS: u64 = 30_000;

/// The longest wait of a request.
const MAX_WAIT_MS: u64 = 600;

const WINDOW_MS: u64 = 4000;

/// Entries and limit, with the demand as a multiple of the limit.
#[derive(Debug, Clone, Copy)]
struct Load {
    entries: u32,
    per_s: f64,
    demand: f64,
}

/// One request: its time and its entry. Half of all requests come from a tenth of the entries.
fn arrivals(load: Load, seed: u64) -> Vec<(u64, u32)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let per_s = (load.per_s * load.demand).max(1.0);
    let busy = (load.entries / 10).max(1);
    let mut out = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / per_s * 1000.0;
        if at as u64 >= DURATION_MS {
            return out;
        }
        let entry = match rng.random::<bool>() {
            true => rng.random_range(0..busy),
            false => rng.random_range(0..load.entries),
        };
        out.push((at as u64, entry));
    }
}

fn rate(per_s: f64) -> Rate {
    Rate::try_from(per_s).expect("a rate")
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Times at which requests are sent when one process counts for all entries.
fn counted(load: Load, arrivals: &[(u64, u32)]) -> Vec<u64> {
    let mut ledger = Ledger::new(1);
    let known = CachedLimit {
        rate: rate(load.per_s),
        epoch: None,
    };
    ledger.adopt("t", &known, ms(0));
    let mut sent = Vec::new();
    let mut next = arrivals.iter().enumerate().peekable();
    for now in 0..DURATION_MS {
        let mut replies = ledger.settle(ms(now));
        while let Some((seq, (_, entry))) = next.next_if(|(_, (at, _))| *at <= now) {
            let msg = ToLedger::Request {
                seq: seq as u64,
                target: "t".into(),
                rank: 0,
                max_wait: ms(MAX_WAIT_MS),
                known,
                stand_in: false,
            };
            replies.extend(ledger.receive(u64::from(*entry), msg, ms(now)).replies);
        }
        let granted = |msg: &ToSender| {
            matches!(
                msg,
                ToSender::Reply {
                    reply: Reply {
                        granted: Some(_),
                        ..
                    },
                    ..
                }
            )
        };
        sent.extend(replies.iter().filter(|r| granted(&r.msg)).map(|_| now));
    }
    sent
}

/// The same with an equal share for each entry.
fn shared(load: Load, arrivals: &[(u64, u32)]) -> Vec<u64> {
    let own = share(rate(load.per_s), load.entries);
    let mut limiters: Vec<Limiter> = (0..load.entries)
        .map(|_| {
            let mut limiter = Limiter::new("t", 1, ms(0));
            limiter.set_share(own, ms(0));
            limiter
        })
        .collect();
    let mut sent = Vec::new();
    for (at, entry) in arrivals {
        let limiter = &mut limiters[*entry as usize];
        let mut now = *at;
        loop {
            let reply = limiter.request_now(ms(now));
            if reply.granted.is_some() {
                sent.push(now);
                break;
            }
            let back = now + reply.next.as_millis() as u64 + 1;
            if back > at + MAX_WAIT_MS {
                break;
            }
            now = back;
        }
    }
    sent.sort_unstable();
    sent
}

/// The most requests in [`WINDOW_MS`].
fn most(sent: &[u64]) -> usize {
    let windows = sent.iter().enumerate();
    let counts = windows.map(|(i, t)| sent[i..].partition_point(|u| *u < t + WINDOW_MS));
    counts.max().unwrap_or(0)
}

// The way that is kept sends more than the rule allows, or less than the limit does.
#[test]
fn counted_and_shared() {
    for entries in [5, 28, 410] {
        for per_s in [0.5, 1.0, 5.0, 50.0, 300.0] {
            for demand in [1.0, 3.0] {
                let load = Load {
                    entries,
                    per_s,
                    demand,
                };
                let (mut one, mut equal, mut possible) = (0, 0, 0.0);
                let (mut most_one, mut most_equal) = (0, 0);
                for seed in 1..=3 {
                    let arrivals = arrivals(load, seed);
                    let by_one = counted(load, &arrivals);
                    let by_share = shared(load, &arrivals);
                    one += by_one.len();
                    equal += by_share.len();
                    possible +=
                        f64::min(arrivals.len() as f64, per_s * DURATION_MS as f64 / 1000.0);
                    most_one = most_one.max(most(&by_one));
                    most_equal = most_equal.max(most(&by_share));
                }
                println!(
                    "{load:?}: counted {one} (most {most_one}), shared {equal} (most {most_equal}), \
                     of {possible}"
                );
                let allowed = 1.5 * per_s * 4.0 + 5.0;
                assert!(most_one as f64 <= allowed, "{load:?}: {most_one}");
                // Equal shares have a burst each.
                let least = f64::min(equal as f64, possible) * 0.99;
                assert!(one as f64 >= least, "{load:?}: {one} and {equal}");
                if demand > 1.0 {
                    assert!(
                        one as f64 >= 0.8 * possible,
                        "{load:?}: {one} of {possible}"
                    );
                }
            }
        }
    }
}
