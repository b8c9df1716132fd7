//! Memory pressure: grants whose models do not fit, which an entry may move to another target.

use std::time::Duration;

use stair_types::{
    GrantId,
    ModelName,
    ShardId, //
};

use crate::control::Core;

/// A model is reported when its requests have waited for memory for at least this time. Most runs
/// end sooner and free memory. A move costs two writes and perhaps a load from the weight store, so
/// a short burst should not cause one.
const REPORT_AFTER: Duration = Duration::from_secs(1);

/// A model that cannot be loaded because all other models in memory are in use.
#[derive(Debug, Clone)]
pub(crate) struct MemoryPressure {
    model: ModelName,
    since: Duration,
    /// The last failed attempt to free memory for the model. Without a recent one the model fits,
    /// or no request waits for it.
    last: Duration,
}

impl Core {
    /// Records that a model with waiting requests does not fit, even if all unused models were
    /// unloaded.
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

    /// Returns the grants whose models have been under memory pressure for at least
    /// [`REPORT_AFTER`].
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
