//! When prompts may be sent to an engine.

use std::time::Duration;

use stair_fleet::prefill::{
    Measurement,
    PrefixBlock,
    Reply,
    Request,
    Schedule, //
};

const MEMORY: u64 = 250_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A prompt of a shared head and a part of its own.
fn prompt(head: u64, own: u64) -> Request {
    Request {
        model: "a".into(),
        blocks: vec![
            PrefixBlock {
                chain: head,
                tokens: 6300,
            },
            PrefixBlock {
                chain: own,
                tokens: 2900,
            },
        ],
        tokens: 9200,
        max_wait: ms(60_000),
        urgent_max_wait: None,
        pause: Some(ms(600)),
        first: true,
    }
}

fn reserve(prefills: &mut Schedule, head: u64, own: u64, now: Duration) -> Reply {
    prefills.reserve(&prompt(head, own), MEMORY, now)
}

/// Ten prompts with different heads come at once to an engine where streams run. Sent at once they
/// would be read for 2.4 s on end and every stream would pause for as long. Within any 600 ms no more
/// is let through than the engine reads in that time and the streams can bear.
#[test]
fn burst_of_prompts() {
    let mut prefills = Schedule::default();
    let mut sent: Vec<(Duration, u64)> = Vec::new();
    for n in 0..10 {
        let reply = reserve(&mut prefills, n, 100 + n, ms(0));
        assert!(reply.reserved);
        sent.push((reply.wait, 9200));
    }
    for (from, _) in &sent {
        let within = |at: &Duration| *at >= *from && *at < *from + ms(600);
        let tokens: u64 = sent.iter().filter(|(at, _)| within(at)).map(|s| s.1).sum();
        assert!(tokens <= 32_000, "{tokens} tokens from {from:?}");
    }
    let last = sent.last().expect("ten").0;
    assert!(last > ms(2400) && last < ms(3500), "{last:?}");
}

/// Prompts a second or so apart go at once.
#[test]
fn no_wait_without_load() {
    let mut prefills = Schedule::default();
    for n in 0..20 {
        let reply = reserve(&mut prefills, n, 100 + n, ms(800 * n));
        assert_eq!((reply.reserved, reply.wait), (true, ms(0)));
    }
}

/// Prompts with a head that the engine has read need a third of the time; more of them go.
#[test]
fn kept_heads_are_cheap() {
    let mut prefills = Schedule::default();
    reserve(&mut prefills, 1, 100, ms(0));
    let same = reserve(&mut prefills, 1, 101, ms(1000));
    assert_eq!(same.cached, 6300);
    let again = reserve(&mut prefills, 1, 101, ms(2000));
    assert_eq!(again.cached, 9200);
    let other = reserve(&mut prefills, 2, 102, ms(3000));
    assert_eq!(other.cached, 0);
    // A part is of no use without those before it.
    let mut broken = prompt(3, 101);
    broken.tokens = 9200;
    assert_eq!(prefills.reserve(&broken, MEMORY, ms(4000)).cached, 0);
}

/// The engine unloads a model or restarts: what it had read is gone. Prompts that were taken for kept
/// would be let through three times as fast as they can be read.
#[test]
fn kept_until_unloaded() {
    let mut prefills = Schedule::default();
    reserve(&mut prefills, 1, 100, ms(0));
    prefills.unloaded("b");
    assert_eq!(reserve(&mut prefills, 1, 101, ms(1000)).cached, 6300);
    prefills.unloaded("a");
    assert_eq!(reserve(&mut prefills, 1, 101, ms(2000)).cached, 0);
    prefills.clear();
    assert_eq!(reserve(&mut prefills, 1, 101, ms(3000)).cached, 0);
}

/// Memory is bounded: the heads used least lately are taken for gone.
#[test]
fn least_used_yield() {
    let mut prefills = Schedule::default();
    for n in 0..100 {
        reserve(&mut prefills, n, 1000 + n, ms(1000 * n));
    }
    assert_eq!(reserve(&mut prefills, 99, 1, ms(101_000)).cached, 6300);
    assert_eq!(reserve(&mut prefills, 0, 2, ms(102_000)).cached, 0);
}

/// A prompt whose turn would come too late is told so at once, takes nobody's slot, and can go
/// elsewhere while there is time.
#[test]
fn too_late_is_not_booked() {
    let mut prefills = Schedule::default();
    for n in 0..5 {
        reserve(&mut prefills, n, 100 + n, ms(0));
    }
    let backlog = prefills.backlog(ms(0));
    let mut late = prompt(7, 107);
    late.max_wait = ms(300);
    let reply = prefills.reserve(&late, MEMORY, ms(0));
    assert!(!reply.reserved && reply.wait > ms(300));
    assert_eq!(prefills.backlog(ms(0)), backlog);
    late.max_wait = reply.wait;
    assert!(prefills.reserve(&late, MEMORY, ms(0)).reserved);
}

/// A long prompt of a less urgent route is read, and four more of them ask for their slots. An urgent one comes
/// that can wait for 600 ms. Had one of the others booked the next slot, which is within what it may book for,
/// the urgent one would be refused and the other one served.
#[test]
fn less_urgent_leaves_room() {
    let mut prefills = Schedule::default();
    let calm = |n| Request {
        max_wait: ms(400),
        urgent_max_wait: Some(ms(600)),
        pause: Some(ms(400)),
        ..prompt(n, 100 + n)
    };
    assert!(prefills.reserve(&calm(0), MEMORY, ms(1000)).reserved);
    for n in 1..5 {
        assert!(!prefills.reserve(&calm(n), MEMORY, ms(1001)).reserved);
    }
    let urgent = Request {
        max_wait: ms(590),
        pause: Some(ms(400)),
        ..prompt(9, 109)
    };
    assert!(prefills.reserve(&urgent, MEMORY, ms(1010)).reserved);
    // With nothing before it, one goes however long it is.
    assert!(prefills.reserve(&calm(5), MEMORY, ms(3000)).reserved);
}

/// A prompt longer than what may be read on end goes once nothing is before it; it must not wait for
/// ever.
#[test]
fn longer_than_a_burst() {
    let mut prefills = Schedule::default();
    let mut long = prompt(1, 100);
    long.tokens = 30_000;
    let reply = prefills.reserve(&long, MEMORY, ms(0));
    assert_eq!((reply.reserved, reply.wait), (true, ms(0)));
    let next = prefills.reserve(&long, MEMORY, ms(0));
    assert!(next.reserved && next.wait < ms(1300), "{next:?}");
}

/// Twelve prompts a second of a model with two replicas' worth of demand come to one engine for ten
/// seconds, each of use for 400 ms. Those that are let through are all read on time; before, all
/// were let through, the queue grew to seconds, and none of the later ones was.
#[test]
fn overload_keeps_some_on_time() {
    let mut prefills = Schedule::default();
    let mut reserved = 0;
    for n in 0..120 {
        let mut one = prompt(n % 6, 1000 + n);
        one.max_wait = ms(400);
        let now = ms(n * 1000 / 12);
        let reply = prefills.reserve(&one, MEMORY, now);
        if reply.reserved {
            reserved += 1;
            assert!(reply.backlog < ms(1000), "{reply:?}");
        }
    }
    // 26 tokens a millisecond are read, 3,050 a prompt once the heads are kept.
    assert!((78..=92).contains(&reserved), "{reserved}");
}

/// An engine that reads prompts between the tokens of one stream, in the order in which they come.
struct Engine {
    tokens_per_ms: f64,
    now: f64,
    prompts: Vec<Sent>,
}

/// A prompt that was sent.
struct Sent {
    at_ms: f64,
    /// Tokens that are left to be read.
    left: f64,
    /// What the agent said that reading takes.
    prefill_time: Duration,
}

impl Engine {
    /// Takes one step, and tells which prompts it finished.
    fn step(&mut self) -> Vec<Measurement> {
        const CHUNK: f64 = 4096.0;
        const TOKEN_MS: f64 = 6.0;
        let mut room = CHUNK;
        for prompt in self.prompts.iter_mut().filter(|p| p.at_ms <= self.now) {
            let read = prompt.left.min(room);
            prompt.left -= read;
            room -= read;
        }
        self.now += TOKEN_MS + (CHUNK - room) / self.tokens_per_ms;
        let done = self.prompts.iter().filter(|p| p.left <= 0.0);
        let done = done
            .map(|p| Measurement {
                model: "a".into(),
                prefill_time: p.prefill_time,
                took: Duration::from_secs_f64((self.now - p.at_ms) / 1000.0),
            })
            .collect();
        self.prompts.retain(|p| p.left > 0.0);
        done
    }
}

/// What a minute of prompts beside a stream came to.
struct Minute {
    sent: usize,
    events: usize,
    /// Events that came later than promised.
    late: usize,
}

/// A prompt of 9,200 tokens every 300 ms, more than any engine reads, beside a stream whose events
/// have four tokens and are promised every 600 ms. The first half is for learning.
fn minute(tokens_per_ms: f64, learns: bool) -> Minute {
    let mut prefills = Schedule::default();
    let mut engine = Engine {
        tokens_per_ms,
        now: 0.0,
        prompts: Vec::new(),
    };
    let mut out = Minute {
        sent: 0,
        events: 0,
        late: 0,
    };
    let mut next: u32 = 0;
    while engine.now < 60_000.0 {
        let counts = engine.now > 30_000.0;
        let begun = engine.now;
        for _ in 0..4 {
            while f64::from(next) * 300.0 <= engine.now {
                let now = ms(300 * u64::from(next));
                next += 1;
                let prompt = Request {
                    max_wait: ms(800),
                    ..prompt(1000 + u64::from(next), 2000 + u64::from(next))
                };
                let reply = prefills.reserve(&prompt, MEMORY, now);
                if reply.reserved {
                    engine.prompts.push(Sent {
                        at_ms: (now + reply.wait).as_secs_f64() * 1000.0,
                        left: 9200.0,
                        prefill_time: reply.prefill_time,
                    });
                    out.sent += usize::from(counts);
                }
            }
            let read = engine.step();
            read.into_iter()
                .filter(|_| learns)
                .for_each(|r| prefills.record(&r));
        }
        if counts {
            out.events += 1;
            out.late += usize::from(engine.now - begun > 600.0);
        }
    }
    out
}

/// A third of the engines read a quarter slower than the others. At one rate for all of them, prompts
/// come to such an engine as fast as it can read and its streams stall for as long as that lasts.
#[test]
fn streams_of_slow_engines() {
    let fraction = |m: &Minute| m.late as f64 / m.events as f64;
    let (before, after) = (minute(25.6, false), minute(25.6, true));
    assert!(
        fraction(&before) > 0.5,
        "{} of {}",
        before.late,
        before.events
    );
    assert!(fraction(&after) < 0.1, "{} of {}", after.late, after.events);
}

/// A fast engine takes more prompts than the usual one, and its streams keep their pace.
#[test]
fn fast_engines_take_more() {
    let (before, after) = (minute(36.0, false), minute(36.0, true));
    assert!(after.sent > before.sent, "{} {}", after.sent, before.sent);
    assert_eq!(after.late, 0);
}

/// Demand moves, and prompts come to an engine in waves: sixteen of 3,000 tokens at once, every four seconds.
/// An event of the stream that runs there has nine tokens. Were the prompts read one after the other, each
/// step would make one token in 110 ms, an event would take a second, and the client would see a pause in
/// every wave although the engine is idle for half of the time.
#[test]
fn long_events_beside_waves() {
    let mut prefills = Schedule::default();
    let mut engine = Engine {
        tokens_per_ms: 36.0,
        now: 0.0,
        prompts: Vec::new(),
    };
    let mut longest: f64 = 0.0;
    for wave in 0..5_u64 {
        let begun = ms(4000 * wave);
        let mut last = Duration::ZERO;
        for n in 0..16 {
            let chain = 100 * wave + n;
            let one = Request {
                blocks: vec![PrefixBlock {
                    chain,
                    tokens: 3000,
                }],
                tokens: 3000,
                ..prompt(0, 0)
            };
            let reply = prefills.reserve(&one, MEMORY, begun);
            last = reply.wait;
            engine.prompts.push(Sent {
                at_ms: (begun + reply.wait).as_secs_f64() * 1000.0,
                left: 3000.0,
                prefill_time: reply.prefill_time,
            });
        }
        assert!(last < ms(2200), "the last one waits {last:?}");
        while engine.now < (begun + ms(4000)).as_secs_f64() * 1000.0 {
            let event = engine.now;
            for _ in 0..9 {
                engine.step();
            }
            longest = longest.max(engine.now - event);
        }
    }
    assert!(longest <= 600.0, "a pause of {longest} ms");
}

/// Short prompts say nothing of the rate: the way there takes as long as reading them.
#[test]
fn short_prompts_tell_nothing() {
    let mut prefills = Schedule::default();
    let before = prefills.rate("a");
    for _ in 0..50 {
        prefills.record(&read("a", 24, 60));
    }
    assert_eq!(prefills.rate("a"), before);
}

fn read(model: &str, prefill_time: u64, took: u64) -> Measurement {
    Measurement {
        model: model.into(),
        prefill_time: ms(prefill_time),
        took: ms(took),
    }
}

/// A small model is read faster than a large one. Short prompts come in numbers, so that each waits for
/// those before it, and the first event takes 60 ms beside reading. At one rate for all models, and with
/// that time counted as reading, prompts that the engine could read would find no slot.
#[test]
fn small_models_are_read_faster() {
    let mut prefills = Schedule::default();
    prefills.record(&read("small", 10, 60));
    prefills.record(&read("large", 10, 60));
    for _ in 0..40 {
        prefills.record(&read("small", 150, 60 + 100));
        prefills.record(&read("large", 150, 60 + 150));
    }
    assert!(prefills.rate("small") > 1.4 * prefills.rate("large"));
    assert!((30.0..36.0).contains(&prefills.rate("large")));
}

/// One prompt in three has been read by the engine without its agent knowing: another life of the agent sent
/// it, or it shares more than it says. Its first event comes at once. Taken for a faster engine, prompts would
/// come half as fast again as they can be read, and streams would pause beside them.
#[test]
fn kept_unknown_to_the_agent() {
    let mut prefills = Schedule::default();
    prefills.record(&read("a", 100, 20));
    for n in 0..300 {
        // 6,600 tokens, of which the engine reads 33 in a millisecond.
        let prefill_time = 6600.0 / prefills.rate("a");
        let took = if n % 3 == 0 { 25 } else { 20 + 200 };
        prefills.record(&read("a", prefill_time as u64, took));
    }
    let rate = prefills.rate("a");
    assert!((25.0..=38.0).contains(&rate), "{rate} tokens a millisecond");
}

/// An engine turns slow and takes three times as long for every prompt. At the rate before, the prompts of a
/// second would take three, and all streams would stall until their clients leave.
#[test]
fn engine_turns_slow() {
    let mut prefills = Schedule::default();
    prefills.record(&read("a", 100, 20));
    for _ in 0..20 {
        let prefill_time = 6600.0 / prefills.rate("a");
        prefills.record(&read("a", prefill_time as u64, 20 + 600));
    }
    assert!(prefills.rate("a") < 14.0, "{}", prefills.rate("a"));
}

/// A prompt asks for its slot at an engine whose model makes way. It is to go elsewhere; told a wait of a
/// minute, the request that finds no other engine would tell its client to come back after that, while
/// its model is there again within a second.
#[test]
fn model_makes_way() {
    let req = Request {
        max_wait: ms(300),
        ..prompt(1, 100)
    };
    let reply = Reply::model_draining(&req);
    assert!(!reply.reserved && reply.wait > req.max_wait);
    assert!(reply.wait <= req.max_wait + ms(1000));
}
