//! The states of all incarnations that have stated one.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Availability,
    Change,
    Statement, //
};
use crate::{
    rate_limit::Source,
    target::Incarnation, //
};

/// Time after the last statement for which the drain of an incarnation is kept. No target drains for
/// as long.
const DRAIN_TTL: Duration = Duration::from_secs(3600);

/// What one process tells another about an incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shared {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// What it has stated.
    pub statement: Statement,
}

impl Shared {
    /// States that an incarnation drains.
    pub fn drain(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            statement: Statement {
                draining: true,
                backoff: None,
            },
        }
    }
}

/// States by incarnation.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Registry {
    /// Sorted by incarnation.
    all: Vec<Record>,
}

#[derive(Debug, Clone, Serialize)]
struct Record {
    incarnation: Incarnation,
    availability: Availability,
    stated_at: Duration,
}

impl Registry {
    fn find(&self, incarnation: &Incarnation) -> Result<usize, usize> {
        self.all
            .binary_search_by(|r| r.incarnation.cmp(incarnation))
    }

    /// Applies a statement that arrives at `now`, and returns what it changes.
    pub fn apply(
        &mut self,
        incarnation: &Incarnation,
        statement: &Statement,
        source: Source,
        now: Duration,
    ) -> Vec<Change> {
        self.expire(now);
        let mut availability = self.get(incarnation);
        let changes = availability.apply(statement, source, now);
        if !changes.is_empty() {
            self.put(incarnation, availability, now);
        }
        changes
    }

    /// The state of an incarnation; the default if it has stated nothing.
    pub fn get(&self, incarnation: &Incarnation) -> Availability {
        let found = self.find(incarnation).ok();
        found.map_or(Availability::default(), |i| self.all[i].availability)
    }

    /// Keeps the state of an incarnation.
    pub fn put(&mut self, incarnation: &Incarnation, availability: Availability, now: Duration) {
        let record = Record {
            incarnation: incarnation.clone(),
            availability,
            stated_at: now,
        };
        match self.find(incarnation) {
            Ok(i) => self.all[i] = record,
            Err(i) => self.all.insert(i, record),
        }
    }

    /// Removes and returns the state of an incarnation.
    pub fn take(&mut self, incarnation: &Incarnation) -> Availability {
        let found = self.find(incarnation).ok();
        found.map_or(Availability::default(), |i| self.all.remove(i).availability)
    }

    /// Incarnations that drain.
    pub fn drains(&self) -> impl Iterator<Item = &Incarnation> {
        let drains = self.all.iter().filter(|r| r.availability.drain().is_some());
        drains.map(|r| &r.incarnation)
    }

    fn expire(&mut self, now: Duration) {
        self.all.retain(|r| {
            let age = now.saturating_sub(r.stated_at);
            !r.availability.is_empty(now) && age < DRAIN_TTL
        });
    }
}
