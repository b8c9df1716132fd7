//! Grants: durable permissions of targets to hold models.
//!
//! A grant is never moved in one step. It is granted, then revoking, then removed once the holder
//! has confirmed that its engine holds the model no longer; only then another target is granted.
//! The number of grants of a model, in either state, is the number of replicas that may be
//! loaded.

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::{
    GrantId,
    ModelName,
    ShardId,
    TargetName, //
};

/// Shards of the grants; fixed for a deployment's life, since it places every model.
///
/// Every entry gets each shard that changes. With 12,000 targets and two grants for each, 32 shards
/// have 62 kB in the mean, and 2,400 replaced VMs a day would bring each entry more than the 7 KB a
/// second that control may cost. With 256 a shard has 8 kB.
pub const SHARDS: u16 = 256;

/// A permission of one target to hold one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Never used again for another grant of the shard.
    pub id: GrantId,
    /// The model.
    pub model: ModelName,
    /// The holder.
    pub target: TargetName,
    /// The holder has been told to give it back and has not confirmed.
    pub revoking: bool,
}

/// The value of one shard's object in the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantShard {
    /// The id that the next new grant takes; only rises.
    pub next_id: GrantId,
    /// Sorted by model, then target.
    pub grants: Vec<Grant>,
}

/// Returns the shard of a model.
pub fn shard_of(model: &ModelName) -> ShardId {
    let hash = xxhash_rust::xxh3::xxh3_64(model.as_str().as_bytes());
    ShardId((hash % u64::from(SHARDS)) as u16)
}

/// Why a grant was not made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum GrantError {
    /// As many grants of the model exist, revoking ones included, as replicas were decided.
    #[error("all {0} replicas are granted")]
    ReplicasExhausted(u16),
    /// The target holds a grant of the model, perhaps one that is being revoked.
    #[error("the target holds a grant of the model")]
    AlreadyGranted,
}

impl GrantShard {
    /// Grants a model to a target, if fewer than `replicas` grants of it exist.
    ///
    /// Grants that are being revoked count: their holder may still have the model loaded.
    ///
    /// # Errors
    ///
    /// See [`GrantError`]; the shard is unchanged.
    pub fn grant(
        &mut self,
        model: &ModelName,
        target: &TargetName,
        replicas: u16,
    ) -> Result<GrantId, GrantError> {
        let of_model = self.of_model(model);
        if of_model.iter().any(|g| g.target == *target) {
            return Err(GrantError::AlreadyGranted);
        }
        if of_model.len() >= usize::from(replicas) {
            return Err(GrantError::ReplicasExhausted(replicas));
        }
        let id = self.next_id;
        self.next_id = GrantId(id.0 + 1);
        let at = self
            .grants
            .partition_point(|g| (&g.model, &g.target) < (model, target));
        self.grants.insert(
            at,
            Grant {
                id,
                model: model.clone(),
                target: target.clone(),
                revoking: false,
            },
        );
        Ok(id)
    }

    /// Begins to take a grant back. Returns whether that changed anything.
    pub fn revoke(&mut self, id: GrantId) -> bool {
        match self.grants.iter_mut().find(|g| g.id == id && !g.revoking) {
            Some(grant) => {
                grant.revoking = true;
                true
            }
            None => false,
        }
    }

    /// Removes a revoking grant whose holder has confirmed that its engine does not hold the
    /// model. Returns whether that changed anything.
    ///
    /// A confirmation that was delayed until after the model was granted to the same target again
    /// names the old id and changes nothing.
    pub fn confirm(&mut self, id: GrantId) -> bool {
        let before = self.grants.len();
        self.grants.retain(|g| g.id != id || !g.revoking);
        self.grants.len() != before
    }

    /// Removes all grants of a target whose VM the platform no longer has. Returns how many.
    ///
    /// Only the platform's word that the VM is gone will do: a VM that is merely silent may hold
    /// the model still.
    pub fn remove_target(&mut self, target: &TargetName) -> usize {
        let before = self.grants.len();
        self.grants.retain(|g| g.target != *target);
        before - self.grants.len()
    }

    /// Returns the grants of a model, revoking ones included, in O(log n).
    pub fn of_model(&self, model: &ModelName) -> &[Grant] {
        let from = self.grants.partition_point(|g| g.model < *model);
        let len = self.grants[from..].partition_point(|g| g.model == *model);
        &self.grants[from..from + len]
    }

    /// Returns the grants of a target, revoking ones included, in O(n).
    pub fn of_target(&self, target: &TargetName) -> impl Iterator<Item = &Grant> {
        self.grants.iter().filter(move |g| g.target == *target)
    }
}
