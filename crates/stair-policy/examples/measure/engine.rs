//! One engine with a few slots, and the queue in front of it.

use std::collections::VecDeque;

use stair_policy::queue::{
    Estimate,
    Item,
    Options,
    Outcome,
    Queue, //
};
use stair_types::{
    ModelKey,
    TierRank, //
};

use crate::table::{
    Samples,
    secs, //
};

/// One request of a scenario. Times are in seconds.
#[derive(Clone, Copy)]
pub(crate) struct Job {
    pub(crate) rank: u8,
    pub(crate) arrived: f64,
    pub(crate) timeout: f64,
    pub(crate) expected_run: f64,
    pub(crate) run: f64,
}

impl Job {
    fn deadline(&self) -> f64 {
        self.arrived + self.timeout
    }
}

/// The queueing discipline.
#[derive(Clone)]
pub(crate) enum Discipline {
    /// First come, first served; [`FIFO_BOUND`] may wait.
    Fifo,
    /// The same, but requests are not started after their deadline.
    FifoDropLate,
    /// The queue under test, with `short_slots` slots reserved for short requests.
    Queue { opts: Options, short_slots: usize },
}

/// The results of one class of requests.
pub(crate) struct ClassResults {
    pub(crate) offered: u64,
    pub(crate) in_time: u64,
    pub(crate) refused: u64,
    /// From arrival to start, of those that ran.
    pub(crate) wait: Samples,
    /// From arrival to refusal, of those that did not run.
    pub(crate) refused_after: Samples,
}

impl ClassResults {
    fn new() -> Self {
        Self {
            offered: 0,
            in_time: 0,
            refused: 0,
            wait: Samples::new(),
            refused_after: Samples::new(),
        }
    }
}

/// The results of a run.
pub(crate) struct Report {
    pub(crate) by_class: Vec<ClassResults>,
    /// Slot seconds spent on responses in time.
    pub(crate) useful: f64,
    /// Slot seconds spent on responses after the deadline.
    pub(crate) wasted: f64,
    /// Seconds until the last request ended.
    pub(crate) span: f64,
}

const FIFO_BOUND: usize = 512;

struct Slot {
    free_at: f64,
    expected_free_at: f64,
}

struct Engine<'a> {
    jobs: &'a [Job],
    classes: &'a dyn Fn(&Job) -> usize,
    slots: Vec<Slot>,
    now: f64,
    report: Report,
}

/// Runs the jobs, which are sorted by arrival, and returns the results by class.
pub(crate) fn run(
    jobs: &[Job],
    slots: usize,
    discipline: &Discipline,
    class_count: usize,
    classes: &dyn Fn(&Job) -> usize,
) -> Report {
    let idle = || Slot {
        free_at: 0.0,
        expected_free_at: 0.0,
    };
    let mut engine = Engine {
        jobs,
        classes,
        slots: (0..slots).map(|_| idle()).collect(),
        now: -1.0,
        report: Report {
            by_class: (0..class_count).map(|_| ClassResults::new()).collect(),
            useful: 0.0,
            wasted: 0.0,
            span: jobs.last().map_or(0.0, |j| j.arrived),
        },
    };
    match discipline {
        Discipline::Fifo => engine.fifo(false),
        Discipline::FifoDropLate => engine.fifo(true),
        Discipline::Queue { opts, short_slots } => engine.queue(opts, *short_slots),
    }
    engine.report
}

impl Engine<'_> {
    fn fifo(&mut self, drop_late: bool) {
        let mut waiting: VecDeque<usize> = VecDeque::new();
        let mut next = 0;
        while let Some(now) = self.next_event(next, !waiting.is_empty()) {
            while next < self.jobs.len() && self.jobs[next].arrived <= now {
                match waiting.len() < FIFO_BOUND {
                    true => waiting.push_back(next),
                    false => self.refuse(next, now),
                }
                next += 1;
            }
            while let (Some(slot), false) = (self.free_slot(now), waiting.is_empty()) {
                let Some(job) = waiting.pop_front() else {
                    break;
                };
                match drop_late && now > self.jobs[job].deadline() {
                    true => self.refuse(job, now),
                    false => self.start(slot, job, now),
                }
            }
        }
    }

    fn queue(&mut self, opts: &Options, short_slots: usize) {
        let mut queue: Queue<usize> = Queue::new(opts.clone());
        let mut next = 0;
        while let Some(now) = self.next_event(next, !queue.is_empty()) {
            for job in queue.expire(secs(now)) {
                self.refuse(job, now);
            }
            while next < self.jobs.len() && self.jobs[next].arrived <= now {
                let long = secs(self.jobs[next].expected_run) > opts.short_run;
                let kept = if long { short_slots } else { 0 };
                let estimate = self.estimate(now, kept);
                match queue.push(secs(now), item(&self.jobs[next], next), &estimate) {
                    Outcome::Queued { displaced: None } => {}
                    Outcome::Queued {
                        displaced: Some(job),
                    } => self.refuse(job, now),
                    Outcome::Refused { .. } => self.refuse(next, now),
                }
                next += 1;
            }
            while let Some(slot) = self.free_slot(now) {
                let free = self.slots.iter().filter(|s| s.free_at <= now).count();
                let popped = match free > short_slots {
                    true => queue.pop(secs(now), |_| true),
                    false => queue.pop_short(secs(now), |_| true),
                };
                let Some(item) = popped else {
                    break;
                };
                self.start(slot, item.key, now);
            }
        }
    }

    fn estimate(&self, now: f64, kept: usize) -> Estimate {
        let free = self.slots.iter().map(|s| s.expected_free_at);
        let first = free.fold(f64::INFINITY, f64::min);
        Estimate {
            concurrency: (self.slots.len() - kept) as u16,
            slot_free_in: secs(first - now),
            start_interval: secs(0.0),
            ready_in: secs(0.0),
        }
    }

    /// Advances the time to the next arrival, or, while requests wait, to the next free slot.
    fn next_event(&mut self, next: usize, waiting: bool) -> Option<f64> {
        let now = self.now;
        let busy = self.slots.iter().map(|s| s.free_at).filter(|t| *t > now);
        let free = busy.fold(f64::INFINITY, f64::min);
        let arrival = self.jobs.get(next).map_or(f64::INFINITY, |j| j.arrived);
        let event = match waiting {
            true => arrival.min(free),
            false => arrival,
        };
        self.now = event;
        event.is_finite().then_some(event)
    }

    fn free_slot(&self, now: f64) -> Option<usize> {
        self.slots.iter().position(|s| s.free_at <= now)
    }

    fn start(&mut self, slot: usize, job: usize, now: f64) {
        let j = self.jobs[job];
        self.slots[slot] = Slot {
            free_at: now + j.run,
            expected_free_at: now + j.expected_run,
        };
        self.report.span = self.report.span.max(now + j.run);
        let in_time = now + j.run <= j.deadline();
        match in_time {
            true => self.report.useful += j.run,
            false => self.report.wasted += j.run,
        }
        let results = &mut self.report.by_class[(self.classes)(&j)];
        results.offered += 1;
        results.in_time += u64::from(in_time);
        results.wait.add(now - j.arrived);
    }

    fn refuse(&mut self, job: usize, now: f64) {
        let j = &self.jobs[job];
        let results = &mut self.report.by_class[(self.classes)(j)];
        results.offered += 1;
        results.refused += 1;
        results.refused_after.add(now - j.arrived);
    }
}

fn item(job: &Job, key: usize) -> Item<usize> {
    Item {
        key,
        rank: TierRank(job.rank),
        deadline: secs(job.deadline()),
        arrived: secs(job.arrived),
        expected_run: secs(job.expected_run),
        bytes: 4_000,
        model: ModelKey(0),
    }
}
