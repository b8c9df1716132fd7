//! Loads from a weight store that slows down.

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use stair_policy::load_slots::{
    LoadSlots, //
    Options,
};
use stair_types::TierRank;

use crate::table::{
    Samples,
    exponential,
    head,
    percent,
    row,
    secs, //
};

const FULL_SPEED: usize = 4;
const STEP: f64 = 0.01;

#[derive(Clone, Copy)]
struct Load {
    rank: u8,
    asked: f64,
    timeout: f64,
    /// Remaining seconds of the load at full speed.
    left: f64,
    finished: Option<f64>,
}

#[derive(Clone, Copy, PartialEq)]
enum Order {
    AllAtOnce,
    FirstCome,
    LoadSlots,
}

/// Speed of each running load: [`FULL_SPEED`] loads run at full speed, more loads share it.
fn speed(running: usize, slow: bool) -> f64 {
    let shared = FULL_SPEED as f64 / running.max(FULL_SPEED) as f64;
    match slow {
        true => shared / 10.0,
        false => shared,
    }
}

fn cold_starts(models: usize, rate: f64) -> Vec<Load> {
    let mut rng = StdRng::seed_from_u64(21);
    let mut now = 1.0;
    let mut loads = Vec::new();
    for _ in 0..models {
        now += exponential(&mut rng, 2.0 / models as f64);
        let (rank, timeout) = match rng.random_range(0..10) {
            0..2 => (0, 10.0),
            2..5 => (1, 30.0),
            _ => (2, 120.0),
        };
        loads.push(Load {
            rank,
            asked: now,
            timeout,
            left: FULL_SPEED as f64 / rate,
            finished: None,
        });
    }
    loads
}

fn run(loads: &mut [Load], rate: f64, order: Order, slow_until: f64) -> f64 {
    let mut load_slots: LoadSlots<usize> = LoadSlots::new(Options {
        loads_per_second: rate,
        full_speed_loads: FULL_SPEED as u16,
        ..Options::default()
    });
    let mut running: Vec<usize> = Vec::new();
    let mut asked = 0;
    let mut started = 0;
    let mut now = 0.0;
    while loads.iter().any(|l| l.finished.is_none()) {
        now += STEP;
        while asked < loads.len() && loads[asked].asked <= now {
            let l = &loads[asked];
            load_slots.request(
                secs(now),
                asked,
                TierRank(l.rank),
                secs(l.asked + l.timeout),
            );
            asked += 1;
        }
        match order {
            Order::AllAtOnce => running.extend(started..asked),
            Order::FirstCome => {
                while started < asked && running.len() < FULL_SPEED {
                    running.push(started);
                    started += 1;
                }
            }
            Order::LoadSlots => {
                running.iter().for_each(|l| {
                    load_slots.renew(secs(now), *l);
                });
                running.extend(load_slots.next(secs(now)));
            }
        }
        started = started.max(if order == Order::AllAtOnce { asked } else { 0 });
        let progress = STEP * speed(running.len(), now < slow_until);
        running.retain(|i| {
            let l = &mut loads[*i];
            l.left -= progress;
            if l.left <= 0.0 {
                l.finished = Some(now);
                load_slots.done(*i);
            }
            l.finished.is_none()
        });
    }
    now
}

/// All models of a small fleet start cold within two seconds, with and without a slow store.
pub(crate) fn bursts() {
    head(
        "Loads from the weight store",
        "30 models start cold within 2 s; tiers 0/1/2 are 20/30/50% of them, with 10/30/120 s until the \
         deadline of the first request. The store runs 4 loads at full speed and slows each down \
         when there are more. Slow: a tenth of the speed for the first 20 s. Cold start in seconds, \
         p50/p95/p99.",
        &[
            "store",
            "order",
            "all loaded after",
            "tier",
            "loaded in time",
            "cold start",
        ],
    );
    let orders = [
        ("all at once (baseline)", Order::AllAtOnce),
        ("first come, 4 at once", Order::FirstCome),
        ("load slots", Order::LoadSlots),
    ];
    for rate in [1.5, 4.0] {
        for slow_until in [0.0, 20.0] {
            for (name, order) in orders {
                let mut loads = cold_starts(30, rate);
                let end = run(&mut loads, rate, order, slow_until);
                let slow = if slow_until > 0.0 { ", slow" } else { "" };
                print(&format!("{rate}/s{slow}"), name, end, &loads);
            }
        }
    }
}

fn print(store: &str, name: &str, end: f64, loads: &[Load]) {
    for rank in 0..3 {
        let mut times = Samples::new();
        let mut in_time = 0.0;
        for l in loads.iter().filter(|l| l.rank == rank) {
            let took = l.finished.unwrap_or(f64::INFINITY) - l.asked;
            times.add(took);
            in_time += f64::from(u8::from(took <= l.timeout));
        }
        row(&[
            store.into(),
            name.into(),
            format!("{end:.1} s"),
            format!("{rank}"),
            percent(in_time, times.len() as f64),
            times.cell(),
        ]);
    }
}
