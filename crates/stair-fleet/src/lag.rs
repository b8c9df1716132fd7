//! Finds entries whose replication state lags.
//!
//! Entries report their state about once a second, so two reports may differ by their age alone. A
//! report is compared on arrival with what others had reported some time before.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use stair_types::StoreRevision;

use crate::msg::ReplicationState;

/// Time after which an entry with a working source has the versions that another entry has
/// reported.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(900);

/// The newest versions that any entry has reported.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Versions {
    catalogue: u64,
    targets: StoreRevision,
}

/// The versions that entries have reported recently and those that every entry should have by now.
#[derive(Debug, Clone, Default)]
pub struct Lag {
    /// Versions that every entry should have.
    expected: Versions,
    newest: Versions,
    /// Increases of `newest` that are not expected of every entry yet, the oldest first.
    rises: VecDeque<(Duration, Versions)>,
}

impl Lag {
    /// Records a report, and returns whether the entry that sent it lags.
    pub fn observe(&mut self, reported: &ReplicationState, now: Duration) -> bool {
        while let Some((_, newest)) = self
            .rises
            .pop_front_if(|(at, _)| now.saturating_sub(*at) >= REPLICATION_TIMEOUT)
        {
            self.expected = newest;
        }
        let newest = Versions {
            catalogue: self.newest.catalogue.max(reported.catalogue),
            targets: self.newest.targets.max(reported.targets),
        };
        if newest != self.newest {
            self.newest = newest;
            self.rises.push_back((now, newest));
        }
        reported.catalogue < self.expected.catalogue || reported.targets < self.expected.targets
    }
}
