//! The queue in front of one engine: admission, order and expiry.
//!
//! The load it is made for: more work than the engine can finish, in three or so tiers, with
//! long drafts and short look-ups mixed. The harms it prevents: work that is accepted and then
//! finished too late, which takes capacity from work that could have been in time until nothing
//! is (congestion collapse); paid priority that is ignored; a lowest tier that never runs; short
//! work that waits behind long work.

mod tier;

use std::time::Duration;

use stair_types::{
    ModelKey,
    Reason,
    TierRank, //
};

use tier::Lane;

/// Bounds of one queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Requests that may wait. Bounds the memory of the process and the time of one decision,
    /// which walks the queue.
    pub max_requests: u32,
    /// Bytes of bodies that may wait. A few large bodies would otherwise exhaust the agent's
    /// memory long before `max_requests`.
    pub max_bytes: u64,
    /// Work expected to run no longer than this is short.
    pub short_run: Duration,
    /// One entry a tier, by rank. A rank beyond the last uses the last.
    pub tiers: Vec<TierOptions>,
}

/// Bounds of one tier within a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TierOptions {
    /// Requests of this tier that may wait. Keeps a burst of one tier from filling the queue.
    pub max_waiting: u32,
    /// Share of the work that the tier gets at least while it has any waiting, in percent.
    pub floor_percent: u8,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_requests: 512,
            max_bytes: 64 * 1024 * 1024,
            short_run: Duration::from_secs(1),
            tiers: vec![TierOptions::default()],
        }
    }
}

impl Default for TierOptions {
    fn default() -> Self {
        Self {
            max_waiting: 256,
            floor_percent: 5,
        }
    }
}

/// One request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Item<K> {
    /// The caller's handle of the request.
    pub key: K,
    /// The rank of its tier.
    pub rank: TierRank,
    /// When it must be finished.
    pub deadline: Duration,
    /// When it arrived.
    pub arrived: Duration,
    /// How long it is expected to hold a slot.
    pub expected_run: Duration,
    /// Bytes that it holds while it waits.
    pub bytes: u32,
    /// The model that it needs.
    pub model: ModelKey,
}

impl<K> Item<K> {
    /// Tells whether the item could still finish in time if it started at `start`.
    fn makes_it(&self, start: Duration) -> bool {
        start + self.expected_run <= self.deadline
    }
}

/// What the engine is expected to do, as seen at the time of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Estimate {
    /// Requests that the engine runs at once; 0 counts as 1.
    pub concurrency: u16,
    /// Time until a slot is free; zero when one is free now.
    pub slot_free_in: Duration,
    /// Time until the item's model can run, such as the rest of a cold start. It passes while
    /// the item waits, so it is not added to the wait in the queue.
    pub ready_in: Duration,
}

impl Estimate {
    fn slots(&self) -> u32 {
        u32::from(self.concurrency.max(1))
    }
}

/// What became of a pushed item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome<K> {
    /// It waits.
    Queued {
        /// A waiting item of a lower tier that had to go. It has not run and is to be told now.
        displaced: Option<K>,
    },
    /// It does not wait, and has not run.
    Refused {
        /// Why.
        reason: Reason,
        /// After how long it would be admitted if nothing else arrived. Spread it by
        /// [`backoff::retry_after`](crate::backoff::retry_after) before a caller sees it.
        retry_after: Duration,
    },
}

/// The requests that wait in front of one engine.
///
/// Each pushed item leaves exactly once: popped, expired, displaced or removed.
#[derive(Debug, Clone)]
pub struct Queue<K> {
    opts: Options,
    lanes: Vec<Lane<K>>,
    bytes: u64,
    len: usize,
}

impl<K> Queue<K>
where
    K: Copy + Eq,
{
    /// Makes an empty queue.
    pub fn new(opts: Options) -> Self {
        let lanes = opts.tiers.iter().map(|t| Lane::new(*t));
        let mut lanes: Vec<_> = lanes.collect();
        if lanes.is_empty() {
            lanes.push(Lane::new(TierOptions::default()));
        }
        Self {
            opts,
            lanes,
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
        self.lanes[self.lane_of(rank)].items().len()
    }

    /// Iterates over all items that wait, by tier and deadline.
    pub fn iter(&self) -> impl Iterator<Item = &Item<K>> {
        self.lanes.iter().flat_map(|l| l.items())
    }

    /// Admits an item or refuses it.
    ///
    /// An item is refused when its expected finish lies after its deadline: running it would
    /// spend capacity on an answer that nobody uses. It is refused as well when it would make an
    /// item of its own tier late that was admitted before; a higher tier may do that to a lower
    /// one, since that is what it pays for.
    pub fn push(&mut self, now: Duration, item: Item<K>, est: &Estimate) -> Outcome<K> {
        let at = self.lane_of(item.rank);
        let late_by = self.late_by(now, at, &item, est);
        if !late_by.is_zero() {
            return Outcome::Refused {
                reason: Reason::WouldMissDeadline,
                retry_after: late_by,
            };
        }
        if self.lanes[at].is_full() {
            return self.refuse_full(at, est);
        }
        match self.make_room(at, item.bytes) {
            Room::Free => {}
            Room::None => return self.refuse_full(at, est),
            Room::Displace { lane, index } => {
                let displaced = self.take(lane, index);
                self.insert(at, item);
                return Outcome::Queued {
                    displaced: Some(displaced.key),
                };
            }
        }
        self.insert(at, item);
        Outcome::Queued { displaced: None }
    }

    /// Takes the item that runs next, among those whose model is ready.
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
    /// An agent keeps one of its slots for short work and fills it through this call. When all
    /// slots may be taken by drafts of a minute, a look-up waits for the first of them to end,
    /// however it is ordered in the queue; one slot bounds that wait to the run of other
    /// look-ups. One is enough, because short work leaves its slot soon; more would idle.
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
        let mut picks = Vec::with_capacity(self.lanes.len());
        for (lane, l) in self.lanes.iter().enumerate() {
            if let Some(index) = l.pick(now, &eligible) {
                picks.push((lane, index));
            }
        }
        let first = *picks.first()?;
        let owed = picks.iter().skip(1).find(|p| self.lanes[p.0].is_owed(p.1));
        let (lane, index) = owed.copied().unwrap_or(first);
        let item = self.take(lane, index);
        self.account(lane, &picks, item.expected_run);
        Some(item)
    }

    /// Gives each tier that could have run its floor share of the work just started.
    fn account(&mut self, served: usize, picks: &[(usize, usize)], run: Duration) {
        for (lane, _) in picks {
            self.lanes[*lane].earn(run);
        }
        self.lanes[served].spend(run);
    }

    /// Takes out all items that can no longer finish in time, even if they started now.
    ///
    /// They are to be told at once: a caller that knows early can still turn elsewhere, and an
    /// answer after the deadline is worth nothing.
    pub fn expire(&mut self, now: Duration) -> Vec<K> {
        let mut gone = Vec::new();
        for lane in &mut self.lanes {
            lane.drain_late(now, |item| {
                self.bytes -= u64::from(item.bytes);
                self.len -= 1;
                gone.push(item.key);
            });
        }
        gone
    }

    /// Returns when [`Queue::expire`] will next find an item, if nothing else happens.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.iter()
            .map(|i| i.deadline.saturating_sub(i.expected_run))
            .min()
    }

    /// Takes out one item, such as that of a caller who left.
    pub fn remove(&mut self, key: K) -> Option<Item<K>> {
        for lane in 0..self.lanes.len() {
            let found = self.lanes[lane].items().iter().position(|i| i.key == key);
            if let Some(index) = found {
                return Some(self.take(lane, index));
            }
        }
        None
    }

    /// Returns how long an item of a tier that arrived now would wait for a slot.
    ///
    /// Reported to the entries, which choose a target by it.
    pub fn expected_wait(&self, rank: TierRank, est: &Estimate) -> Duration {
        let at = self.lane_of(rank);
        est.slot_free_in + self.wait_behind(at, self.lanes[at].work(), est)
    }

    /// Returns how late the item, or one of its tier behind it, would be; zero when none is.
    fn late_by(&self, now: Duration, at: usize, item: &Item<K>, est: &Estimate) -> Duration {
        let lane = &self.lanes[at];
        let index = lane.index_of(item.deadline);
        let mut ahead: Duration = lane.items()[..index].iter().map(|i| i.expected_run).sum();
        let start = |ahead| now + est.slot_free_in + self.wait_behind(at, ahead, est);
        let own_start = start(ahead).max(now + est.ready_in);
        let mut late = (own_start + item.expected_run).saturating_sub(item.deadline);
        ahead += item.expected_run;
        for behind in &lane.items()[index..] {
            // An item that is late anyway is not a reason to refuse another.
            let before = start(ahead.saturating_sub(item.expected_run));
            if behind.makes_it(before) {
                let finish = start(ahead) + behind.expected_run;
                late = late.max(finish.saturating_sub(behind.deadline));
            }
            ahead += behind.expected_run;
        }
        late
    }

    /// Returns the wait behind `own` work of a tier's own and all work of higher tiers.
    ///
    /// Lower tiers take their floor share meanwhile. A tier with a floor never waits longer than
    /// that share alone would take.
    fn wait_behind(&self, at: usize, own: Duration, est: &Estimate) -> Duration {
        let above: Duration = self.lanes[..at].iter().map(Lane::work).sum();
        let below = self.lanes[at + 1..]
            .iter()
            .filter(|l| !l.items().is_empty());
        let floors: u32 = below.map(Lane::floor_percent).sum();
        let left = 100_u32.saturating_sub(floors).max(1);
        let by_rank = (above + own) * 100 / left;
        let floor = self.lanes[at].floor_percent();
        let wait = match floor {
            0 => by_rank,
            _ => by_rank.min(own * 100 / floor),
        };
        wait / est.slots()
    }

    fn refuse_full(&self, at: usize, est: &Estimate) -> Outcome<K> {
        // Half of the work that is ahead has drained by then, so there is room again.
        let drain = self.wait_behind(at, self.lanes[at].work(), est) / 2;
        Outcome::Refused {
            reason: Reason::QueueFull,
            retry_after: est.slot_free_in + drain,
        }
    }

    /// Finds room for an item, at the cost of the latest deadline of the lowest tier if need be.
    ///
    /// That item is the one most likely to be late in any case, and its tier paid least. An item
    /// never displaces one of its own tier: the earlier admission is a promise.
    fn make_room(&self, at: usize, bytes: u32) -> Room {
        let bytes_left = self.opts.max_bytes.saturating_sub(self.bytes);
        let missing = u64::from(bytes).saturating_sub(bytes_left);
        if missing == 0 && self.len < self.opts.max_requests as usize {
            return Room::Free;
        }
        for lane in (at + 1..self.lanes.len()).rev() {
            let items = self.lanes[lane].items();
            let found = items.iter().rposition(|i| u64::from(i.bytes) >= missing);
            if let Some(index) = found {
                return Room::Displace { lane, index };
            }
        }
        Room::None
    }

    fn insert(&mut self, at: usize, item: Item<K>) {
        self.bytes += u64::from(item.bytes);
        self.len += 1;
        self.lanes[at].insert(item);
    }

    fn take(&mut self, lane: usize, index: usize) -> Item<K> {
        let item = self.lanes[lane].take(index);
        self.bytes -= u64::from(item.bytes);
        self.len -= 1;
        item
    }

    fn lane_of(&self, rank: TierRank) -> usize {
        usize::from(rank.0).min(self.lanes.len() - 1)
    }
}

enum Room {
    Free,
    Displace { lane: usize, index: usize },
    None,
}
