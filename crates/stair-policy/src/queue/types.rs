//! What a queue is given and what it answers.

use std::time::Duration;

use stair_types::{
    ModelKey,
    Reason,
    TierRank, //
};

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
    /// Time that an admitted item has to spare, in percent of its expected run. Under saturation
    /// every item starts as late as it was admitted for; without time to spare, each run that is
    /// longer than expected is then late, and its slot time wasted.
    pub slack_percent: u16,
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
            slack_percent: 25,
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
    pub(super) fn finishes_in_time(&self, start: Duration) -> bool {
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
    pub(super) fn slots(&self) -> f64 {
        f64::from(self.concurrency.max(1))
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
