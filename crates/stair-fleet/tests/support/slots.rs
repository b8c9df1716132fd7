//! Callers that request the prefill slots of one engine, as entries do for them.
#![allow(dead_code)]

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::Duration, //
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
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

/// Memory of an engine, in tokens.
pub(crate) const MEMORY: u64 = 250_000;

/// The time that is played, and the part at its beginning that is not counted.
const PLAYED: Duration = Duration::from_secs(60);
const UNCOUNTED: Duration = Duration::from_secs(8);

/// The longest wait for which a less urgent prompt reserves a slot, as at entries.
const MAX_YIELDING_WAIT: Duration = Duration::from_millis(400);

/// Time reserved for the run itself, as at entries.
const RUN_DURATION: Duration = Duration::from_millis(400);

/// Time until a prompt without a turn asks again, as at entries.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Time between an entry and the agent.
const LINK: Duration = Duration::from_millis(2);

/// What decides about slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// [`Schedule::reserve`] alone.
    Alone,
    /// With the shares of callers.
    Fair,
    /// With the shares, and entries that name no caller.
    Unnamed,
}

/// The prompts of a route.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Kind {
    pub(crate) tokens: u32,
    /// Tokens of the prefix that all prompts of a caller share.
    pub(crate) shared: u32,
    pub(crate) objective_ms: u64,
    pub(crate) rank: u8,
    /// The longest wait of more urgent prompts.
    pub(crate) urgent_ms: Option<u64>,
}

/// The prompts of one caller.
#[derive(Debug, Clone)]
pub(crate) struct Load {
    pub(crate) caller: usize,
    pub(crate) kind: Kind,
    pub(crate) per_s: f64,
    pub(crate) from: Duration,
    /// Fraction of its prompts that do not ask again when they have to wait.
    pub(crate) leaves: f64,
}

impl Load {
    pub(crate) fn new(caller: usize, kind: Kind, per_s: f64) -> Self {
        Self {
            caller,
            kind,
            per_s,
            from: Duration::ZERO,
            leaves: 0.0,
        }
    }
}

/// What became of the prompts of one caller, without those at the beginning.
#[derive(Debug, Clone, Default)]
pub(crate) struct Prompts {
    pub(crate) sent: u32,
    pub(crate) in_time: u32,
    pub(crate) granted_ms: f64,
    /// The longest time between two slots, or to the first or from the last one.
    pub(crate) longest_without: Duration,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    pub(crate) callers: Vec<Prompts>,
    pub(crate) granted_ms: f64,
    /// Time for which the engine could have begun a burst and prompts waited.
    pub(crate) idle: Duration,
    pub(crate) asks: u32,
    pub(crate) most_callers: usize,
    pub(crate) most_waiting: usize,
}

impl Outcome {
    /// Fraction of a caller's prompts that had a slot in time.
    pub(crate) fn in_time(&self, caller: usize) -> f64 {
        let c = &self.callers[caller];
        f64::from(c.in_time) / f64::from(c.sent.max(1))
    }
}

struct Prompt {
    load: usize,
    arrived: Duration,
    first: bool,
    id: u64,
}

/// Plays all loads against one engine.
pub(crate) fn run(policy: Policy, loads: &[Load], seed: u64) -> Outcome {
    let mut prefills = Schedule::default();
    let mut shares = FairShares::default();
    let mut prompts = Vec::new();
    let mut asks = BinaryHeap::new();
    for (i, load) in loads.iter().enumerate() {
        // Each load has its own arrivals, so that they do not depend on the others.
        let mut rng = StdRng::seed_from_u64(seed * 1000 + load.caller as u64);
        let mut at = load.from;
        loop {
            let gap: f64 = -(1.0 - rng.random::<f64>()).ln() / load.per_s;
            at += Duration::from_secs_f64(gap);
            if at >= PLAYED {
                break;
            }
            let id = prompts.len();
            asks.push(Reverse((at, id)));
            prompts.push(Prompt {
                load: i,
                arrived: at,
                first: true,
                id: id as u64,
            });
        }
    }
    let callers = loads.iter().map(|l| l.caller).max().unwrap_or(0) + 1;
    let mut out = Outcome {
        callers: vec![Prompts::default(); callers],
        ..Outcome::default()
    };
    let mut last_slot = vec![UNCOUNTED; callers];
    let mut free_at = Duration::ZERO;
    // Prompts that wait for a slot, by the time at which they began to.
    let mut outstanding: Vec<(Duration, usize)> = Vec::new();
    let mut leaving = StdRng::seed_from_u64(seed);
    for p in prompts.iter().filter(|p| p.arrived >= UNCOUNTED) {
        out.callers[loads[p.load].caller].sent += 1;
    }
    for load in loads {
        last_slot[load.caller] = load.from.max(UNCOUNTED);
    }
    while let Some(Reverse((now, i))) = asks.pop() {
        let load = &loads[prompts[i].load];
        let objective = Duration::from_millis(load.kind.objective_ms);
        let end = prompts[i].arrived + objective;
        let time_left = end.saturating_sub(now).saturating_sub(RUN_DURATION);
        let request = request(load, &prompts[i], time_left);
        let caller = Caller {
            name: format!("caller-{}", load.caller).into(),
            rank: load.kind.rank,
            prompt: prompts[i].id,
            time_left,
        };
        let ask = Ask {
            link: 1,
            caller: (policy == Policy::Fair).then_some(&caller),
            request: &request,
        };
        out.asks += 1;
        let (reply, turn) = match policy {
            Policy::Alone => (prefills.reserve(&request, MEMORY, now), None),
            Policy::Fair | Policy::Unnamed => {
                let decision = shares.reserve(&mut prefills, &ask, MEMORY, now);
                (decision.reply, decision.turn)
            }
        };
        out.most_callers = out.most_callers.max(shares.callers());
        out.most_waiting = out.most_waiting.max(shares.waiting());
        if reply.reserved {
            let begun = outstanding.iter().map(|(at, _)| *at).min();
            let is_counted = now >= UNCOUNTED && now < PLAYED;
            if let Some(begun) = begun.filter(|_| is_counted) {
                out.idle += now.saturating_sub(free_at.max(begun));
            }
            outstanding.retain(|(_, p)| *p != i);
            free_at = now + prefills.probe(&request, now).next_burst;
            let slot = now + reply.wait;
            let cost = prefills.prefill_time(&request, reply.cached).as_secs_f64() * 1000.0;
            let of = &mut out.callers[load.caller];
            if slot >= UNCOUNTED && slot < PLAYED {
                out.granted_ms += cost;
                of.granted_ms += cost;
                let without = slot.saturating_sub(last_slot[load.caller]);
                of.longest_without = of.longest_without.max(without);
                last_slot[load.caller] = slot;
            }
            let is_counted = prompts[i].arrived >= UNCOUNTED;
            of.in_time += u32::from(is_counted && slot + RUN_DURATION <= end);
        } else if reply.wait <= time_left && !time_left.is_zero() {
            outstanding.retain(|(_, p)| *p != i);
            outstanding.push((now, i));
            let was_first = std::mem::replace(&mut prompts[i].first, false);
            if was_first && leaving.random::<f64>() < load.leaves {
                outstanding.retain(|(_, p)| *p != i);
                continue;
            }
            let pause = match (policy, turn) {
                (Policy::Fair, Some(turn)) => turn.retry_in.min(CHECK_INTERVAL),
                _ => CHECK_INTERVAL,
            };
            asks.push(Reverse((now + pause + LINK, i)));
        } else {
            outstanding.retain(|(_, p)| *p != i);
        }
    }
    for (caller, last) in last_slot.iter().enumerate() {
        let of = &mut out.callers[caller];
        of.longest_without = of.longest_without.max(PLAYED.saturating_sub(*last));
    }
    out
}

fn request(load: &Load, prompt: &Prompt, time_left: Duration) -> Request {
    let kind = &load.kind;
    let shared = 1_000_000 + load.caller as u64;
    let max_wait = match kind.urgent_ms {
        Some(_) => time_left.min(MAX_YIELDING_WAIT),
        None => time_left,
    };
    Request {
        model: "m".into(),
        blocks: vec![
            PrefixBlock {
                chain: shared,
                tokens: kind.shared,
            },
            PrefixBlock {
                chain: 2_000_000 + prompt.id,
                tokens: kind.tokens - kind.shared,
            },
        ],
        tokens: kind.tokens,
        max_wait,
        urgent_max_wait: kind.urgent_ms.map(Duration::from_millis),
        pause: Some(Duration::from_millis(500)),
        first: prompt.first,
    }
}
