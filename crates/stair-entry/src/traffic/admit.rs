//! Bounds on what is in the entry at once.
//!
//! The load it is made for: thousands of callers at once while the targets are full. The harm it
//! prevents: memory that grows with the callers until the process dies with all their requests,
//! and a lower tier that fills the entry so that a better one is refused.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use serde::Serialize;
use stair_config::EntryLimits;
use stair_types::{
    Reason,
    TierRank, //
};
use tokio::{
    sync::Notify,
    time::Instant, //
};

use super::refuse::Refused;

/// The part of each bound that the lowest tier leaves to the better ones, in percent. A quarter
/// lets a full entry still take a burst of better-paid work; more would refuse lower tiers while
/// memory is free.
const RESERVED_PERCENT: u64 = 25;

/// Weight of the newest request in the mean time that requests spend in the entry.
const MEAN_WEIGHT: f64 = 0.05;

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Its body arrives.
    Receiving,
    /// It is offered to a target and waits.
    Waiting,
    /// It can run; its idempotency key is being claimed.
    Claiming,
    /// It may be running at a target.
    Started,
}

/// The requests of one tier in the entry, by phase.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub(super) struct Phases {
    receiving: u32,
    waiting: u32,
    claiming: u32,
    started: u32,
}

impl Phases {
    fn of(&mut self, phase: Phase) -> &mut u32 {
        match phase {
            Phase::Receiving => &mut self.receiving,
            Phase::Waiting => &mut self.waiting,
            Phase::Claiming => &mut self.claiming,
            Phase::Started => &mut self.started,
        }
    }
}

/// What is in the entry.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct Counts {
    requests: u64,
    bytes: u64,
    mean_ms: f64,
    /// By rank of the tier.
    tiers: Vec<Phases>,
}

/// Admits requests up to the bounds.
pub(super) struct Gate {
    max_requests: u64,
    max_bytes: u64,
    counts: Mutex<Counts>,
    changed: Notify,
}

impl Gate {
    pub(super) fn new(limits: &EntryLimits) -> Self {
        Self {
            max_requests: limits.max_requests.into(),
            max_bytes: limits.max_waiting_bytes,
            counts: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Takes a place and the memory of a body for a request of a tier, `tiers` being declared.
    pub(super) fn admit(
        self: &Arc<Self>,
        rank: TierRank,
        tiers: usize,
        bytes: u64,
    ) -> Result<Admitted, Refused> {
        let mut counts = self.lock();
        let fits = counts.requests < tier_limit(self.max_requests, rank, tiers)
            && counts.bytes + bytes <= tier_limit(self.max_bytes, rank, tiers);
        if !fits {
            // About half of what is here has gone after the mean time.
            let retry_after = Duration::from_secs_f64(counts.mean_ms / 1_000.0);
            return Err(Refused::later(
                Reason::QueueFull,
                retry_after,
                "the entry is full for this tier",
            ));
        }
        counts.requests += 1;
        counts.bytes += bytes;
        let tier = usize::from(rank.0);
        if counts.tiers.len() <= tier {
            counts.tiers.resize(tier + 1, Phases::default());
        }
        *counts.tiers[tier].of(Phase::Receiving) += 1;
        Ok(Admitted {
            gate: self.clone(),
            bytes,
            tier,
            phase: Phase::Receiving,
            since: Instant::now(),
        })
    }

    /// Waits until no request is in the entry.
    pub(super) async fn drained(&self) {
        loop {
            let changed = self.changed.notified();
            if self.lock().requests == 0 {
                return;
            }
            changed.await;
        }
    }

    /// Returns the requests that wait for a target, by rank of the tier.
    pub(super) fn waiting(&self) -> Vec<u64> {
        let counts = self.lock();
        counts.tiers.iter().map(|t| t.waiting.into()).collect()
    }

    pub(super) fn snapshot(&self) -> Counts {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the part of a bound that a tier may fill. The best tier has all of it, and the part
/// shrinks evenly down to the lowest.
fn tier_limit(bound: u64, rank: TierRank, tiers: usize) -> u64 {
    let lowest = tiers.saturating_sub(1).max(1) as u64;
    let rank = u64::from(rank.0).min(lowest);
    bound - bound * RESERVED_PERCENT * rank / (100 * lowest)
}

/// A request's place in the entry, given back when dropped.
pub(super) struct Admitted {
    gate: Arc<Gate>,
    bytes: u64,
    tier: usize,
    phase: Phase,
    since: Instant,
}

impl Admitted {
    /// Gives back the memory that the body turned out not to need.
    pub(super) fn release_unused(&mut self, bytes: u64) {
        let unused = self.bytes.saturating_sub(bytes);
        self.bytes -= unused;
        self.gate.lock().bytes -= unused;
    }

    /// Notes how far the request has come.
    pub(super) fn set_phase(&mut self, phase: Phase) {
        let mut counts = self.gate.lock();
        *counts.tiers[self.tier].of(self.phase) -= 1;
        *counts.tiers[self.tier].of(phase) += 1;
        self.phase = phase;
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let spent_ms = self.since.elapsed().as_secs_f64() * 1_000.0;
        let mut counts = self.gate.lock();
        counts.requests -= 1;
        counts.bytes -= self.bytes;
        counts.mean_ms += MEAN_WEIGHT * (spent_ms - counts.mean_ms);
        *counts.tiers[self.tier].of(self.phase) -= 1;
        let is_empty = counts.requests == 0;
        drop(counts);
        if is_empty {
            self.gate.changed.notify_waiters();
        }
    }
}
