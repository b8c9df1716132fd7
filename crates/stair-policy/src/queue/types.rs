//! The parameters and results of a queue.

use std::time::Duration;

use stair_types::{
    ModelKey,
    Reason,
    TierRank, //
};

/// Limits of one queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Requests that may wait. Limits the memory of the process and the time of one decision, which
    /// scans the queue.
    pub max_requests: u32,
    /// Total bytes of the bodies that may wait. A few large bodies could otherwise exhaust the agent's
    /// memory long before `max_requests` is reached.
    pub max_bytes: u64,
    /// Longest expected run of a short item.
    pub short_run: Duration,
    /// Slack before the deadline that admission requires, in percent of the expected run. Under
    /// saturation every item starts as late as admission allows; without slack, each run that is
    /// longer than expected would be late and its slot time wasted.
    pub slack_percent: u16,
    /// The tiers by rank. A higher rank than the last uses the last tier.
    pub tiers: Vec<TierOptions>,
}

/// Limits of one tier within a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TierOptions {
    /// Requests of this tier that may wait, so that a burst of one tier does not fill the queue.
    pub max_waiting: u32,
    /// Least share of the engine's work, in percent, while the tier has waiting items.
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

/// A waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Item<K> {
    /// The handle by which the queue's user identifies the request.
    pub key: K,
    /// The rank of its tier.
    pub rank: TierRank,
    /// Time by which it must be finished.
    pub deadline: Duration,
    /// Time of its arrival.
    pub arrived: Duration,
    /// Time that it is expected to occupy a slot.
    pub expected_run: Duration,
    /// Bytes that it occupies while it waits.
    pub bytes: u32,
    /// The model that it needs.
    pub model: ModelKey,
}

impl<K> Item<K> {
    /// Whether the item would finish by its deadline if it started at `start`.
    pub(super) fn finishes_in_time(&self, start: Duration) -> bool {
        start + self.expected_run <= self.deadline
    }
}

/// The engine's expected state at the time of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Estimate {
    /// Requests that the engine runs at once; 0 counts as 1.
    pub concurrency: u16,
    /// Time until the next slot is free; zero when one is free now.
    pub slot_free_in: Duration,
    /// Least time between the starts of two requests; zero if only the slots limit them.
    pub start_interval: Duration,
    /// Time until the item's model can run, for instance the rest of a cold start. It passes while the
    /// item waits, so it is not added to the wait in the queue.
    pub ready_in: Duration,
}

impl Estimate {
    pub(super) fn slots(&self) -> f64 {
        f64::from(self.concurrency.max(1))
    }
}

/// The result of pushing an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome<K> {
    /// The item waits.
    Queued {
        /// An item of a lower tier that was removed for it. It has not run and is to be refused now.
        displaced: Option<K>,
    },
    /// The item was not queued and has not run.
    Refused {
        /// The reason of the refusal.
        reason: Reason,
        /// Time after which the item would be admitted if no other arrived. To be spread by
        /// [`backoff::retry_after`](crate::backoff::retry_after) before it is sent to a client.
        retry_after: Duration,
    },
}
