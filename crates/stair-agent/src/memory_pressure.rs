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
const REPORT_AFTER: Duration = Duration::from_secs(1);

/// A model that finds no room.
#[derive(Debug, Clone)]
pub(crate) struct MemoryPressure {
    model: ModelName,
    since: Duration,
    /// When it was last found so; one that was not for a while has room, or nobody waits.
    last: Duration,
}

impl Core {
    /// Notes that a waiting model finds no room, although everything unused may go for it.
    pub(crate) fn record_memory_pressure(&mut self, model: &ModelName) {
        let now = self.now();
        match self.memory_pressure.iter_mut().find(|n| n.model == *model) {
            Some(found) => found.last = now,
            None => self.memory_pressure.push(MemoryPressure {
                model: model.clone(),
                since: now,
                last: now,
            }),
        }
    }

    /// Returns the grants of the models that have found no room for a while.
    pub(crate) fn grants_under_pressure(&mut self) -> Vec<(ShardId, GrantId)> {
        let now = self.now();
        self.memory_pressure.retain(|n| now - n.last < REPORT_AFTER);
        let lasting = self
            .memory_pressure
            .iter()
            .filter(|n| now - n.since >= REPORT_AFTER);
        let mut grants: Vec<(ShardId, GrantId)> = lasting
            .filter_map(|n| self.in_force.grant_of(&n.model))
            .collect();
        grants.sort_unstable();
        grants
    }
}
