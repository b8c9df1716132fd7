//! The waiting items of one tier by deadline, and the tier's credit from its floor share.

use std::time::Duration;

use super::{
    Item,
    TierOptions, //
};

/// Limit of a tier's credit. Without it, a tier whose models were all cold for minutes would then
/// block the higher tiers until it had used up its credit.
const MAX_CREDIT: Duration = Duration::from_secs(60);

/// A shorter item goes first only if the urgent item still has its run divided by this as slack.
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

    /// The floor share as a fraction of the engine.
    pub(super) fn floor(&self) -> f64 {
        f64::from(self.floor_percent()) / 100.0
    }

    /// Average rate of recently admitted work, in slots: seconds of work per second.
    pub(super) fn inflow(&self, now: Duration) -> f64 {
        self.inflow.at(now)
    }

    /// The rate of short items alone.
    pub(super) fn short_inflow(&self, now: Duration) -> f64 {
        self.short_inflow.at(now)
    }

    pub(super) fn is_full(&self) -> bool {
        self.items.len() >= self.opts.max_waiting as usize
    }

    /// Returns the index at which an item with this deadline is inserted.
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
            // An empty tier does not accumulate credit.
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

    /// Picks the next item: the one with the earliest deadline, or a shorter one that fits before it.
    ///
    /// With the earliest deadline alone, one item that runs for a minute could delay fifty short ones. The
    /// shortest item goes first if it runs at most half as long (a smaller gain is not worth the change
    /// of order) and if the item with the earliest deadline can then still finish in time, with a
    /// quarter of its run as slack. Runs are often longer than expected, and an item that always
    /// starts at the last moment would then always be late.
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

    /// Whether the floor share has earned the run of the item at `index`.
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

/// Time constant of the arrival averages. A shorter one would treat each burst as a trend.
const INFLOW_WINDOW_SECS: f64 = 20.0;

/// A decaying average of the work that arrives per second.
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
