//! Tests of the quotas of workspaces.

use std::time::Duration;

use proptest::{
    collection::vec,
    prelude::*, //
};
use stair_fleet::{
    msg::{
        Features,
        ToAgent,
        ToEntry, //
    },
    quota::{
        Bucket,
        Crossing,
        Ledger,
        PassedOver,
        Reply,
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

/// Cost of a request with a long prompt.
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

/// A request that costs more than the burst must be served eventually.
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

/// Refused clients must not all return at the same moment.
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

/// Requests admitted before a process started, or by the process that it replaces, are unknown. A
/// new bucket must not have credit for that time.
#[test]
fn no_credit_at_first() {
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

/// An entry that lags sends a quota that is no longer in force.
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
fn crossings_are_reported_once() {
    let mut ledger = Ledger::default();
    let reported: Vec<_> = (0..6)
        .filter_map(|_| ledger.handle(&request(1, TOKENS, DRAFT), ms(0)).1)
        .collect();
    assert_eq!(reported, [Crossing::Over]);
    let (reply, crossing) = ledger.handle(&request(1, TOKENS, DRAFT), ms(5_000));
    assert!(reply.granted);
    assert_eq!(crossing, Some(Crossing::Under));
}

#[test]
fn refund_of_cost() {
    let mut ledger = Ledger::default();
    assert!(ledger.handle(&request(1, TOKENS, DRAFT), ms(0)).0.granted);
    ledger.refund("acme", DRAFT, ms(0));
    assert!(ledger.handle(&request(1, TOKENS, DRAFT), ms(0)).0.granted);
    ledger.refund("nobody", DRAFT, ms(0));
}

/// Processes of the release before read the messages by the number of the variant and the order of the fields. The
/// numbers, and a whole frame, are those of that release; the new variants come after its last ones.
#[test]
fn messages_of_the_release_before() {
    let encode = |msg: &ToAgent| postcard::to_stdvec(msg).expect("encoded");
    let charge = ToAgent::QuotaRequest {
        seq: 3,
        request: request(1, TOKENS, 2.0),
    };
    let mut expected = vec![10, 3, 4];
    expected.extend(b"acme");
    expected.push(1);
    expected.extend(29_000.0_f64.to_le_bytes());
    expected.extend(29_000.0_f64.to_le_bytes());
    expected.push(1);
    expected.extend(200.0_f64.to_le_bytes());
    expected.extend(2.0_f64.to_le_bytes());
    expected.extend([0, 0, 0, 0]);
    assert_eq!(encode(&charge), expected);
    let refund = ToAgent::QuotaRefund {
        workspace: "acme".into(),
        cost: 1.0,
    };
    assert_eq!(encode(&refund)[0], 11);
    assert_eq!(encode(&ToAgent::PassedOver(PassedOver::default()))[0], 17);
    let reply = ToEntry::QuotaReply {
        seq: 3,
        reply: Reply {
            granted: true,
            wait: ms(0),
        },
    };
    let reply = postcard::to_stdvec(&reply).expect("encoded");
    assert_eq!(reply, [4, 3, 1, 0, 0]);
    // The fields that such an agent does not send are read as zeros.
    let before: Features = postcard::from_bytes(&[1, 1, 0, 0, 0]).expect("decoded");
    assert!(before.origins && before.causes && !before.quota_order);
}

/// Distributes requests unevenly over entries: two of three go to the first one.
fn uneven(entries: u64, n: u64) -> u64 {
    match n % 3 {
        0 => n % entries,
        _ => 0,
    }
}

/// Counts the admitted requests of 100 that use half of a quota, distributed unevenly over entries.
fn count_admitted<F>(entries: u64, mut admits: F) -> u32
where
    F: FnMut(u64, Duration) -> bool,
{
    let gap = Duration::from_secs_f64(DRAFT / (TOKENS.per_s * 0.5));
    let mut admitted = 0;
    for n in 0..100 {
        let now = gap * n;
        admitted += u32::from(admits(uneven(entries, u64::from(n)), now));
    }
    admitted
}

/// A workspace uses half of its quota, most of it at one of 24 entries. Equal shares of the entries
/// refuse most of its requests; one bucket for all entries must refuse none.
#[test]
fn uneven_demand() {
    let entries = 24;
    let quota_share = share(TOKENS, 24);
    let mut shares: Vec<Bucket> = (0..entries)
        .map(|_| Bucket::new(quota_share, ms(0)))
        .collect();
    let by_shares = count_admitted(entries, |e, now| {
        shares[e as usize].spend(DRAFT, ms(0), now).granted
    });
    let mut one = Bucket::new(TOKENS, ms(0));
    let by_bucket = count_admitted(entries, |_, now| one.spend(DRAFT, ms(0), now).granted);
    assert_eq!(by_bucket, 100);
    assert!(by_shares < 50, "{by_shares} of 100 by shares");
}

/// An event of a bucket.
#[derive(Debug, Clone)]
enum Event {
    Spend {
        cost: u32,
        max_wait: u64,
    },
    /// A request that is refunded before it is sent.
    Refund {
        cost: u32,
    },
    Pass(u64),
    /// A moment of the process's clock is repeated.
    ClockStops,
    DiscardCredit,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (1..20_000_u32, 0..500_u64).prop_map(|(cost, max_wait)| Event::Spend { cost, max_wait }),
        (1..20_000_u32).prop_map(|cost| Event::Refund { cost }),
        (1..3_000_u64).prop_map(Event::Pass),
        Just(Event::ClockStops),
        Just(Event::DiscardCredit),
    ]
}

proptest! {
    /// Whatever the order of events, the requests admitted within any time are bounded by the rate,
    /// the burst and one request.
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
                Event::Refund { cost } => {
                    let cost = f64::from(cost);
                    if bucket.spend(cost, ms(0), now).granted {
                        bucket.refund(cost, now);
                    }
                }
                Event::Pass(t) => now += ms(t),
                Event::ClockStops => {
                    bucket.spend(0.0, ms(0), now.saturating_sub(ms(50)));
                }
                Event::DiscardCredit => bucket.discard_credit(now),
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
