//! Shares out the weight store's rate among the loads that wait.
//!
//! The load it is made for: many models waking at once, or a weight store that slows down. The
//! harms it prevents: more loads at once than run at full speed, so that all are slow and all are
//! late; a load for a waiting clerk behind ten for drafts that have time; a turn that is lost with
//! its holder.
//!
//! Soft state: when two processes share out turns for a while, loads are slower, nothing worse.

use std::time::Duration;

use stair_types::TierRank;

/// What the weight store allows, and for how long a turn is lent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Loads that may start a second.
    pub loads_per_second: f64,
    /// Loads that run at full speed at once. More would slow each other down, so that the first
    /// finishes no sooner and holds accelerator memory for longer.
    pub full_speed_loads: u16,
    /// A turn whose holder has not been heard of for so long is free again. Agents renew the
    /// turns that they hold with every report, so this is several reports long; it does not depend
    /// on how long a load takes, since a slow store must not free turns that are in use.
    pub holder_timeout: Duration,
    /// Each time a load has waited so long it counts as one tier higher, so that the lowest
    /// tier's models are loaded in the end however many others wake.
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

#[derive(Debug, Clone, Copy)]
struct Waiter<K> {
    key: K,
    rank: TierRank,
    deadline: Duration,
    since: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Lease<K> {
    key: K,
    renewed_at: Duration,
}

/// The loads that wait for a turn and those that have one.
#[derive(Debug, Clone)]
pub struct LoadSlots<K> {
    opts: Options,
    waiting: Vec<Waiter<K>>,
    running: Vec<Lease<K>>,
    /// When the rate allows the next start.
    next_start: Duration,
}

impl<K> LoadSlots<K>
where
    K: Copy + Eq,
{
    /// Makes turns of which none is taken.
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            waiting: Vec::new(),
            running: Vec::new(),
            next_start: Duration::ZERO,
        }
    }

    /// Changes what the weight store allows. Turns that are held or asked for stay.
    pub fn set_options(&mut self, opts: Options) {
        self.opts = opts;
    }

    /// Asks for a turn, or raises what is known of one asked for before.
    ///
    /// `rank` and `deadline` are those of the most urgent request that waits for the load. A key
    /// that has a turn keeps it, and the call renews it.
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

    /// Gives out a turn if the rate and the number of running loads allow one now.
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
        // Time without starts is not saved up: a burst after a pause would exceed the store's
        // rate just when many models wake.
        self.next_start = now + self.start_interval();
        Some(key)
    }

    /// Returns when [`LoadSlots::next`] is worth calling again, if something waits for the rate only.
    ///
    /// When all turns are taken, that is when one of them ends or expires.
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

    /// Notes that the holder of a turn is alive; tells whether it has one.
    ///
    /// A holder that reads `false` has lost its turn and asks again; its load goes on meanwhile,
    /// since to cut it would waste what the store has sent.
    pub fn renew(&mut self, now: Duration, key: K) -> bool {
        let found = self.running.iter_mut().find(|r| r.key == key);
        found.map(|r| r.renewed_at = now).is_some()
    }

    /// Ends a turn: the load has finished or failed.
    pub fn done(&mut self, key: K) {
        self.running.retain(|r| r.key != key);
    }

    /// Withdraws a load that nobody waits for any more, whether it has a turn or not.
    pub fn cancel(&mut self, key: K) {
        self.waiting.retain(|w| w.key != key);
        self.done(key);
    }

    /// Loads that wait for a turn.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Loads that have one.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Frees the turns whose holders are not heard of.
    ///
    /// An agent that dies in the middle of a load tells nobody. Its turn would be gone for good,
    /// and after four such deaths nothing would ever be loaded again.
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

/// Guards against a division by zero.
const MIN_STEP_SECS: f64 = 0.001;

/// Guards against a rate of zero, which would stop all loads for good.
const MIN_RATE: f64 = 0.01;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    rank: u8,
    deadline: Duration,
    since: Duration,
}
