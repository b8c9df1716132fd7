//! Tests of the limits that targets name.

use std::time::Duration;

use proptest::{
    collection::vec,
    prelude::*, //
};
use stair_fleet::rate_limit::{
    CachedLimit,
    ChangeKind,
    Ledger,
    Limiter,
    Rate,
    Reply,
    Source,
    Stamp,
    Statement,
    ToLedger,
    ToSender,
    share, //
};

const EPOCH: u64 = 7;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rate(per_s: f64) -> Rate {
    Rate::try_from(per_s).expect("a rate")
}

fn stated(per_s: Option<f64>, stamp: Option<Stamp>) -> Statement {
    Statement {
        rate: per_s.map(rate),
        stamp,
        source: Source::Response,
    }
}

fn limiter(per_s: f64) -> Limiter {
    let mut limiter = Limiter::new("t", EPOCH, ms(0));
    limiter.state(&stated(Some(per_s), None), ms(0));
    limiter
}

fn request(ledger: &mut Ledger, seq: u64, rank: u8, max_wait: u64, now: u64) -> Vec<ToSender> {
    let msg = ToLedger::Request {
        seq,
        target: "t".into(),
        rank,
        max_wait: ms(max_wait),
        known: CachedLimit {
            rate: rate(1.0),
            epoch: None,
        },
        stand_in: false,
    };
    let effects = ledger.receive(1, msg, ms(now));
    effects.replies.into_iter().map(|r| r.msg).collect()
}

fn granted(msg: &ToSender) -> Option<u64> {
    match msg {
        ToSender::Reply {
            seq,
            reply: Reply {
                granted: Some(_), ..
            },
        } => Some(*seq),
        _ => None,
    }
}

#[test]
fn values() {
    for text in ["0", "1", "0.25", "300", "007.5", "1000000000"] {
        let expected: f64 = text.parse().expect("a number");
        assert_eq!(
            Rate::try_from(text).map(Rate::per_s),
            Ok(expected),
            "{text}"
        );
    }
    let long = "1".repeat(33);
    for text in [
        "", " ", "-1", "+1", "1e9", "NaN", "inf", "1,5", "0x1", ".", "1.2.3", "1 2", &long,
    ] {
        assert!(Rate::try_from(text).is_err(), "{text:?}");
    }
    assert!(Rate::try_from(f64::NAN).is_err());
    assert!(Rate::try_from(-0.5).is_err());
}

// A response that was sent before the limit was named lifts it when it arrives late.
#[test]
fn late_response() {
    let mut limiter = Limiter::new("t", EPOCH, ms(0));
    let before = limiter.stamp();
    let change = limiter.state(&stated(Some(2.0), Some(before)), ms(10));
    assert_eq!(change.expect("a change").kind, ChangeKind::Named);
    assert_eq!(limiter.state(&stated(None, Some(before)), ms(20)), None);
    assert_eq!(limiter.state(&stated(None, None), ms(20)), None);
    assert_eq!(limiter.rate(), Some(rate(2.0)));
    let after = limiter.stamp();
    // The limit is named once more while that request is under way.
    limiter.state(&stated(Some(2.0), Some(before)), ms(30));
    assert_eq!(limiter.state(&stated(None, Some(after)), ms(40)), None);
    let change = limiter.state(&stated(None, Some(limiter.stamp())), ms(50));
    assert_eq!(change.expect("a change").kind, ChangeKind::Lifted);
    // The last response of the limited time arrives after that.
    assert_eq!(limiter.state(&stated(Some(2.0), Some(after)), ms(60)), None);
    assert_eq!(limiter.rate(), None);
}

// Of two limits whose order is not known the higher one is used.
#[test]
fn changed() {
    let mut limiter = limiter(2.0);
    let old = Stamp { epoch: 8, seq: 99 };
    assert_eq!(limiter.state(&stated(Some(5.0), Some(old)), ms(10)), None);
    let change = limiter.state(&stated(Some(1.0), Some(old)), ms(20));
    assert_eq!(change.expect("a change").kind, ChangeKind::Changed);
    let stamp = limiter.stamp();
    limiter.state(&stated(Some(5.0), Some(stamp)), ms(30));
    assert_eq!(limiter.rate(), Some(rate(5.0)));
}

// A restarted process that counts has no limit until a response names it again.
#[test]
fn adopted() {
    let mut ledger = Ledger::new(EPOCH);
    let replies = request(&mut ledger, 1, 0, 100, 0);
    assert_eq!(replies.iter().find_map(granted), None);
    assert_eq!(ledger.limits().collect::<Vec<_>>(), [("t", rate(1.0))]);
    // What this process has lifted is not adopted again.
    let stamp = ledger.limiter("t", ms(0)).stamp();
    ledger.state("t", &stated(None, Some(stamp)), ms(10));
    let known = CachedLimit {
        rate: rate(1.0),
        epoch: Some(EPOCH),
    };
    assert_eq!(ledger.adopt("t", &known, ms(20)), None);
    assert_eq!(ledger.limits().count(), 0);
}

// A less urgent request is granted first, or keeps waiting although it cannot be granted in time.
#[test]
fn urgency() {
    let mut ledger = Ledger::new(EPOCH);
    assert!(matches!(
        request(&mut ledger, 1, 5, 1100, 0)[..],
        [ToSender::Queued { seq: 1, .. }]
    ));
    let replies = request(&mut ledger, 2, 1, 1100, 0);
    assert!(matches!(replies[0], ToSender::Queued { seq: 2, .. }));
    let ToSender::Reply { seq: 1, reply } = replies[1] else {
        panic!("{replies:?}");
    };
    assert_eq!(reply.granted, None);
    assert!(reply.retry_after >= ms(1999), "{reply:?}");
    assert!(ledger.next_settle(ms(0)).is_some_and(|t| t <= ms(1000)));
    let settled = ledger.settle(ms(1000));
    assert_eq!(granted(&settled[0].msg), Some(2));
}

// The requests of an entry that has ended take permits.
#[test]
fn ended_sender() {
    let mut ledger = Ledger::new(EPOCH);
    request(&mut ledger, 1, 0, 5000, 0);
    ledger.owner_disconnected(1);
    assert_eq!(ledger.next_settle(ms(0)), None);
    assert!(ledger.settle(ms(5000)).is_empty());
}

// A limit of 0 is never found to have ended.
#[test]
fn limit_of_zero() {
    let mut limiter = limiter(0.0);
    assert!(limiter.request_now(ms(9000)).granted.is_none());
    let reply = limiter.request_now(ms(10_100));
    let stamp = reply.granted.expect("a trial");
    limiter.state(&stated(None, Some(stamp)), ms(10_200));
    assert_eq!(limiter.rate(), None);
}

// Responses to an agent's readings name no limit although those to requests do.
#[test]
fn unnamed_in_readings() {
    let mut limiter = limiter(2.0);
    let reading = |rate: Option<Rate>, limiter: &Limiter| Statement {
        rate,
        stamp: Some(limiter.stamp()),
        source: Source::AgentCall,
    };
    let statement = reading(None, &limiter);
    assert_eq!(limiter.state(&statement, ms(10)), None);
    let statement = reading(Some(rate(2.0)), &limiter);
    limiter.state(&statement, ms(20));
    let statement = reading(None, &limiter);
    assert!(limiter.state(&statement, ms(30)).is_some());
}

// The agent's own calls are not counted, or requests that wait keep them off for ever.
#[test]
fn own_calls() {
    let mut limiter = limiter(1.0);
    let mut calls = 0;
    for n in 1..=400 {
        let now = ms(n * 250);
        limiter.settle(now);
        if n % 4 == 0 {
            let ticket = stair_fleet::rate_limit::Ticket { owner: 1, seq: n };
            limiter.request(ticket, 1, ms(1500), now);
        }
        calls += u32::from(limiter.may_call(false, now));
    }
    assert!((3..=10).contains(&calls), "{calls}");
}

// An agent and its stand-in grant the whole limit each, to senders that reach one of them.
#[test]
fn stand_in() {
    let mut limiter = limiter(10.0);
    let mut granted = [0, 0];
    for n in 0..2000 {
        let now = ms(n * 10);
        // From the second half on some senders reach the process itself.
        let half = usize::from(n >= 1000);
        limiter.set_stand_in(half == 0 || n % 100 > 0, now);
        granted[half] += u32::from(limiter.request_now(now).granted.is_some());
    }
    assert!((45..=55).contains(&granted[0]), "{granted:?}");
    assert!((95..=105).contains(&granted[1]), "{granted:?}");
}

#[test]
fn shares() {
    let entries = 28;
    let sum: f64 = (0..entries)
        .map(|_| share(rate(3.0), entries).per_s())
        .sum();
    assert!((sum - 3.0).abs() < 1e-9);
    assert_eq!(share(rate(3.0), 0), rate(3.0));
}

proptest! {
    // More is granted in some time than the limit allows, whatever arrives, is withdrawn or returned.
    #[test]
    fn bounded(
        per_s in prop_oneof![Just(0.0), Just(0.3), Just(1.0), Just(7.5), Just(300.0)],
        steps in vec((0u64..400, 0u8..4, 0u8..8), 1..300),
    ) {
        let mut ledger = Ledger::new(EPOCH);
        ledger.state("t", &stated(Some(per_s), None), ms(0));
        let mut now = 0;
        let mut sent: Vec<u64> = Vec::new();
        for (n, (pause, rank, action)) in steps.into_iter().enumerate() {
            now += pause;
            let seq = n as u64;
            let replies = match action {
                0 => ledger.receive(1, ToLedger::Cancel { target: "t".into(), seq }, ms(now)).replies
                    .into_iter().map(|r| r.msg).collect(),
                1 => {
                    if ledger.limiter("t", ms(now)).may_call(rank == 0, ms(now)) {
                        sent.push(now);
                    }
                    Vec::new()
                }
                2 => {
                    if ledger.limiter("t", ms(now)).may_order(ms(now)) {
                        sent.push(now);
                    }
                    Vec::new()
                }
                _ => request(&mut ledger, seq, rank, 2000, now),
            };
            sent.extend(replies.iter().filter_map(granted).map(|_| now));
            let settled = ledger.settle(ms(now));
            sent.extend(settled.iter().filter_map(|r| granted(&r.msg)).map(|_| now));
        }
        let granted_rate = f64::max(per_s, 0.1);
        let burst = f64::max(granted_rate * 0.25, 1.0);
        for (i, from) in sent.iter().enumerate() {
            for (n, to) in sent[i..].iter().enumerate() {
                // One call is counted before there is a permit for it, and one has its permit and is
                // made later.
                let allowed = granted_rate * (to - from) as f64 / 1000.0 + burst + 2.0;
                prop_assert!((n + 1) as f64 <= allowed + 1e-6, "{} in {} ms", n + 1, to - from);
            }
        }
    }
}
