//! One engine beyond its capacity, and long requests mixed with short ones.

use std::time::Duration;

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use stair_policy::queue::{
    Options,
    TierOptions, //
};

use crate::{
    engine::{
        ClassResults,
        Discipline,
        Job,
        Report,
        run, //
    },
    table::{
        exponential,
        head,
        percent,
        row, //
    },
};

const SLOTS: usize = 16;
const SPAN: f64 = 900.0;

fn options(floors: &[u8], slack_percent: u16) -> Options {
    let tier = |floor_percent: &u8| TierOptions {
        max_waiting: 256,
        floor_percent: *floor_percent,
    };
    Options {
        max_requests: 512,
        max_bytes: 64 * 1024 * 1024,
        short_run: Duration::from_secs(1),
        slack_percent,
        tiers: floors.iter().map(tier).collect(),
    }
}

/// Returns the actual run: the expected one with an error of up to 30%.
fn actual(rng: &mut StdRng, expected: f64) -> f64 {
    expected * rng.random_range(0.7..1.3)
}

fn tier_jobs(load: f64) -> Vec<Job> {
    const MEAN_RUN: f64 = 2.0;
    let mut rng = StdRng::seed_from_u64(11);
    let rate = load * SLOTS as f64 / MEAN_RUN;
    let mut now = 0.0;
    let mut jobs = Vec::new();
    while now < SPAN {
        now += exponential(&mut rng, 1.0 / rate);
        let (rank, timeout) = match rng.random_range(0..10) {
            0..2 => (0, 10.0),
            2..5 => (1, 20.0),
            _ => (2, 30.0),
        };
        let expected_run = exponential(&mut rng, MEAN_RUN).clamp(0.1, 8.0);
        jobs.push(Job {
            rank,
            arrived: now,
            timeout,
            expected_run,
            run: actual(&mut rng, expected_run),
        });
    }
    jobs
}

/// Three tiers at 0.9, 1.5 and 3 times the capacity.
pub(crate) fn tiers() {
    head(
        "Saturation with three tiers",
        "One engine of 16 slots, runs of 2 s in the mean (estimates wrong by up to 30%), 15 minutes; \
         20/30/50% of the requests in tiers 0/1/2 with timeouts of 10/20/30 s. Goodput is the slot \
         time spent on responses in time, against all slot time. Times in seconds, p50/p95/p99.",
        &[
            "load",
            "discipline",
            "goodput",
            "wasted",
            "tier",
            "in time",
            "refused",
            "wait",
            "refused after",
        ],
    );
    let candidates = [
        ("FCFS (baseline)", Discipline::Fifo),
        ("FCFS, late ones not run", Discipline::FifoDropLate),
        ("queue, no floors, no slack", queue(&[0, 0, 0], 0, 0)),
        ("queue, no floors", queue(&[0, 0, 0], 25, 0)),
        ("queue, floors 0/10/5%", queue(&[0, 10, 5], 25, 0)),
    ];
    for load in [0.9, 1.5, 3.0] {
        let jobs = tier_jobs(load);
        for (name, discipline) in &candidates {
            let report = run(&jobs, SLOTS, discipline, 3, &|j| usize::from(j.rank));
            print(&format!("{load}"), name, &report, &["0", "1", "2"]);
        }
    }
}

fn queue(floors: &[u8], spare: u16, short_slots: usize) -> Discipline {
    Discipline::Queue {
        opts: options(floors, spare),
        short_slots,
    }
}

fn mix_jobs(load: f64) -> Vec<Job> {
    const DRAFT_RUN: f64 = 30.0;
    const LOOK_UP_RUN: f64 = 0.2;
    let mut rng = StdRng::seed_from_u64(12);
    // Nine tenths of the work are long requests, nine tenths of the requests short ones.
    let work = 0.06 * DRAFT_RUN + 0.94 * LOOK_UP_RUN;
    let rate = load * SLOTS as f64 / work;
    let mut now = 0.0;
    let mut jobs = Vec::new();
    while now < SPAN * 2.0 {
        now += exponential(&mut rng, 1.0 / rate);
        let draft = rng.random_range(0..100) < 6;
        let (expected_run, timeout) = match draft {
            true => (DRAFT_RUN, 180.0),
            false => (LOOK_UP_RUN, 2.0),
        };
        jobs.push(Job {
            rank: 0,
            arrived: now,
            timeout,
            expected_run,
            run: actual(&mut rng, expected_run),
        });
    }
    jobs
}

/// Long requests of 30 s and short ones of 0.2 s in one tier.
pub(crate) fn mix() {
    head(
        "Long and short requests in one tier",
        "One engine of 16 slots, 30 minutes; 6% long requests of 30 s (timeout 180 s), 94% short ones of \
         0.2 s (timeout 2 s); long requests are nine tenths of the work.",
        &[
            "load",
            "discipline",
            "goodput",
            "wasted",
            "work",
            "in time",
            "refused",
            "wait",
            "refused after",
        ],
    );
    let candidates = [
        ("FCFS (baseline)", Discipline::Fifo),
        ("FCFS, late ones not run", Discipline::FifoDropLate),
        ("queue, no slack", queue(&[0], 0, 0)),
        ("queue, slack 25%", queue(&[0], 25, 0)),
        ("queue, slack 50%", queue(&[0], 50, 0)),
        (
            "queue, slack 25%, 1 slot for short requests",
            queue(&[0], 25, 1),
        ),
        (
            "queue, slack 25%, 2 slots for short requests",
            queue(&[0], 25, 2),
        ),
    ];
    for load in [0.8, 1.5] {
        let jobs = mix_jobs(load);
        for (name, discipline) in &candidates {
            let class = |j: &Job| usize::from(j.expected_run < 1.0);
            let report = run(&jobs, SLOTS, discipline, 2, &class);
            print(&format!("{load}"), name, &report, &["long", "short"]);
        }
    }
}

fn print(load: &str, name: &str, report: &Report, classes: &[&str]) {
    let whole = report.span * SLOTS as f64;
    for (class, results) in classes.iter().zip(&report.by_class) {
        row(&[
            load.into(),
            name.into(),
            percent(report.useful, whole),
            percent(report.wasted, whole),
            (*class).into(),
            share(results.in_time, results),
            share(results.refused, results),
            results.wait.cell(),
            results.refused_after.cell(),
        ]);
    }
}

fn share(part: u64, results: &ClassResults) -> String {
    percent(part as f64, results.offered as f64)
}
