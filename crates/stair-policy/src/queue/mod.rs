//! The queue in front of one engine: admission, order and expiry.
//!
//! Requests that cannot finish by their deadline are refused at once: under overload they would take
//! capacity from requests that can, until none finishes in time (congestion collapse). Tiers are served
//! by rank, with a floor share so that the lowest tier is not starved, and within a tier short
//! requests do not wait for long ones.

mod forecast;
mod tier;
mod types;

use std::time::Duration;

use stair_types::{
    ModelKey,
    Reason,
    TierRank, //
};

use tier::TierQueue;
pub use types::{
    Estimate,
    Item,
    Options,
    Outcome,
    TierOptions, //
};

/// The requests that wait in front of one engine.
///
/// Each queued item leaves exactly once: popped, expired, displaced or removed.
#[derive(Debug, Clone)]
pub struct Queue<K> {
    opts: Options,
    tiers: Vec<TierQueue<K>>,
    bytes: u64,
    len: usize,
}

impl<K> Queue<K>
where
    K: Copy + Eq,
{
    /// Creates an empty queue.
    pub fn new(opts: Options) -> Self {
        let tiers = opts.tiers.iter().map(|t| TierQueue::new(*t));
        let mut tiers: Vec<_> = tiers.collect();
        if tiers.is_empty() {
            tiers.push(TierQueue::new(TierOptions::default()));
        }
        Self {
            opts,
            tiers,
            bytes: 0,
            len: 0,
        }
    }

    /// Number of waiting items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Total bytes of the waiting items.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Number of waiting items of a tier.
    pub fn waiting(&self, rank: TierRank) -> usize {
        self.tiers[self.tier_of(rank)].items().len()
    }

    /// Iterates over all waiting items, by tier and deadline.
    pub fn iter(&self) -> impl Iterator<Item = &Item<K>> {
        self.tiers.iter().flat_map(|l| l.items())
    }

    /// Admits an item or refuses it.
    ///
    /// An item is refused when its expected end is after its deadline: running it would spend capacity
    /// on a response that the client no longer uses. It is also refused when it would make an admitted
    /// item of its own tier late. Items of lower tiers may become late: they have less priority.
    pub fn push(&mut self, now: Duration, item: Item<K>, est: &Estimate) -> Outcome<K> {
        let at = self.tier_of(item.rank);
        let lateness = self.lateness(now, at, &item, est);
        if !lateness.is_zero() {
            return Outcome::Refused {
                reason: Reason::WouldMissDeadline,
                retry_after: lateness,
            };
        }
        if self.tiers[at].is_full() {
            return self.refuse_full(now, at, est);
        }
        match self.find_capacity(at, item.bytes) {
            Capacity::Free => {}
            Capacity::None => return self.refuse_full(now, at, est),
            Capacity::Displace(pick) => {
                let displaced = self.take(pick);
                self.insert(now, at, item);
                return Outcome::Queued {
                    displaced: Some(displaced.key),
                };
            }
        }
        self.insert(now, at, item);
        Outcome::Queued { displaced: None }
    }

    /// Removes and returns the item that runs next, among those whose model is ready.
    ///
    /// Items that can no longer finish in time are skipped; [`Queue::expire`] removes them.
    ///
    /// Tiers are served by rank, except that a tier goes first when its floor share has earned the run
    /// of its next item: strict priority alone would starve the lowest tier while higher ones are
    /// busy. Within a tier the earliest deadline goes first, or a shorter item that fits before it.
    pub fn pop<F>(&mut self, now: Duration, ready: F) -> Option<Item<K>>
    where
        F: Fn(ModelKey) -> bool,
    {
        self.pop_where(now, |item| ready(item.model))
    }

    /// As [`Queue::pop`], for short items only.
    ///
    /// An agent reserves some slots for short items and fills them through this call. Otherwise all
    /// slots could be taken by items that run for a minute, and a short item would wait for the first
    /// of them to end, whatever its place in the queue. About an eighth of the slots suffices when short
    /// items are a tenth of the work; more would idle.
    pub fn pop_short<F>(&mut self, now: Duration, ready: F) -> Option<Item<K>>
    where
        F: Fn(ModelKey) -> bool,
    {
        let short = self.opts.short_run;
        self.pop_where(now, |item| item.expected_run <= short && ready(item.model))
    }

    fn pop_where<F>(&mut self, now: Duration, eligible: F) -> Option<Item<K>>
    where
        F: Fn(&Item<K>) -> bool,
    {
        let mut picks = Vec::with_capacity(self.tiers.len());
        for (tier, l) in self.tiers.iter().enumerate() {
            if let Some(index) = l.pick(now, &eligible) {
                picks.push(Position { tier, index });
            }
        }
        let first = *picks.first()?;
        let lower = picks.iter().skip(1);
        let owed = lower
            .copied()
            .find(|p| self.tiers[p.tier].has_earned(p.index));
        let pick = owed.unwrap_or(first);
        let item = self.take(pick);
        self.credit_floor_shares(pick.tier, &picks, item.expected_run);
        Some(item)
    }

    /// Credits each tier that had an eligible item with its floor share of the run just started.
    fn credit_floor_shares(&mut self, served: usize, picks: &[Position], run: Duration) {
        for pick in picks {
            self.tiers[pick.tier].earn(run);
        }
        self.tiers[served].spend(run);
    }

    /// Removes all items that could not finish in time even if they started now, and returns their
    /// keys.
    ///
    /// They are to be refused at once: a response after the deadline is of no use, and a client that is
    /// refused early can still use another service.
    pub fn expire(&mut self, now: Duration) -> Vec<K> {
        let mut expired = Vec::new();
        for tier in &mut self.tiers {
            tier.drain_late(now, |item| {
                self.bytes -= u64::from(item.bytes);
                self.len -= 1;
                expired.push(item.key);
            });
        }
        expired
    }

    /// Returns the time after which [`Queue::expire`] next finds an item, without further events.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.iter()
            .map(|i| i.deadline.saturating_sub(i.expected_run))
            .min()
    }

    /// Removes one item, for instance when its client has disconnected.
    pub fn remove(&mut self, key: K) -> Option<Item<K>> {
        for tier in 0..self.tiers.len() {
            let found = self.tiers[tier].items().iter().position(|i| i.key == key);
            if let Some(index) = found {
                return Some(self.take(Position { tier, index }));
            }
        }
        None
    }

    /// Returns the expected wait for a slot of a short item of a tier that arrives now.
    ///
    /// Entries receive it in reports and choose targets by it.
    pub fn expected_wait(&self, now: Duration, rank: TierRank, est: &Estimate) -> Duration {
        let at = self.tier_of(rank);
        let share = self.share(now, at, false, est);
        let own = self.tiers[at].work().as_secs_f64();
        let short = self.opts.short_run.as_secs_f64();
        let ahead: usize = self.tiers[..=at].iter().map(|t| t.items().len()).sum();
        let spacing = est.start_interval * u32::try_from(ahead).unwrap_or(u32::MAX);
        let wait = forecast::bounded(self.wait_behind(at, own, short, &share));
        est.slot_free_in + wait.max(spacing)
    }

    /// Finds capacity for an item, or the item to displace for it: the one of the lowest tier with the
    /// latest deadline and enough bytes, which is the most likely to be late in any case.
    ///
    /// An item never displaces one of its own tier, since an admitted item has been promised to run.
    fn find_capacity(&self, at: usize, bytes: u32) -> Capacity {
        let bytes_left = self.opts.max_bytes.saturating_sub(self.bytes);
        let missing = u64::from(bytes).saturating_sub(bytes_left);
        if missing == 0 && self.len < self.opts.max_requests as usize {
            return Capacity::Free;
        }
        for tier in (at + 1..self.tiers.len()).rev() {
            let items = self.tiers[tier].items();
            let found = items.iter().rposition(|i| u64::from(i.bytes) >= missing);
            if let Some(index) = found {
                return Capacity::Displace(Position { tier, index });
            }
        }
        Capacity::None
    }

    fn insert(&mut self, now: Duration, at: usize, item: Item<K>) {
        self.bytes += u64::from(item.bytes);
        self.len += 1;
        let short = item.expected_run <= self.opts.short_run;
        self.tiers[at].insert(now, item, short);
    }

    fn take(&mut self, pick: Position) -> Item<K> {
        let item = self.tiers[pick.tier].take(pick.index);
        self.bytes -= u64::from(item.bytes);
        self.len -= 1;
        item
    }

    fn tier_of(&self, rank: TierRank) -> usize {
        usize::from(rank.0).min(self.tiers.len() - 1)
    }
}

/// The position of a waiting item: the index of its tier and its index within the tier.
#[derive(Debug, Clone, Copy)]
struct Position {
    tier: usize,
    index: usize,
}

/// The capacity of a queue for one more item.
enum Capacity {
    Free,
    /// Capacity after the item at this position is displaced.
    Displace(Position),
    None,
}
