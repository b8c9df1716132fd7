//! Which entries lag behind what the others know.
//!
//! The load it answers: many entries, each of which says how far its knowledge goes once a second or so.
//! Comparing their last words would find every entry behind some other at nearly any moment, by the age of
//! its word alone, and each would fetch a whole list from a peer that it does not need. So the word of an
//! entry is judged at the moment it comes, by what others had said some time before.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::msg::ReplicationState;

/// Time after which every entry that hears its source has what another one has said: a watch brings news
/// within 600 ms, and what is new is due within two seconds.
const LAG_TIME: Duration = Duration::from_millis(900);

/// How far the knowledge of all entries goes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Newest {
    catalogue: u64,
    targets: u64,
}

/// What entries have said of their knowledge, lately and before.
#[derive(Debug, Clone, Default)]
pub struct Lag {
    /// Due everywhere.
    due: Newest,
    newest: Newest,
    /// Each rise of the newest that is not due yet, the oldest first.
    rises: VecDeque<(Duration, Newest)>,
}

impl Lag {
    /// Takes in the word of an entry, and tells whether that entry lags.
    pub fn observe(&mut self, known: &ReplicationState, now: Duration) -> bool {
        while let Some((_, newest)) = self
            .rises
            .pop_front_if(|(at, _)| now.saturating_sub(*at) >= LAG_TIME)
        {
            self.due = newest;
        }
        let newest = Newest {
            catalogue: self.newest.catalogue.max(known.catalogue),
            targets: self.newest.targets.max(known.targets),
        };
        if newest != self.newest {
            self.newest = newest;
            self.rises.push_back((now, newest));
        }
        known.catalogue < self.due.catalogue || known.targets < self.due.targets
    }
}
