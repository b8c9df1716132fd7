//! What workspaces are let through of what they may ask for.

use std::time::Duration;

use proptest::{
    collection::vec,
    prelude::*, //
};
use stair_fleet::{
    quota::{
        Bucket,
        Crossing,
        Ledger,
        Request,
        share, //
    },
    workspace::{
        Quota,
        Unit, //
    },
};

const TOKENS: Quota = Quota {
    per_s: 29_000.0,
    burst: 29_000.0,
    unit: Unit::Tokens { plain: 200.0 },
};

/// A draft of the size that readers of long style guides send.
const DRAFT: f64 = 9_240.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn request(version: u64, quota: Quota, cost: f64) -> Request {
    Request {
        workspace: "acme".into(),
        version,
        quota,
        cost,
        max_wait: Duration::ZERO,
        admitted: false,
        stand_in: false,
    }
}

#[test]
fn cost_of_requests() {
    assert_eq!(TOKENS.unit.cost(9_240), 9_240.0);
    assert_eq!(TOKENS.unit.cost(0), 200.0);
    assert_eq!(Unit::Requests.cost(9_240), 1.0);
}

/// Guards against a workspace whose requests cost more than its burst and would never be served.
#[test]
fn larger_than_burst() {
    let small = Quota {
        burst: 100.0,
        ..TOKENS
    };
    let mut bucket = Bucket::new(small, ms(0));
    assert!(bucket.spend(DRAFT, ms(0), ms(0)).granted);
    let later = bucket.spend(DRAFT, ms(0), ms(10));
    assert!(!later.granted);
    assert!(bucket.spend(DRAFT, ms(0), ms(10) + later.wait).granted);
}

/// Guards against clients that are all told the same moment, and come back together.
#[test]
fn returns_are_spread() {
    let mut bucket = Bucket::new(TOKENS, ms(0));
    bucket.spend(DRAFT, ms(0), ms(0));
    let waits: Vec<Duration> = (0..4)
        .map(|_| bucket.spend(DRAFT, ms(0), ms(0)).wait)
        .collect();
    assert!(waits.windows(2).all(|w| w[1] > w[0] + ms(300)), "{waits:?}");
}

#[test]
fn short_waits() {
    let mut bucket = Bucket::new(TOKENS, ms(0));
    bucket.spend(DRAFT, ms(0), ms(0));
    let next = bucket.spend(DRAFT, ms(400), ms(0));
    assert!(next.granted);
    assert!(next.wait > ms(300) && next.wait < ms(400), "{next:?}");
}

/// Guards against what was let through before a process began, or by the one that it stands in for.
#[test]
fn nothing_saved_at_first() {
    let mut ledger = Ledger::default();
    let mut admitted = 0;
    while ledger.handle(&request(1, TOKENS, DRAFT), ms(0)).0.granted {
        admitted += 1;
    }
    assert_eq!(admitted, 1);
    let late = ms(60_000);
    let mut stand_in = request(1, TOKENS, DRAFT);
    stand_in.stand_in = true;
    assert!(ledger.handle(&stand_in, late).0.granted);
    assert!(!ledger.handle(&stand_in, late).0.granted);
}

/// An entry that lags asks with an allowance that is no longer in force.
#[test]
fn versions_only_rise() {
    let mut ledger = Ledger::default();
    let lower = Quota {
        per_s: 1_000.0,
        burst: 1_000.0,
        ..TOKENS
    };
    ledger.handle(&request(2, lower, 500.0), ms(0));
    for n in 0..20 {
        ledger.handle(&request(1, TOKENS, 500.0), ms(n * 100));
    }
    assert!(ledger.accounts()[0].bucket.level() <= 0.0);
    assert_eq!(ledger.accounts()[0].version, 2);
}

#[test]
fn crossings_are_told_once() {
    let mut ledger = Ledger::default();
    let told: Vec<_> = (0..6)
        .filter_map(|_| ledger.handle(&request(1, TOKENS, DRAFT), ms(0)).1)
        .collect();
    assert_eq!(told, [Crossing::Over]);
    let (reply, crossing) = ledger.handle(&request(1, TOKENS, DRAFT), ms(5_000));
    assert!(reply.granted);
    assert_eq!(crossing, Some(Crossing::Under));
}

#[test]
fn given_back() {
    let mut ledger = Ledger::default();
    assert!(ledger.handle(&request(1, TOKENS, DRAFT), ms(0)).0.granted);
    ledger.refund("acme", DRAFT, ms(0));
    assert!(ledger.handle(&request(1, TOKENS, DRAFT), ms(0)).0.granted);
    ledger.refund("nobody", DRAFT, ms(0));
}

/// One second of demand comes to the entries unevenly: most of it to one of them.
fn uneven(entries: u64, n: u64) -> u64 {
    match n % 3 {
        0 => n % entries,
        _ => 0,
    }
}

/// Counts what is let through of half an allowance that comes unevenly to entries, by way of counting.
fn let_through<F>(entries: u64, mut takes: F) -> u32
where
    F: FnMut(u64, Duration) -> bool,
{
    let gap = Duration::from_secs_f64(DRAFT / (TOKENS.per_s * 0.5));
    let mut through = 0;
    for n in 0..100 {
        let now = gap * n;
        through += u32::from(takes(uneven(entries, u64::from(n)), now));
    }
    through
}

/// A workspace asks for half of its allowance, most of it at one of 24 entries. Parts of the entries refuse
/// most of what it has paid for; one that counts for all refuses nothing.
#[test]
fn uneven_demand() {
    let entries = 24;
    let part = share(TOKENS, 24);
    let mut parts: Vec<Bucket> = (0..entries).map(|_| Bucket::new(part, ms(0))).collect();
    let by_parts = let_through(entries, |e, now| {
        parts[e as usize].spend(DRAFT, ms(0), now).granted
    });
    let mut one = Bucket::new(TOKENS, ms(0));
    let by_one = let_through(entries, |_, now| one.spend(DRAFT, ms(0), now).granted);
    assert_eq!(by_one, 100);
    assert!(by_parts < 50, "{by_parts} of 100 by parts");
}

/// What happens to a bucket.
#[derive(Debug, Clone)]
enum Event {
    Spend {
        cost: u32,
        max_wait: u64,
    },
    /// A request that is given back before it is sent.
    Undone {
        cost: u32,
    },
    Pass(u64),
    /// The clock of the process stands still, so that a moment comes again.
    Again,
    Forget,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (1..20_000_u32, 0..500_u64).prop_map(|(cost, max_wait)| Event::Spend { cost, max_wait }),
        (1..20_000_u32).prop_map(|cost| Event::Undone { cost }),
        (1..3_000_u64).prop_map(Event::Pass),
        Just(Event::Again),
        Just(Event::Forget),
    ]
}

proptest! {
    /// No order of events lets more through within any time than the rate, the burst and one request.
    #[test]
    fn bound_holds(events in vec(event(), 1..200)) {
        let mut bucket = Bucket::new(TOKENS, ms(0));
        let mut now = ms(0);
        let mut sent: Vec<(Duration, f64)> = Vec::new();
        for event in events {
            match event {
                Event::Spend { cost, max_wait } => {
                    let cost = f64::from(cost);
                    let reply = bucket.spend(cost, ms(max_wait), now);
                    if reply.granted {
                        sent.push((now + reply.wait, cost));
                    }
                }
                Event::Undone { cost } => {
                    let cost = f64::from(cost);
                    if bucket.spend(cost, ms(0), now).granted {
                        bucket.refund(cost, now);
                    }
                }
                Event::Pass(t) => now += ms(t),
                Event::Again => {
                    bucket.spend(0.0, ms(0), now.saturating_sub(ms(50)));
                }
                Event::Forget => bucket.discard_credit(now),
            }
        }
        let most = 20_000.0;
        for (i, (from, _)) in sent.iter().enumerate() {
            let mut sum = 0.0;
            for (at, cost) in &sent[i..] {
                sum += cost;
                let span = at.saturating_sub(*from).as_secs_f64();
                let bound = TOKENS.per_s * span + TOKENS.burst + most;
                prop_assert!(sum <= bound + 1.0, "{sum} of {bound} in {span} s");
            }
        }
    }
}
