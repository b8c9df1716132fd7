//! Positions in the history of the platform's store.
//!
//! The store may come back from a copy of an earlier state. What was written since is lost, and its
//! revisions are given out again for other states. The era tells them apart.

use std::{
    cmp::Ordering,
    fmt, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Bits of a fencing token below the era: numbers of one target's starts within an era.
const TOKEN_BITS: u32 = 20;

/// The number of times that the store has come back from a copy, plus its first value. It never
/// decreases. 0 if the store states none.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

impl Era {
    /// The least number that is given out in this era, for tokens and ids that must not be given out
    /// twice although the store forgets the last ones. All numbers of earlier eras are below.
    pub fn first_number(self) -> u64 {
        self.0 << TOKEN_BITS
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// A revision of the store, or of one of its objects, as the store states it in one era.
///
/// Any revision of an era is newer than all of the eras before. Equal revisions of two eras are
/// different states.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoreRevision {
    /// The store's revision counter, 0 for none.
    pub counter: u64,
    /// The era of the response that stated it.
    pub era: Era,
}

impl StoreRevision {
    /// Before anything that a store states.
    pub const NONE: Self = Self {
        counter: 0,
        era: Era(0),
    };

    /// Creates the revision `counter` of an era.
    pub const fn new(era: u64, counter: u64) -> Self {
        Self {
            counter,
            era: Era(era),
        }
    }

    /// Whether a store has stated it.
    pub fn is_known(self) -> bool {
        self != Self::NONE
    }
}

impl Ord for StoreRevision {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.era, self.counter).cmp(&(other.era, other.counter))
    }
}

impl PartialOrd for StoreRevision {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.counter, self.era)
    }
}
