//! The cost of one decision on one core.

use std::{
    hint::black_box,
    time::{
        Duration,
        Instant, //
    },
};

use rand::{
    SeedableRng,
    rngs::StdRng, //
};
use stair_policy::{
    choose::{
        self,
        Candidate, //
    },
    keep_alive::{
        self,
        KeepAlive, //
    },
    load_slots::{
        self,
        LoadSlots, //
    },
    placement::{
        self,
        ExistingGrant,
        Fleet,
        ModelInfo,
        TargetInfo, //
    },
    queue::{
        self,
        Estimate,
        Item,
        Queue,
        TierOptions, //
    },
    retry::Budget,
    traffic_weights::{
        self,
        Outcome,
        TrafficWeights, //
    },
};
use stair_types::{
    ModelKey,
    TargetKey,
    TierRank, //
};

use crate::table::{
    head,
    row, //
};

const ROUNDS: u32 = 20_000;

/// Returns the nanoseconds of one call, the least of five series.
fn nanos<F>(mut call: F) -> f64
where
    F: FnMut(u32),
{
    let mut least = f64::INFINITY;
    for _ in 0..5 {
        let begun = Instant::now();
        (0..ROUNDS).for_each(&mut call);
        let each = begun.elapsed().as_nanos() as f64 / f64::from(ROUNDS);
        least = least.min(each);
    }
    least
}

fn line(decision: &str, size: &str, nanos: f64) {
    row(&[decision.into(), size.into(), format!("{nanos:.0}")]);
}

/// Measures each decision at small and large sizes.
pub(crate) fn decisions() {
    head(
        "Cost of a decision",
        "One core, least of five series of 20,000 calls. The machine was shared with other work.",
        &["decision", "size", "ns"],
    );
    queues();
    choices();
    for (targets, centres) in [(18, 3), (1_000, 11), (12_000, 11)] {
        placements(targets, centres);
    }
    load_slots_cost(30);
    load_slots_cost(430);
    keep_alive_cost(148);
    keep_alive_cost(16_430);
    traffic_weights_cost(18);
    traffic_weights_cost(12_000);
    let mut budget = Budget::new(Default::default());
    let cost = nanos(|_| {
        budget.request();
        black_box(budget.try_retry());
    });
    line("retry: request and try", "-", cost);
    let bytes = size_of::<Item<u32>>();
    println!("\nOne waiting request takes {bytes} bytes in the queue, without its body.");
}

fn queues() {
    let est = Estimate {
        concurrency: 16,
        slot_free_in: Duration::ZERO,
        start_interval: Duration::ZERO,
        ready_in: Duration::ZERO,
    };
    for waiting in [10, 500] {
        let mut q = Queue::new(queue::Options {
            tiers: vec![TierOptions::default(); 3],
            ..queue::Options::default()
        });
        let item = |key: u32| Item {
            key,
            rank: TierRank((key % 3) as u8),
            deadline: Duration::from_secs(100_000) + Duration::from_millis(u64::from(key % 977)),
            arrived: Duration::ZERO,
            expected_run: Duration::from_millis(100 + u64::from(key % 7)),
            bytes: 4_000,
            model: ModelKey(key % 30),
        };
        for key in 0..waiting {
            q.push(Duration::ZERO, item(key), &est);
        }
        let cost = nanos(|n| {
            black_box(q.push(Duration::ZERO, item(n), &est));
            black_box(q.pop(Duration::ZERO, |_| true));
        });
        line("queue: push and pop", &format!("{} waiting", q.len()), cost);
        let cost = nanos(|_| {
            black_box(q.expire(Duration::ZERO));
        });
        line("queue: expire", &format!("{} waiting", q.len()), cost);
    }
}

fn choices() {
    let mut rng = StdRng::seed_from_u64(1);
    for count in [3, 28] {
        let candidate = |k: u32| Candidate {
            key: TargetKey(k),
            loaded: !k.is_multiple_of(3),
            expected_wait: Duration::from_millis(u64::from(k * 37 % 100)),
            report_age: Duration::from_millis(700),
            in_flight: (k % 4) as u16,
            cold_start: Duration::from_secs(20),
            prefix_affinity: k == 1,
            same_data_centre: k % 3 == 1,
            weight: if k == 2 { 0.5 } else { 1.0 },
        };
        let candidates: Vec<_> = (0..count).map(candidate).collect();
        let cost = nanos(|_| {
            black_box(choose::order(&Default::default(), &candidates, &mut rng));
        });
        line("choose", &format!("{count} candidates"), cost);
    }
}

fn placements(targets: u32, centres: u32) {
    let target = |k: u32| TargetInfo {
        key: TargetKey(k),
        name_hash: hash(k),
        data_centre: (k % centres) as u16,
        memory_mib: 80_000,
        granted_mib: u64::from(k % 5) * 10_000,
        live: true,
    };
    let fleet = Fleet::new((0..targets).map(target).collect());
    let opts = placement::Options::default();
    let size = format!("{targets} targets in {centres} data centres");
    let model = |n: u32, grants| ModelInfo {
        name_hash: hash(n + 1_000_000),
        memory_mib: 20_000,
        replicas: 3,
        grants,
    };
    let cost = nanos(|n| {
        black_box(placement::changes(&opts, &fleet, &model(n, &[])));
    });
    line("placement: three new grants", &size, cost);
    let held = [0, 1, 2].map(|k| ExistingGrant {
        target: TargetKey(k),
        revoking: false,
    });
    let cost = nanos(|n| {
        black_box(placement::changes(&opts, &fleet, &model(n, &held)));
    });
    line("placement: nothing to change", &size, cost);
}

fn hash(n: u32) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&n.to_le_bytes())
}

fn load_slots_cost(waiting: u32) {
    let mut t = LoadSlots::new(load_slots::Options {
        loads_per_second: 1e9,
        ..Default::default()
    });
    let request = |t: &mut LoadSlots<u32>, key: u32| {
        let deadline = Duration::from_millis(u64::from(key * 7_919 % 60_000));
        t.request(Duration::ZERO, key, TierRank((key % 3) as u8), deadline);
    };
    (0..waiting).for_each(|key| request(&mut t, key));
    let mut now = Duration::ZERO;
    let cost = nanos(|_| {
        now += Duration::from_nanos(2);
        if let Some(key) = t.next(now) {
            t.done(key);
            request(&mut t, key);
        }
    });
    line(
        "load slots: next, done, request",
        &format!("{waiting} waiting"),
        cost,
    );
}

fn keep_alive_cost(models: u32) {
    let mut keep_alive = KeepAlive::new(keep_alive::Options::default());
    let cost = keep_alive::Cost {
        cold_start: Duration::from_secs(20),
        memory_fraction: 1.0,
    };
    let spent = nanos(|n| {
        let model = ModelKey(n % models);
        let now = Duration::from_secs(u64::from(n));
        keep_alive.used(model, now);
        black_box(keep_alive.idle_until(model, now, &cost));
    });
    line(
        "keep alive: used and idle until",
        &format!("{models} models"),
        spent,
    );
}

fn traffic_weights_cost(targets: u32) {
    let mut s = TrafficWeights::new(traffic_weights::Options::default());
    let latency = Duration::from_millis(100);
    for t in 0..targets {
        s.observe(TargetKey(t), latency, Outcome::Completed);
    }
    let cost = nanos(|n| {
        let target = TargetKey(n.wrapping_mul(7_919) % targets);
        s.observe(target, latency, Outcome::Completed);
        black_box(s.weight(target));
    });
    line(
        "traffic weights: observe and weight",
        &format!("{targets} targets"),
        cost,
    );
}
