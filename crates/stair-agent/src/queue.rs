//! The requests that wait for the target, by tier and then by deadline.

use std::time::Duration;

use stair_state::ledger::Item;
use stair_types::{
    Reason,
    RequestId,
    TierRank, //
};

/// A request that waits.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// The request.
    pub id: RequestId,
    /// What has to be loaded; none for a plain service.
    pub item: Option<Item>,
    /// The caller's tier.
    pub rank: TierRank,
    /// When it has to be finished, as time since the agent's start.
    pub deadline: Duration,
    /// Bytes of its body.
    pub bytes: usize,
}

/// Bounds of the queue.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Bytes of bodies that may wait.
    pub max_bytes: u64,
    /// Requests of the tier that may wait.
    pub max_of_tier: u32,
}

/// What became of a request that was to wait.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It waits; these of lower tiers gave up their place and have to be refused.
    Queued(Vec<RequestId>),
    /// It has to be refused.
    Refused(Reason),
}

/// Requests in the order in which they are served.
#[derive(Debug, Default)]
pub struct Queue {
    /// Sorted by tier, then deadline.
    waiting: Vec<Waiting>,
    bytes: u64,
}

impl Queue {
    /// Lets a request wait.
    ///
    /// Under a burst the bodies of waiting requests would fill the agent's memory; the bytes are
    /// bounded, and a better tier takes the place of the worst that waits. The number per tier is
    /// bounded so that one caller's flood is told at once, not after its timeout.
    pub fn push(&mut self, new: Waiting, limits: Limits) -> Outcome {
        let of_tier = self.waiting.iter().filter(|w| w.rank == new.rank).count();
        if of_tier >= limits.max_of_tier as usize {
            return Outcome::Refused(Reason::QueueFull);
        }
        let bytes = new.bytes as u64;
        let displaceable: u64 = self
            .waiting
            .iter()
            .filter(|w| w.rank > new.rank)
            .map(|w| w.bytes as u64)
            .sum();
        if self.bytes - displaceable + bytes > limits.max_bytes {
            return Outcome::Refused(Reason::QueueFull);
        }
        let mut displaced = Vec::new();
        while self.bytes + bytes > limits.max_bytes {
            let Some(worst) = self.waiting.pop() else {
                break;
            };
            self.bytes -= worst.bytes as u64;
            displaced.push(worst.id);
        }
        self.bytes += bytes;
        let key = (new.rank, new.deadline);
        let at = self
            .waiting
            .partition_point(|w| (w.rank, w.deadline) <= key);
        self.waiting.insert(at, new);
        Outcome::Queued(displaced)
    }

    /// Takes the first request that `ready` accepts.
    pub fn pop<F>(&mut self, ready: F) -> Option<Waiting>
    where
        F: Fn(&Waiting) -> bool,
    {
        let at = self.waiting.iter().position(ready)?;
        Some(self.take(at))
    }

    /// Takes out a request.
    pub fn remove(&mut self, id: RequestId) -> Option<Waiting> {
        let at = self.waiting.iter().position(|w| w.id == id)?;
        Some(self.take(at))
    }

    /// Takes out all requests that `gone` accepts.
    pub fn take_if<F>(&mut self, gone: F) -> Vec<Waiting>
    where
        F: Fn(&Waiting) -> bool,
    {
        let (out, kept) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|w| gone(w));
        self.waiting = kept;
        self.bytes = self.waiting.iter().map(|w| w.bytes as u64).sum();
        out
    }

    /// Returns the waiting requests in the order in which they are served.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.iter()
    }

    /// Returns how many requests are served before a new one of this tier and deadline.
    pub fn ahead(&self, rank: TierRank, deadline: Duration) -> usize {
        self.waiting
            .partition_point(|w| (w.rank, w.deadline) <= (rank, deadline))
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the bytes of waiting bodies.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    fn take(&mut self, at: usize) -> Waiting {
        let taken = self.waiting.remove(at);
        self.bytes -= taken.bytes as u64;
        taken
    }
}
