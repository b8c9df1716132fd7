//! Schedules loads from the weight store.
//!
//! A load needs a slot, leased to its holder. Slots limit the loads that run at once, since more loads
//! than the store serves at full speed all become slow and late, for instance when many models start
//! cold at the same time or the store slows down. They are leased by urgency, and a lease expires when
//! its holder no longer renews it.
//!
//! Soft state: if two processes schedule loads for a while, loads are slower, without other harm.

use std::time::Duration;

use stair_types::TierRank;

/// Limits of the weight store, and the duration of leases.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Loads that may start per second.
    pub loads_per_second: f64,
    /// Loads that the store serves at full speed at once. More would slow each other down: the first
    /// would finish no sooner, and all would occupy accelerator memory for longer.
    pub full_speed_loads: u16,
    /// Time without a renewal after which a lease expires. Agents renew their leases with every
    /// report, so this spans several reports. It does not depend on the duration of a load, since a
    /// slow store must not free slots that are in use.
    pub holder_timeout: Duration,
    /// Wait after which a load is promoted by one tier, repeatedly, so that models of the lowest tier
    /// are not starved by cold starts of higher ones.
    pub promote_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            loads_per_second: 1.5,
            full_speed_loads: 4,
            holder_timeout: Duration::from_secs(5),
            promote_after: Duration::from_secs(20),
        }
    }
}

/// A load that waits for a slot.
#[derive(Debug, Clone, Copy)]
struct Waiter<K> {
    key: K,
    rank: TierRank,
    deadline: Duration,
    since: Duration,
}

/// A leased slot.
#[derive(Debug, Clone, Copy)]
struct Lease<K> {
    key: K,
    renewed_at: Duration,
}

/// The loads that wait for a slot and those that have one.
#[derive(Debug, Clone)]
pub struct LoadSlots<K> {
    opts: Options,
    waiting: Vec<Waiter<K>>,
    running: Vec<Lease<K>>,
    /// Earliest time of the next start by the rate.
    next_start: Duration,
}

impl<K> LoadSlots<K>
where
    K: Copy + Eq,
{
    /// Creates a scheduler whose slots are all free.
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            waiting: Vec::new(),
            running: Vec::new(),
            next_start: Duration::ZERO,
        }
    }

    /// Replaces the limits. Leases and waiting loads stay.
    pub fn set_options(&mut self, opts: Options) {
        self.opts = opts;
    }

    /// Requests a slot for a load, or raises the urgency of an earlier request.
    ///
    /// `rank` and `deadline` are those of the most urgent request that waits for the load. If the key has
    /// a lease, the call renews it.
    pub fn request(&mut self, now: Duration, key: K, rank: TierRank, deadline: Duration) {
        if self.renew(now, key) {
            return;
        }
        match self.waiting.iter_mut().find(|w| w.key == key) {
            Some(w) => {
                w.rank = w.rank.min(rank);
                w.deadline = w.deadline.min(deadline);
            }
            None => self.waiting.push(Waiter {
                key,
                rank,
                deadline,
                since: now,
            }),
        }
    }

    /// Leases a slot to the most urgent load, if the rate and the running loads allow a start now.
    pub fn next(&mut self, now: Duration) -> Option<K> {
        self.expire(now);
        if now < self.next_start || self.running.len() >= usize::from(self.opts.full_speed_loads) {
            return None;
        }
        let waiting = self.waiting.iter().enumerate();
        let (at, _) = waiting.min_by_key(|(_, w)| self.urgency(now, w))?;
        let key = self.waiting.swap_remove(at).key;
        self.running.push(Lease {
            key,
            renewed_at: now,
        });
        // Unused starts do not accumulate: a burst after a pause would exceed the store's rate just
        // when many models start cold.
        self.next_start = now + self.start_interval();
        Some(key)
    }

    /// Returns the next time at which [`LoadSlots::next`] may lease a slot without further events; `None`
    /// if no load waits.
    ///
    /// While all slots are leased, this is the time at which the first lease expires if it is not
    /// renewed.
    pub fn next_at(&self) -> Option<Duration> {
        if self.waiting.is_empty() {
            return None;
        }
        if self.running.len() < usize::from(self.opts.full_speed_loads) {
            return Some(self.next_start);
        }
        let oldest = self.running.iter().map(|r| r.renewed_at).min();
        oldest.map(|renewed_at| self.next_start.max(renewed_at + self.opts.holder_timeout))
    }

    /// Renews the lease of a load; returns whether there is one.
    ///
    /// On `false` the lease has expired and the holder requests a slot again. Its load continues
    /// meanwhile, since aborting it would waste the data already transferred.
    pub fn renew(&mut self, now: Duration, key: K) -> bool {
        let found = self.running.iter_mut().find(|r| r.key == key);
        found.map(|r| r.renewed_at = now).is_some()
    }

    /// Ends a lease after the load has finished or failed.
    pub fn done(&mut self, key: K) {
        self.running.retain(|r| r.key != key);
    }

    /// Withdraws a load that is no longer needed, whether it waits or has a lease.
    pub fn cancel(&mut self, key: K) {
        self.waiting.retain(|w| w.key != key);
        self.done(key);
    }

    /// Number of loads that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of loads that have a slot.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Ends the leases that were not renewed in time.
    ///
    /// An agent that dies during a load does not end its lease. Without expiry its slot would be lost, and
    /// with the default of four slots no model could be loaded after four such deaths.
    fn expire(&mut self, now: Duration) {
        let timeout = self.opts.holder_timeout;
        self.running.retain(|r| r.renewed_at + timeout > now);
    }

    fn urgency(&self, now: Duration, w: &Waiter<K>) -> Urgency {
        let waited = now.saturating_sub(w.since).as_secs_f64();
        let step = self.opts.promote_after.as_secs_f64().max(MIN_STEP_SECS);
        // The cast saturates.
        let promotions = (waited / step) as u8;
        Urgency {
            rank: w.rank.0.saturating_sub(promotions),
            deadline: w.deadline,
            since: w.since,
        }
    }

    fn start_interval(&self) -> Duration {
        let rate = self.opts.loads_per_second.max(MIN_RATE);
        Duration::from_secs_f64(1.0 / rate)
    }
}

/// Lower bound of the promotion interval; prevents a division by zero.
const MIN_STEP_SECS: f64 = 0.001;

/// Lower bound of the rate; a rate of zero would stop all loads.
const MIN_RATE: f64 = 0.01;

/// Sort key of waiting loads; the least is the most urgent.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    rank: u8,
    deadline: Duration,
    since: Duration,
}
