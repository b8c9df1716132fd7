//! The items of one tier, by deadline, and the tier's claim to its floor share.

use std::time::Duration;

use super::{
    Item,
    TierOptions, //
};

/// A tier saves up its floor share for at most so much work. Without a bound, a tier whose models
/// were all cold for minutes would then shut out the higher ones until it had caught up.
const MAX_CREDIT: Duration = Duration::from_secs(60);

/// Shorter work is let ahead only while this part of the urgent item's run is left to spare.
const SLACK_DIVISOR: u32 = 4;

#[derive(Debug, Clone)]
pub(super) struct TierQueue<K> {
    opts: TierOptions,
    /// Sorted by deadline; equal deadlines in the order of arrival.
    items: Vec<Item<K>>,
    work: Duration,
    credit: Duration,
    inflow: Inflow,
    short_inflow: Inflow,
}

impl<K> TierQueue<K>
where
    K: Copy + Eq,
{
    pub(super) fn new(opts: TierOptions) -> Self {
        Self {
            opts,
            items: Vec::new(),
            work: Duration::ZERO,
            credit: Duration::ZERO,
            inflow: Inflow::default(),
            short_inflow: Inflow::default(),
        }
    }

    pub(super) fn items(&self) -> &[Item<K>] {
        &self.items
    }

    pub(super) fn work(&self) -> Duration {
        self.work
    }

    fn floor_percent(&self) -> u32 {
        u32::from(self.opts.floor_percent.min(100))
    }

    /// The floor share as a part of the engine.
    pub(super) fn floor(&self) -> f64 {
        f64::from(self.floor_percent()) / 100.0
    }

    /// Work admitted lately, in slots: seconds of work a second.
    pub(super) fn inflow(&self, now: Duration) -> f64 {
        self.inflow.at(now)
    }

    /// The part of it that is short.
    pub(super) fn short_inflow(&self, now: Duration) -> f64 {
        self.short_inflow.at(now)
    }

    pub(super) fn is_full(&self) -> bool {
        self.items.len() >= self.opts.max_waiting as usize
    }

    /// Returns where an item with this deadline would stand.
    pub(super) fn index_of(&self, deadline: Duration) -> usize {
        self.items.partition_point(|i| i.deadline <= deadline)
    }

    pub(super) fn insert(&mut self, now: Duration, item: Item<K>, short: bool) {
        self.inflow.add(now, item.expected_run);
        if short {
            self.short_inflow.add(now, item.expected_run);
        }
        let index = self.index_of(item.deadline);
        self.work += item.expected_run;
        self.items.insert(index, item);
    }

    pub(super) fn take(&mut self, index: usize) -> Item<K> {
        let item = self.items.remove(index);
        self.work -= item.expected_run;
        if self.items.is_empty() {
            // A tier with nothing waiting has no claim to save up.
            self.credit = Duration::ZERO;
        }
        item
    }

    pub(super) fn drain_late<F>(&mut self, now: Duration, mut each: F)
    where
        F: FnMut(Item<K>),
    {
        let work = &mut self.work;
        self.items.retain(|item| {
            let keep = item.finishes_in_time(now);
            if !keep {
                *work -= item.expected_run;
                each(*item);
            }
            keep
        });
        if self.items.is_empty() {
            self.credit = Duration::ZERO;
        }
    }

    /// Picks the next item: the earliest deadline, or a shorter one that fits before it.
    ///
    /// Earliest deadline first alone lets a draft of a minute with a near deadline hold up fifty
    /// look-ups. The shortest item goes first if it runs at most half as long (less is not worth
    /// the change of order) and if the one with the earliest deadline stays in time after it, with a quarter of its run to spare: a run is often longer than expected,
    /// and a draft that always starts at the last moment would then always be late.
    pub(super) fn pick<F>(&self, now: Duration, eligible: F) -> Option<usize>
    where
        F: Fn(&Item<K>) -> bool,
    {
        let open = || {
            let all = self.items.iter().enumerate();
            all.filter(|(_, i)| i.finishes_in_time(now) && eligible(i))
        };
        let (first, urgent) = open().next()?;
        let (short, shortest) = open().min_by_key(|(_, i)| i.expected_run)?;
        let slack = urgent.expected_run / SLACK_DIVISOR;
        let shorter = shortest.expected_run * 2 <= urgent.expected_run;
        let fits = shorter && urgent.finishes_in_time(now + shortest.expected_run + slack);
        Some(if fits { short } else { first })
    }

    /// Tells whether the floor share has earned the run of the item at `index`.
    pub(super) fn has_earned(&self, index: usize) -> bool {
        let run = self.items[index].expected_run;
        self.opts.floor_percent > 0 && self.credit >= run.min(MAX_CREDIT)
    }

    pub(super) fn earn(&mut self, run: Duration) {
        let share = run * self.floor_percent() / 100;
        self.credit = (self.credit + share).min(MAX_CREDIT);
    }

    pub(super) fn spend(&mut self, run: Duration) {
        self.credit = self.credit.saturating_sub(run);
    }
}

/// Arrivals older than this count for little. Shorter would take each burst for a trend.
const INFLOW_WINDOW_SECS: f64 = 20.0;

/// A decaying average of work a second.
#[derive(Debug, Clone, Copy, Default)]
struct Inflow {
    value: f64,
    since: Duration,
}

impl Inflow {
    fn at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.since).as_secs_f64();
        self.value * (-age / INFLOW_WINDOW_SECS).exp()
    }

    fn add(&mut self, now: Duration, work: Duration) {
        self.value = self.at(now) + work.as_secs_f64() / INFLOW_WINDOW_SECS;
        self.since = self.since.max(now);
    }
}
