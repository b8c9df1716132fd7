//! Decisions about the prefill slots of an engine that callers share.

use std::time::Duration;

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use stair_fleet::{
    fair_share::{
        Ask,
        Caller,
        Decision,
        FairShares,
        Labels,
        MAX_LABELS,
        MAX_NAME_BYTES,
        Standing,
        UNSERVED_TIMEOUT, //
    },
    prefill::{
        PrefixBlock,
        Request,
        Schedule, //
    },
};

/// Memory of an engine, in tokens.
const MEMORY: u64 = 250_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// While no prompt is refused, each decision is the one of the schedule alone.
#[test]
fn calm_load_is_unchanged() {
    let mut rng = StdRng::seed_from_u64(7);
    let (mut compared, mut waits) = (0, 0);
    for _ in 0..50 {
        let (mut alone, mut prefills) = (Schedule::default(), Schedule::default());
        let mut shares = FairShares::default();
        let mut now = Duration::ZERO;
        for prompt in 0..400 {
            now += ms(rng.random_range(0..900));
            let caller = rng.random_range(0..13_u64);
            let req = Request {
                tokens: rng.random_range(6400..9200),
                urgent_max_wait: [None, Some(ms(900))][rng.random_range(0..2)],
                ..request(caller, prompt)
            };
            let expected = alone.reserve(&req, MEMORY, now);
            if !expected.reserved || expected.backlog > ms(500) {
                // Slots are short from here on.
                break;
            }
            let given = ask(&mut shares, &mut prefills, caller, prompt, &req, now);
            assert_eq!(
                (given.reply, given.turn),
                (expected, None),
                "prompt {prompt}"
            );
            compared += 1;
            waits += u32::from(!expected.wait.is_zero());
        }
    }
    assert!(
        compared > 1000 && waits > 50,
        "{waits} of {compared} waited"
    );
}

/// A prompt that had to wait asks again, and others that come between must not take its slot: they
/// would do so again and again, and it would be refused in the end.
#[test]
fn turn_is_kept() {
    let (mut shares, mut prefills) = (FairShares::default(), Schedule::default());
    fill(&mut shares, &mut prefills);
    let (mut now, mut polls) = (ms(0), 0);
    loop {
        let mut req = impatient(1, 100);
        req.first = polls == 0;
        let given = ask_at(&mut shares, &mut prefills, &req, ms(0), now);
        let Some(turn) = given.turn else {
            assert!(given.reply.reserved, "{given:?}");
            break;
        };
        assert_eq!((turn.ahead, turn.standing), (0, Standing::Below));
        for n in 1..10 {
            let between = now + turn.retry_in * n / 10;
            let req = impatient(2, 200 + 10 * polls + u64::from(n));
            let other = ask_at(&mut shares, &mut prefills, &req, between, between);
            assert!(!other.reply.reserved, "{other:?}");
        }
        now += turn.retry_in;
        polls += 1;
        assert!(polls < 4, "no slot until {now:?}");
    }
    assert!(polls > 0, "the engine is not full");
}

/// An entry ends while its prompts wait. Others must not leave slots to them.
#[test]
fn entry_ends() {
    let (mut shares, mut prefills) = (FairShares::default(), Schedule::default());
    fill(&mut shares, &mut prefills);
    let req = impatient(1, 100);
    let waits = ask_at(&mut shares, &mut prefills, &req, ms(0), ms(0));
    assert!(waits.turn.is_some(), "{waits:?}");
    assert_eq!(shares.waiting(), 1);
    shares.link_closed(1);
    assert_eq!(shares.waiting(), 0);
    let other = impatient(2, 101);
    let given = ask_at(&mut shares, &mut prefills, &other, ms(1), ms(1));
    assert_eq!(given.turn.map(|t| t.ahead), Some(0), "{given:?}");
}

/// A caller has waited for long because others of its rank have always had less time left. It goes
/// first after [`UNSERVED_TIMEOUT`].
#[test]
fn unserved_caller_goes_first() {
    let (mut shares, mut prefills) = (FairShares::default(), Schedule::default());
    let mut now = Duration::ZERO;
    let mut served_at = None;
    for prompt in 0..400_u64 {
        now += ms(25);
        // The others have a second, the one has a minute.
        let (caller, left) = match prompt % 5 {
            0 => (1, ms(60_000)),
            n => (10 + n, ms(1000)),
        };
        let id = if caller == 1 { 1 } else { prompt };
        let req = Request {
            first: prompt != 0,
            ..impatient(caller, id)
        };
        if caller == 1 && served_at.is_some() {
            continue;
        }
        let from = Caller {
            time_left: left,
            ..from(caller, id)
        };
        let ask = Ask {
            link: 1,
            caller: Some(&from),
            request: &req,
        };
        let given = shares.reserve(&mut prefills, &ask, MEMORY, now);
        if caller == 1 && given.reply.reserved {
            served_at = Some(now);
        }
    }
    let served_at = served_at.expect("it is served");
    assert!(served_at <= UNSERVED_TIMEOUT + ms(1000), "{served_at:?}");
}

/// The demand for a model decides about its replicas. A prompt that gives way to others counts only
/// if it is refused in the end, and once.
#[test]
fn demand_is_counted_once() {
    let (mut shares, mut prefills) = (FairShares::default(), Schedule::default());
    fill(&mut shares, &mut prefills);
    let waits = impatient(1, 100);
    let given = ask_at(&mut shares, &mut prefills, &waits, ms(0), ms(0));
    assert!(given.turn.is_some() && given.is_unmet, "{given:?}");
    let again = Request {
        first: false,
        ..waits
    };
    let given = ask_at(&mut shares, &mut prefills, &again, ms(0), ms(20));
    assert!(given.turn.is_some() && !given.is_unmet, "{given:?}");
    // The schedule alone would admit it.
    let gives_way = request(50, 101);
    let asked = ms(40);
    let given = ask_at(&mut shares, &mut prefills, &gives_way, asked, asked);
    assert!(given.turn.is_some() && !given.is_unmet, "{given:?}");
    let late = Request {
        first: false,
        max_wait: ms(0),
        ..gives_way
    };
    let from = Caller {
        time_left: ms(0),
        ..from(50, 1101)
    };
    let ask = Ask {
        link: 1,
        caller: Some(&from),
        request: &late,
    };
    let given = shares.reserve(&mut prefills, &ask, MEMORY, ms(60));
    assert!(!given.reply.reserved && given.is_unmet, "{given:?}");
}

/// A prompt of which it is known that it cannot have a slot in its time is refused at once, and the
/// wait that it is told covers the prompts before it.
#[test]
fn refused_at_once() {
    let (mut shares, mut prefills) = (FairShares::default(), Schedule::default());
    fill(&mut shares, &mut prefills);
    for prompt in 0..20 {
        let req = impatient(prompt, 100 + prompt);
        let from = Caller {
            time_left: ms(3000),
            ..from(prompt, 100 + prompt)
        };
        let ask = Ask {
            link: 1,
            caller: Some(&from),
            request: &req,
        };
        shares.reserve(&mut prefills, &ask, MEMORY, ms(0));
    }
    let late = Caller {
        rank: 3,
        time_left: ms(1000),
        ..from(90, 900)
    };
    let req = impatient(90, 900);
    let ask = Ask {
        link: 1,
        caller: Some(&late),
        request: &req,
    };
    let given = shares.reserve(&mut prefills, &ask, MEMORY, ms(0));
    assert!(!given.reply.reserved && given.turn.is_none(), "{given:?}");
    assert!(given.reply.wait > ms(1000), "{given:?}");
}

/// Names come from clients. Neither the table nor the metrics may grow with them.
#[test]
fn names_are_bounded() {
    let (mut shares, mut prefills) = (FairShares::default(), Schedule::default());
    let mut labels = Labels::default();
    let long = "ä".repeat(10_000);
    for n in 0..100_u64 {
        let from = Caller {
            name: format!("{n}{long}").into(),
            ..from(n, n)
        };
        let req = request(n, n);
        let ask = Ask {
            link: 1,
            caller: Some(&from),
            request: &req,
        };
        shares.reserve(&mut prefills, &ask, MEMORY, ms(n));
        assert!(labels.of(&ask).len() <= MAX_NAME_BYTES);
        assert_eq!(labels.of(&ask) == "others", n >= MAX_LABELS as u64);
    }
    let states = shares.states();
    assert!(states.iter().all(|s| s.caller.len() <= MAX_NAME_BYTES));
    assert_eq!(shares.callers(), 100);
}

fn request(caller: u64, prompt: u64) -> Request {
    let block = |chain, tokens| PrefixBlock { chain, tokens };
    Request {
        model: "m".into(),
        blocks: vec![block(caller, 6300), block(1000 + prompt, 2900)],
        tokens: 9200,
        max_wait: ms(3000),
        urgent_max_wait: None,
        pause: Some(ms(500)),
        first: true,
    }
}

/// A prompt that reserves a slot at most 300 ms ahead.
fn impatient(caller: u64, prompt: u64) -> Request {
    Request {
        max_wait: ms(300),
        urgent_max_wait: Some(ms(900)),
        ..request(caller, prompt)
    }
}

fn from(caller: u64, prompt: u64) -> Caller {
    Caller {
        name: format!("caller-{caller}").into(),
        rank: 2,
        prompt,
        time_left: ms(3000),
    }
}

fn ask(
    shares: &mut FairShares,
    prefills: &mut Schedule,
    caller: u64,
    prompt: u64,
    request: &Request,
    now: Duration,
) -> Decision {
    let from = from(caller, prompt);
    let ask = Ask {
        link: 1,
        caller: Some(&from),
        request,
    };
    shares.reserve(prefills, &ask, MEMORY, now)
}

/// Asks for a prompt that arrived at `asked` and must have its slot within 3 s.
fn ask_at(
    shares: &mut FairShares,
    prefills: &mut Schedule,
    request: &Request,
    asked: Duration,
    now: Duration,
) -> Decision {
    let (caller, prompt) = (request.blocks[0].chain, request.blocks[1].chain);
    let from = Caller {
        time_left: asked + ms(3000) - now,
        ..from(caller, prompt)
    };
    let ask = Ask {
        link: 1,
        caller: Some(&from),
        request,
    };
    shares.reserve(prefills, &ask, MEMORY, now)
}

/// Reserves the slots of more than the next half second.
fn fill(shares: &mut FairShares, prefills: &mut Schedule) {
    for prompt in 0..2 {
        let req = request(50 + prompt, prompt);
        let given = ask(shares, prefills, 50 + prompt, prompt, &req, ms(0));
        assert!(given.reply.reserved);
    }
}
