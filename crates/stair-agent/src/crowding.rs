//! Which grants find no room, so that an entry may move them.

use std::time::Duration;

use stair_types::{
    GrantId,
    ModelName,
    ShardId, //
};

use crate::control::Core;

/// A model counts as crowded out when requests have waited for room for so long. Most runs end
/// sooner and make room by themselves; a move costs two writes and perhaps a load from afar, so it
/// should not follow each brief rush.
const CROWDED_AFTER: Duration = Duration::from_secs(1);

/// A model that finds no room.
#[derive(Debug, Clone)]
pub(crate) struct NoRoom {
    model: ModelName,
    since: Duration,
    /// When it was last found so; one that was not for a while has room, or nobody waits.
    last: Duration,
}

impl Core {
    /// Notes that a waiting model finds no room, although everything unused may go for it.
    pub(crate) fn note_no_room(&mut self, model: &ModelName) {
        let now = self.now();
        match self.no_room.iter_mut().find(|n| n.model == *model) {
            Some(found) => found.last = now,
            None => self.no_room.push(NoRoom {
                model: model.clone(),
                since: now,
                last: now,
            }),
        }
    }

    /// Returns the grants of the models that have found no room for a while.
    pub(crate) fn crowded(&mut self) -> Vec<(ShardId, GrantId)> {
        let now = self.now();
        self.no_room.retain(|n| now - n.last < CROWDED_AFTER);
        let crowded = self
            .no_room
            .iter()
            .filter(|n| now - n.since >= CROWDED_AFTER);
        let mut grants: Vec<(ShardId, GrantId)> = crowded
            .filter_map(|n| self.in_force.grant_of(&n.model))
            .collect();
        grants.sort_unstable();
        grants
    }
}
