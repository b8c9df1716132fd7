//! Finds entries whose replication state lags.
//!
//! Load: many entries that report their state about once a second. Reports differ by their age alone, so a report is
//! compared on arrival with what others had reported some time before.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::msg::ReplicationState;

/// Time after which an entry that receives its source has what another one has reported.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(900);

/// How far the knowledge of all entries goes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Versions {
    catalogue: u64,
    targets: u64,
}

/// What entries have said of their knowledge, lately and before.
#[derive(Debug, Clone, Default)]
pub struct Lag {
    /// Due everywhere.
    expected: Versions,
    newest: Versions,
    /// Each rise of the newest that is not due yet, the oldest first.
    rises: VecDeque<(Duration, Versions)>,
}

impl Lag {
    /// Takes in the word of an entry, and tells whether that entry lags.
    pub fn observe(&mut self, known: &ReplicationState, now: Duration) -> bool {
        while let Some((_, newest)) = self
            .rises
            .pop_front_if(|(at, _)| now.saturating_sub(*at) >= REPLICATION_TIMEOUT)
        {
            self.expected = newest;
        }
        let newest = Versions {
            catalogue: self.newest.catalogue.max(known.catalogue),
            targets: self.newest.targets.max(known.targets),
        };
        if newest != self.newest {
            self.newest = newest;
            self.rises.push_back((now, newest));
        }
        known.catalogue < self.expected.catalogue || known.targets < self.expected.targets
    }
}
