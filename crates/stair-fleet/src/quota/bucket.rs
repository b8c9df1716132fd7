//! The token bucket of one quota.

use std::time::Duration;

use serde::Serialize;

use super::Reply;
use crate::workspace::Quota;

/// The longest time over which the return times of refused clients are spread.
const RETURN_SPREAD_WINDOW: Duration = Duration::from_secs(2);

/// The token bucket of one quota.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Bucket {
    #[serde(rename = "allowance")]
    quota: Quota,
    /// Units that may be spent at once; below 0 after a request that cost more than there was.
    level: f64,
    at: Duration,
    /// When the next refused client may return.
    #[serde(rename = "returns_at")]
    next_return_at: Duration,
}

impl Bucket {
    /// Creates an empty bucket: requests admitted before its creation are not known.
    pub fn new(quota: Quota, now: Duration) -> Self {
        Self::with_credit(quota, 0.0, now)
    }

    /// Creates a bucket with `credit` units.
    pub fn with_credit(quota: Quota, credit: f64, now: Duration) -> Self {
        Self {
            quota,
            level: credit,
            at: now,
            next_return_at: now,
        }
    }

    /// Changes the quota.
    pub fn set(&mut self, quota: Quota, now: Duration) {
        if quota == self.quota {
            return;
        }
        self.refill(now);
        if std::mem::discriminant(&quota.unit) != std::mem::discriminant(&self.quota.unit) {
            self.level = 0.0;
        }
        self.quota = quota;
        self.level = self.level.min(quota.burst);
    }

    /// Drops the units that have accumulated; a debt stays.
    pub fn discard_credit(&mut self, now: Duration) {
        self.limit_credit(0.0, now);
    }

    /// Drops the accumulated units above `credit`; a debt stays.
    pub fn limit_credit(&mut self, credit: f64, now: Duration) {
        self.refill(now);
        self.level = self.level.min(credit);
    }

    /// Admits a request, now or after a wait of at most `max_wait`, or returns when its client may
    /// return.
    pub fn spend(&mut self, cost: f64, max_wait: Duration, now: Duration) -> Reply {
        self.refill(now);
        let cost = self.quota.bounded(cost);
        let wait = self.time_to_zero();
        if wait <= max_wait {
            self.level -= cost;
            return Reply {
                granted: true,
                wait,
            };
        }
        let earliest = now + wait;
        let back = self
            .next_return_at
            .clamp(earliest, earliest + RETURN_SPREAD_WINDOW);
        self.next_return_at = back + self.refill_time(cost);
        Reply {
            granted: false,
            wait: back - now,
        }
    }

    /// Charges a request that has been admitted already.
    pub fn charge(&mut self, cost: f64, now: Duration) -> Reply {
        self.refill(now);
        self.level -= self.quota.bounded(cost);
        Reply {
            granted: true,
            wait: self.time_to_zero(),
        }
    }

    /// Refunds the cost of a request that was not run.
    pub fn refund(&mut self, cost: f64, now: Duration) {
        self.refill(now);
        self.level = (self.level + self.quota.bounded(cost)).min(self.quota.burst);
    }

    /// Charges a request, and limits the debt to what accumulates in `max_debt`.
    pub(super) fn charge_limited(&mut self, cost: f64, max_debt: Duration, now: Duration) {
        self.charge(cost, now);
        let floor = -self.quota.per_s * max_debt.as_secs_f64();
        self.level = self.level.max(floor);
    }

    /// The quota.
    pub fn quota(&self) -> Quota {
        self.quota
    }

    /// Units that may be spent at once.
    pub fn level(&self) -> f64 {
        self.level
    }

    pub(super) fn refill(&mut self, now: Duration) {
        let admitted = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        let more = self.quota.per_s * admitted.as_secs_f64();
        self.level = (self.level + more).min(self.quota.burst);
    }

    /// Time until a debt is paid.
    fn time_to_zero(&self) -> Duration {
        self.refill_time(-self.level)
    }

    /// Time in which this number of units accumulates.
    pub(super) fn refill_time(&self, units: f64) -> Duration {
        /// Longer than any client waits.
        const MAX_REFILL_TIME: Duration = Duration::from_secs(3600);
        let time = Duration::try_from_secs_f64(units.max(0.0) / self.quota.per_s);
        time.unwrap_or(MAX_REFILL_TIME).min(MAX_REFILL_TIME)
    }
}
