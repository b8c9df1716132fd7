//! Tests of the prefill slots of an engine.

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

/// A prompt of a shared prefix and a block of its own.
fn prompt(prefix: u64, own: u64) -> Request {
    Request {
        model: "a".into(),
        blocks: vec![
            PrefixBlock {
                chain: prefix,
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

fn reserve(prefills: &mut Schedule, prefix: u64, own: u64, now: Duration) -> Reply {
    prefills.reserve(&prompt(prefix, own), MEMORY, now)
}

/// Ten prompts with different prefixes arrive together at an engine with running streams. Sent at
/// once they would take 2.4 s of prefill, and every stream would pause for that time. Within any
/// 600 ms no more tokens may be sent than the engine reads in that time beside its streams.
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

/// Prompts about a second apart are sent at once.
#[test]
fn no_wait_without_load() {
    let mut prefills = Schedule::default();
    for n in 0..20 {
        let reply = reserve(&mut prefills, n, 100 + n, ms(800 * n));
        assert_eq!((reply.reserved, reply.wait), (true, ms(0)));
    }
}

/// Prompts whose prefix is cached need a third of the prefill time, so more of them are sent.
#[test]
fn cached_prefixes_are_cheap() {
    let mut prefills = Schedule::default();
    reserve(&mut prefills, 1, 100, ms(0));
    let same = reserve(&mut prefills, 1, 101, ms(1000));
    assert_eq!(same.cached, 6300);
    let again = reserve(&mut prefills, 1, 101, ms(2000));
    assert_eq!(again.cached, 9200);
    let other = reserve(&mut prefills, 2, 102, ms(3000));
    assert_eq!(other.cached, 0);
    // A cached block does not count without the blocks before it.
    let mut broken = prompt(3, 101);
    broken.tokens = 9200;
    assert_eq!(prefills.reserve(&broken, MEMORY, ms(4000)).cached, 0);
}

/// The engine unloads a model or restarts, and its prefix cache is lost. If prompts still counted
/// as cached, they would be sent three times as fast as the engine can read them.
#[test]
fn cached_until_unloaded() {
    let mut prefills = Schedule::default();
    reserve(&mut prefills, 1, 100, ms(0));
    prefills.unloaded("b");
    assert_eq!(reserve(&mut prefills, 1, 101, ms(1000)).cached, 6300);
    prefills.unloaded("a");
    assert_eq!(reserve(&mut prefills, 1, 101, ms(2000)).cached, 0);
    prefills.clear();
    assert_eq!(reserve(&mut prefills, 1, 101, ms(3000)).cached, 0);
}

/// The prefix cache is bounded: the least recently used blocks count as evicted.
#[test]
fn least_recently_used_blocks_are_dropped() {
    let mut prefills = Schedule::default();
    for n in 0..100 {
        reserve(&mut prefills, n, 1000 + n, ms(1000 * n));
    }
    assert_eq!(reserve(&mut prefills, 99, 1, ms(101_000)).cached, 6300);
    assert_eq!(reserve(&mut prefills, 0, 2, ms(102_000)).cached, 0);
}

/// A prompt whose slot would come too late must be refused at once without a reservation, so that
/// it can go to another engine while there is time.
#[test]
fn late_slot_is_not_reserved() {
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

/// An engine reads a long prompt of a less urgent route, and four more of that route request slots.
/// An urgent prompt that can wait for 600 ms arrives. If one of the others had reserved the next
/// slot, which is within its own limit, the urgent one would be refused in its favour.
#[test]
fn less_urgent_leaves_capacity() {
    let mut prefills = Schedule::default();
    let less_urgent = |n| Request {
        max_wait: ms(400),
        urgent_max_wait: Some(ms(600)),
        pause: Some(ms(400)),
        ..prompt(n, 100 + n)
    };
    assert!(prefills.reserve(&less_urgent(0), MEMORY, ms(1000)).reserved);
    for n in 1..5 {
        assert!(!prefills.reserve(&less_urgent(n), MEMORY, ms(1001)).reserved);
    }
    let urgent = Request {
        max_wait: ms(590),
        pause: Some(ms(400)),
        ..prompt(9, 109)
    };
    assert!(prefills.reserve(&urgent, MEMORY, ms(1010)).reserved);
    // Without a backlog a prompt is sent regardless of its length.
    assert!(prefills.reserve(&less_urgent(5), MEMORY, ms(3000)).reserved);
}

/// A prompt longer than a burst must be sent once the engine has no backlog, and not wait forever.
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

/// Twelve prompts per second, the demand of two replicas, arrive at one engine for ten seconds, and
/// each can wait for 400 ms. If all were admitted, the queue would grow to seconds and all later
/// ones would be late. All admitted prompts must be on time.
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
    // The engine reads 26 tokens per millisecond; with cached prefixes a prompt takes 3,050 tokens.
    assert!((78..=92).contains(&reserved), "{reserved}");
}

/// An engine that reads prompts in order of arrival, between the tokens of one stream.
struct Engine {
    tokens_per_ms: f64,
    now: f64,
    prompts: Vec<Sent>,
}

/// A prompt that was sent.
struct Sent {
    at_ms: f64,
    /// Tokens that are not read yet.
    left: f64,
    /// The prefill time that the agent stated.
    prefill_time: Duration,
}

impl Engine {
    /// Advances by one step, and returns the prompts that it finished.
    fn step(&mut self) -> Vec<Measurement> {
        const CHUNK: f64 = 4096.0;
        const TOKEN_MS: f64 = 6.0;
        let mut budget = CHUNK;
        for prompt in self.prompts.iter_mut().filter(|p| p.at_ms <= self.now) {
            let read = prompt.left.min(budget);
            prompt.left -= read;
            budget -= read;
        }
        self.now += TOKEN_MS + (CHUNK - budget) / self.tokens_per_ms;
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

/// Counts of one minute of prompts beside a stream.
struct Minute {
    sent: usize,
    events: usize,
    /// Events that came later than promised.
    late: usize,
}

/// A prompt of 9,200 tokens every 300 ms, more than any engine reads, beside a stream whose events
/// have four tokens and are promised every 600 ms. Only the second half is counted; in the first
/// half the rate adapts.
fn minute(tokens_per_ms: f64, adapts: bool) -> Minute {
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
        let measured = engine.now > 30_000.0;
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
                    out.sent += usize::from(measured);
                }
            }
            let read = engine.step();
            read.into_iter()
                .filter(|_| adapts)
                .for_each(|r| prefills.record(&r));
        }
        if measured {
            out.events += 1;
            out.late += usize::from(engine.now - begun > 600.0);
        }
    }
    out
}

/// A third of the engines read a quarter slower than the others. With one rate for all of them,
/// prompts reach such an engine as fast as it can read, and its streams stall for as long as the
/// load lasts.
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

/// A fast engine must get more prompts than the usual one without delaying its streams.
#[test]
fn fast_engines_take_more() {
    let (before, after) = (minute(36.0, false), minute(36.0, true));
    assert!(after.sent > before.sent, "{} {}", after.sent, before.sent);
    assert_eq!(after.late, 0);
}

/// Prompts arrive at an engine in waves: sixteen of 3,000 tokens at once, every four seconds. An
/// event of its stream has nine tokens. If the prompts were read without breaks, each step would
/// produce one token in 110 ms and an event would take a second: the client would see a pause in
/// every wave, although the engine is idle half of the time.
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

/// Short prompts must not change the rate: the network takes as long as their prefill.
#[test]
fn short_prompts_are_no_samples() {
    let mut prefills = Schedule::default();
    let before = prefills.rate("a");
    for _ in 0..50 {
        prefills.record(&measurement("a", 24, 60));
    }
    assert_eq!(prefills.rate("a"), before);
}

fn measurement(model: &str, prefill_time: u64, took: u64) -> Measurement {
    Measurement {
        model: model.into(),
        prefill_time: ms(prefill_time),
        took: ms(took),
    }
}

/// A small model is read faster than a large one. Many short prompts arrive, so each waits for
/// those before it, and the base latency is 60 ms. With one rate for all models, or with the base
/// latency counted as prefill, prompts would find no slot although the engine could read them.
#[test]
fn small_models_are_read_faster() {
    let mut prefills = Schedule::default();
    prefills.record(&measurement("small", 10, 60));
    prefills.record(&measurement("large", 10, 60));
    for _ in 0..40 {
        prefills.record(&measurement("small", 150, 60 + 100));
        prefills.record(&measurement("large", 150, 60 + 150));
    }
    assert!(prefills.rate("small") > 1.4 * prefills.rate("large"));
    assert!((30.0..36.0).contains(&prefills.rate("large")));
}

/// One prompt in three is cached at the engine without its agent's knowledge: another incarnation
/// of the agent admitted it, or it shares a longer prefix than it states. Its first event comes at
/// once. If that counted as a faster engine, prompts would arrive 1.5 times as fast as the engine
/// can read them, and streams would pause.
#[test]
fn cached_without_the_agents_knowledge() {
    let mut prefills = Schedule::default();
    prefills.record(&measurement("a", 100, 20));
    for n in 0..300 {
        // 6,600 tokens, of which the engine reads 33 per millisecond.
        let prefill_time = 6600.0 / prefills.rate("a");
        let took = if n % 3 == 0 { 25 } else { 20 + 200 };
        prefills.record(&measurement("a", prefill_time as u64, took));
    }
    let rate = prefills.rate("a");
    assert!((25.0..=38.0).contains(&rate), "{rate} tokens a millisecond");
}

/// An engine becomes three times slower. At the previous rate the prompts of one second would take
/// three, and all streams would stall until their clients disconnect.
#[test]
fn engine_slows_down() {
    let mut prefills = Schedule::default();
    prefills.record(&measurement("a", 100, 20));
    for _ in 0..20 {
        let prefill_time = 6600.0 / prefills.rate("a");
        prefills.record(&measurement("a", prefill_time as u64, 20 + 600));
    }
    assert!(prefills.rate("a") < 14.0, "{}", prefills.rate("a"));
}

/// A prompt requests its slot at an engine that is about to evict the prompt's model. It has to go
/// to another engine. With a wait of a minute a request that finds no other engine would send its
/// client away for that time, although the model is loaded again within a second.
#[test]
fn model_is_draining() {
    let req = Request {
        max_wait: ms(300),
        ..prompt(1, 100)
    };
    let reply = Reply::model_draining(&req);
    assert!(!reply.reserved && reply.wait > req.max_wait);
    assert!(reply.wait <= req.max_wait + ms(1000));
}
