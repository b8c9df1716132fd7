//! Estimates the wait of an item from the waiting items and the recent arrivals.

use std::time::Duration;

use stair_types::Reason;

use super::{
    Estimate,
    Item,
    Outcome,
    Queue,
    tier::TierQueue, //
};

/// Least fraction of the engine assumed for a tier. Arrivals change, and a share of zero would refuse
/// all items of the tier even when none waits.
const MIN_SHARE: f64 = 0.02;

/// Upper bound of estimated waits: a day.
const MAX_WAIT_SECS: f64 = 86_400.0;

/// A tier's share of the engine, in slots.
#[derive(Debug, Clone, Copy)]
pub(super) struct Share {
    /// Share left by arrivals that run first and by the floor shares of lower tiers with waiting items.
    by_rank: f64,
    /// The tier's floor share, less arrivals of the tier that run first.
    floor: f64,
}

/// Lateness below this is rounding error of floating point seconds.
const ROUNDING_SECS: f64 = 1e-6;

fn seconds(d: Duration) -> f64 {
    d.as_secs_f64()
}

pub(super) fn bounded(secs: f64) -> Duration {
    Duration::from_secs_f64(secs.min(MAX_WAIT_SECS))
}

impl<K> Queue<K>
where
    K: Copy + Eq,
{
    /// Returns the greatest lateness that admitting the item would cause, of the item itself or of a
    /// later item of its tier; zero when there is none.
    pub(super) fn lateness(
        &self,
        now: Duration,
        at: usize,
        item: &Item<K>,
        est: &Estimate,
    ) -> Duration {
        let tier = &self.tiers[at];
        let index = tier.index_of(item.deadline);
        let share = self.share(now, at, item.expected_run > self.opts.short_run, est);
        let begin = (now + est.slot_free_in).as_secs_f64();
        let higher: usize = self.tiers[..at].iter().map(|t| t.items().len()).sum();
        let spacing = |n: usize| (higher + n) as f64 * seconds(est.start_interval);
        let start =
            |n: usize, ahead, run| begin + self.wait_behind(at, ahead, run, &share).max(spacing(n));
        let items = tier.items();
        let mut ahead = seconds(items[..index].iter().map(|i| i.expected_run).sum());
        let run = seconds(item.expected_run);
        let own_start = start(index, ahead, run).max(seconds(now + est.ready_in));
        let slack = self.slack(run, own_start - seconds(now), est);
        let mut late = own_start + run + slack - seconds(item.deadline);
        for (n, behind) in items.iter().enumerate().skip(index) {
            let (deadline, its_run) = (seconds(behind.deadline), seconds(behind.expected_run));
            // An item that would be late in any case is no reason to refuse another.
            if start(n, ahead, its_run) + its_run <= deadline {
                late = late.max(start(n + 1, ahead + run, its_run) + its_run - deadline);
            }
            ahead += its_run;
        }
        match late < ROUNDING_SECS {
            true => Duration::ZERO,
            false => bounded(late),
        }
    }

    /// Slack required of an item before its deadline, in seconds; at most its wait, so none without a
    /// wait.
    fn slack(&self, run: f64, wait: f64, est: &Estimate) -> f64 {
        let slack = run * f64::from(self.opts.slack_percent) / 100.0;
        slack.max(seconds(est.start_interval) / 2.0).min(wait)
    }

    /// Returns the share of the engine that is left to a tier.
    ///
    /// Work of higher tiers that arrives while an item waits runs before it, and so does short work of
    /// its own tier if the item is long. With the waiting items alone, items of the lowest tier would
    /// be admitted again and again and expire. Recent arrivals are the estimate of future ones.
    pub(super) fn share(&self, now: Duration, at: usize, long: bool, est: &Estimate) -> Share {
        let slots = est.slots();
        let higher: f64 = self.tiers[..at].iter().map(|l| l.inflow(now)).sum();
        let short = if long {
            self.tiers[at].short_inflow(now)
        } else {
            0.0
        };
        let below = self.tiers[at + 1..]
            .iter()
            .filter(|l| !l.items().is_empty());
        let floors: f64 = below.map(TierQueue::floor).sum();
        let by_rank = slots * (1.0 - floors) - higher - short;
        let floor = slots * self.tiers[at].floor() - short;
        Share {
            by_rank: by_rank.max(slots * MIN_SHARE),
            floor: floor.max(0.0),
        }
    }

    /// Returns the wait, in seconds, for `own` seconds of earlier work of the same tier and all waiting
    /// work of higher tiers.
    ///
    /// With a floor share, the wait is at most the time in which that share earns the earlier work of
    /// the tier and the item's `run`.
    pub(super) fn wait_behind(&self, at: usize, own: f64, run: f64, share: &Share) -> f64 {
        let above: Duration = self.tiers[..at].iter().map(TierQueue::work).sum();
        let by_rank = (seconds(above) + own) / share.by_rank;
        let by_floor = (own + run) / share.floor;
        match by_floor.is_nan() {
            true => by_rank,
            false => by_rank.min(by_floor),
        }
    }

    /// Refuses an item because the queue or its tier is full.
    pub(super) fn refuse_full(&self, now: Duration, at: usize, est: &Estimate) -> Outcome<K> {
        // By then half of the waiting work has drained, so the queue has capacity again.
        let share = self.share(now, at, false, est);
        let drain = self.wait_behind(at, seconds(self.tiers[at].work()), 0.0, &share) / 2.0;
        let waiting = u32::try_from(self.len).unwrap_or(u32::MAX);
        Outcome::Refused {
            reason: Reason::QueueFull,
            retry_after: est.slot_free_in + bounded(drain).max(est.start_interval * waiting / 2),
        }
    }
}
