//! The queue in front of one engine: admission, order and expiry.
//!
//! The load it is made for: more work than the engine can finish, in three or so tiers, with
//! long drafts and short look-ups mixed. The harms it prevents: work that is accepted and then
//! finished too late, which takes capacity from work that could have been in time until nothing
//! is (congestion collapse); paid priority that is ignored; a lowest tier that never runs; short
//! work that waits behind long work.

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
/// Each pushed item leaves exactly once: popped, expired, displaced or removed.
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
    /// Makes an empty queue.
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

    /// Number of items that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Bytes held by the items that wait.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Number of items of a tier that wait.
    pub fn waiting(&self, rank: TierRank) -> usize {
        self.tiers[self.tier_of(rank)].items().len()
    }

    /// Iterates over all items that wait, by tier and deadline.
    pub fn iter(&self) -> impl Iterator<Item = &Item<K>> {
        self.tiers.iter().flat_map(|l| l.items())
    }

    /// Admits an item or refuses it.
    ///
    /// An item is refused when its expected finish lies after its deadline: running it would
    /// spend capacity on an answer that nobody uses. It is refused as well when it would make an
    /// item of its own tier late that was admitted before; a higher tier may do that to a lower
    /// one, since that is what it pays for.
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

    /// Takes the item that runs next, among those whose model is ready.
    ///
    /// Items that are too late are passed over; [`Queue::expire`] takes them out.
    ///
    /// Tiers are served by rank, except that a tier whose floor share has earned the run of its
    /// own next item goes first: strict priority alone would starve the lowest tier for as long
    /// as the higher ones are busy. Within a tier see [`Queue::pop_short`].
    pub fn pop<F>(&mut self, now: Duration, ready: F) -> Option<Item<K>>
    where
        F: Fn(ModelKey) -> bool,
    {
        self.pop_where(now, |item| ready(item.model))
    }

    /// As [`Queue::pop`], for short work only.
    ///
    /// An agent keeps some of its slots for short work and fills them through this call. When all
    /// slots may be taken by drafts of a minute, a look-up waits for the first of them to end,
    /// however it is ordered in the queue; slots of its own bound that wait to the run of other
    /// look-ups. About an eighth of the slots covers short work that is a tenth of all; more would
    /// idle.
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

    /// Gives each tier that could have run its floor share of the work just started.
    fn credit_floor_shares(&mut self, served: usize, picks: &[Position], run: Duration) {
        for pick in picks {
            self.tiers[pick.tier].earn(run);
        }
        self.tiers[served].spend(run);
    }

    /// Takes out all items that can no longer finish in time, even if they started now.
    ///
    /// They are to be told at once: a caller that knows early can still turn elsewhere, and an
    /// answer after the deadline is worth nothing.
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

    /// Returns when [`Queue::expire`] will next find an item, if nothing else happens.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.iter()
            .map(|i| i.deadline.saturating_sub(i.expected_run))
            .min()
    }

    /// Takes out one item, such as that of a caller who left.
    pub fn remove(&mut self, key: K) -> Option<Item<K>> {
        for tier in 0..self.tiers.len() {
            let found = self.tiers[tier].items().iter().position(|i| i.key == key);
            if let Some(index) = found {
                return Some(self.take(Position { tier, index }));
            }
        }
        None
    }

    /// Returns how long a short item of a tier that arrived now would wait for a slot.
    ///
    /// Reported to the entries, which choose a target by it.
    pub fn expected_wait(&self, now: Duration, rank: TierRank, est: &Estimate) -> Duration {
        let at = self.tier_of(rank);
        let share = self.share(now, at, false, est);
        let own = self.tiers[at].work().as_secs_f64();
        let short = self.opts.short_run.as_secs_f64();
        est.slot_free_in + forecast::bounded(self.wait_behind(at, own, short, &share))
    }

    /// Finds room for an item, at the cost of the latest deadline of the lowest tier if need be.
    ///
    /// That item is the one most likely to be late in any case, and its tier paid least. An item
    /// never displaces one of its own tier: the earlier admission is a promise.
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

/// Where an item stands.
#[derive(Debug, Clone, Copy)]
struct Position {
    tier: usize,
    index: usize,
}

enum Capacity {
    Free,
    Displace(Position),
    None,
}
