//! The requests of one rank and route of a workspace, and the shares of such classes in a short quota.

use std::time::Duration;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Length of a slot of the demand that is kept.
const SLOT: Duration = Duration::from_millis(250);

/// Slots that are kept. Two seconds smooth over a few large requests of a route.
const SLOTS: usize = 8;

/// The demand of the last slots counts with this factor where it exceeds that of all slots, so that a sudden
/// demand of a higher rank is met within half a second.
const RECENT_FACTOR: f64 = 0.7;

/// Part of the rate that is kept for each lower rank with demand.
const KEPT_FRACTION: f64 = 0.1;

/// Time whose share a class may save.
const SAVED_TIME_S: f64 = 0.5;

/// Time for which a class may be in debt, after a request with an absurd cost.
const MAX_DEBT_TIME_S: f64 = 8.0;

/// What limits the share of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(super) enum LimitedBy {
    /// Nothing: its demand is within its share.
    Nothing,
    /// Higher ranks.
    Rank,
    /// The other routes of its rank, or the quota.
    Route,
}

/// The counts of a class since the process began to count the workspace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests that were admitted.
    pub admitted: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that were refused although their clients had a reservation.
    pub refused_again: u64,
}

/// The requests of one rank and route.
#[derive(Debug, Clone, Serialize)]
pub struct Class {
    /// The rank.
    pub rank: u8,
    /// The route.
    pub route: Box<str>,
    /// The demand of the last seconds, in units a second.
    pub demand: f64,
    /// Units a second that it may use while the quota is short.
    pub share: f64,
    pub(super) limited_by: LimitedBy,
    /// What it has saved, or its debt.
    pub level: f64,
    /// What became of its requests.
    pub counts: Counts,
    /// The earliest time of the next reservation.
    #[serde(skip)]
    pub(super) next_reservation: Duration,
    /// The time that the next client without a reservation is told.
    #[serde(skip)]
    pub(super) next_return: Duration,
    #[serde(skip)]
    slots: [f64; SLOTS],
    /// Number of the present slot since the start of the clock.
    #[serde(skip)]
    slot: u64,
    #[serde(skip)]
    first_at: Duration,
    #[serde(skip)]
    at: Duration,
}

impl Class {
    pub(super) fn new(rank: u8, route: &str, now: Duration) -> Self {
        Self {
            rank,
            route: route.into(),
            demand: 0.0,
            share: 0.0,
            limited_by: LimitedBy::Nothing,
            level: 0.0,
            counts: Counts::default(),
            next_reservation: now,
            next_return: now,
            slots: [0.0; SLOTS],
            slot: slot_of(now),
            first_at: now,
            at: now,
        }
    }

    /// Identifies the class.
    pub(super) fn key(&self) -> (u8, u64) {
        (self.rank, xxh3_64(self.route.as_bytes()))
    }

    /// Records the demand of one request.
    pub(super) fn record(&mut self, cost: f64, now: Duration) {
        self.advance(now);
        self.slots[index(self.slot)] += cost;
    }

    /// Whether it had no demand in the last seconds.
    pub(super) fn is_idle(&self, now: Duration) -> bool {
        slot_of(now) >= self.slot + SLOTS as u64
    }

    fn advance(&mut self, now: Duration) {
        let slot = slot_of(now);
        let passed = slot.saturating_sub(self.slot).min(SLOTS as u64);
        for n in 1..=passed {
            self.slots[index(self.slot + n)] = 0.0;
        }
        self.slot = self.slot.max(slot);
    }

    /// Estimates the demand.
    pub(super) fn estimate(&mut self, now: Duration) {
        self.advance(now);
        let slot_s = SLOT.as_secs_f64();
        let into = now.as_secs_f64() - self.slot as f64 * slot_s;
        let into = into.clamp(0.0, slot_s);
        let age = now.saturating_sub(self.first_at).as_secs_f64();
        let whole = into + slot_s * (SLOTS - 1) as f64;
        let all: f64 = self.slots.iter().sum();
        let long = all / age.min(whole).max(slot_s);
        let previous = index(self.slot + SLOTS as u64 - 1);
        let last = self.slots[index(self.slot)] + self.slots[previous];
        let recent = last / (into + slot_s);
        self.demand = long.max(recent * RECENT_FACTOR);
    }

    /// Adds its share since the last call.
    pub(super) fn refill(&mut self, now: Duration) {
        let time = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let most = self.share * SAVED_TIME_S;
        self.level = (self.level + self.share * time).min(most);
    }

    /// Charges one request.
    pub(super) fn charge(&mut self, cost: f64) {
        let floor = -(self.share * MAX_DEBT_TIME_S);
        self.level = (self.level - cost).max(floor.min(self.level));
    }

    /// Gives it all that it may save, or nothing where its demand exceeds its share.
    pub(super) fn begin(&mut self) {
        self.level = match self.limited_by {
            LimitedBy::Nothing => self.share * SAVED_TIME_S,
            LimitedBy::Rank | LimitedBy::Route => 0.0,
        };
    }
}

/// Number of the slot that a time is in.
fn slot_of(now: Duration) -> u64 {
    (now.as_secs_f64() / SLOT.as_secs_f64()) as u64
}

fn index(slot: u64) -> usize {
    (slot % SLOTS as u64) as usize
}

/// Divides `capacity` among classes that are sorted by rank. Higher ranks go first, and a part of `rate` is kept
/// for each rank with demand. The routes of a rank share by max-min fairness.
pub(super) fn divide(classes: &mut [Class], rate: f64, capacity: f64) {
    let ranks = || classes.chunk_by(|a, b| a.rank == b.rank);
    let demand = |rank: &[Class]| rank.iter().map(|c| c.demand).sum::<f64>();
    let kept_fraction = KEPT_FRACTION.min(1.0 / ranks().count().max(1) as f64);
    let kept = |rank: &[Class]| demand(rank).min(rate * kept_fraction);
    let mut kept_below: f64 = ranks().map(kept).sum();
    let mut left = capacity;
    let mut is_first = true;
    for rank in classes.chunk_by_mut(|a, b| a.rank == b.rank) {
        let own = demand(rank).min(rate * kept_fraction);
        kept_below -= own;
        let available = (left - kept_below).max(own);
        let share = water_level(rank, available);
        for class in &mut *rank {
            // A new class of a rank without demand gets what the rank may use.
            class.share = share.max(rate * kept_fraction / 10.0);
            class.limited_by = match (class.demand <= share, is_first) {
                (true, _) => LimitedBy::Nothing,
                (false, true) => LimitedBy::Route,
                (false, false) => LimitedBy::Rank,
            };
        }
        let used: f64 = rank.iter().map(|c| c.demand.min(share)).sum();
        is_first &= used == 0.0;
        left -= used;
    }
}

/// The share that each class may use: those with less demand leave the rest to the others.
fn water_level(rank: &[Class], available: f64) -> f64 {
    let mut demands: Vec<f64> = rank.iter().map(|c| c.demand).collect();
    demands.sort_by(f64::total_cmp);
    let mut left = available;
    for (i, demand) in demands.iter().enumerate() {
        let equal = left / (demands.len() - i) as f64;
        if *demand > equal {
            return equal;
        }
        left -= demand;
    }
    demands.last().copied().unwrap_or(0.0) + left / demands.len().max(1) as f64
}
