//! Grants: durable permissions of targets to load models.
//!
//! A grant moves to another target in two steps. It is marked as revoking, and it is removed once
//! its target confirms that the engine has unloaded the model; only then may another target get a
//! grant. The number of grants of a model, revoking ones included, bounds the number of replicas
//! that are loaded.

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::{
    Era,
    GrantId,
    ModelName,
    ShardId,
    TargetName, //
};

/// Number of shards of the grants. It is fixed for the lifetime of a deployment, since it
/// determines the shard of every model.
///
/// Every entry receives each shard that changes. With 12,000 targets and two grants for each, one
/// of 32 shards has 62 kB on average, and 2,400 replaced VMs a day would send each entry more than
/// the 7 KB per second that control traffic may use. One of 256 shards has 8 kB.
pub const SHARDS: u16 = 256;

/// The permission of one target to load one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Unique among all present and past grants of the shard.
    pub id: GrantId,
    /// The base model.
    pub model: ModelName,
    /// The target that may load the model.
    pub target: TargetName,
    /// Whether the grant is being revoked. It still counts until the target has confirmed.
    pub revoking: bool,
}

/// All grants of one shard, as stored in one object of the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantShard {
    /// The id of the next new grant. It never decreases.
    pub next_id: GrantId,
    /// Sorted by model, then target.
    pub grants: Vec<Grant>,
}

/// Returns the shard that stores the grants of a model.
pub fn shard_of(model: &ModelName) -> ShardId {
    let hash = xxhash_rust::xxh3::xxh3_64(model.as_str().as_bytes());
    ShardId((hash % u64::from(SHARDS)) as u16)
}

/// Returns the shard whose object has this name. Another spelling of its number is another object's name.
pub fn shard_named(name: &str) -> Option<ShardId> {
    let number: u16 = name.parse().ok()?;
    let is_name = number < SHARDS && number.to_string() == name;
    is_name.then_some(ShardId(number))
}

/// Why a grant was not made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum GrantError {
    /// As many grants of the model exist, revoking ones included, as the given number of replicas.
    #[error("all {0} replicas are granted")]
    ReplicasExhausted(u16),
    /// The target has a grant of the model already, possibly a revoking one.
    #[error("the target already has a grant of the model")]
    AlreadyGranted,
}

impl GrantShard {
    /// Grants a model to a target if fewer than `replicas` grants of the model exist, and returns
    /// the id of the new grant.
    ///
    /// Revoking grants count, since their targets may still have the model loaded.
    ///
    /// # Errors
    ///
    /// See [`GrantError`]; the shard is unchanged on error.
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

    /// Whether the shard was written by a process that knew of this era.
    pub fn is_of(&self, era: Era) -> bool {
        self.next_id.0 > era.first_number()
    }

    /// Makes the ids of new grants differ from all that were given out in earlier eras, also from those
    /// that the platform has lost.
    pub fn begin_era(&mut self, era: Era) {
        if era != Era::default() {
            let first = GrantId(era.first_number() + 1);
            self.next_id = self.next_id.max(first);
        }
    }

    /// Adds the grants of a copy of an earlier state. Those that are unknown here had ended: they are
    /// revoked, and end again once their targets confirm.
    pub fn merge_copy(&mut self, copy: &Self) {
        self.next_id = self.next_id.max(copy.next_id);
        for grant in &copy.grants {
            let key = |g: &Grant| (g.model.clone(), g.target.clone());
            if let Err(at) = self.grants.binary_search_by_key(&key(grant), key) {
                let ended = Grant {
                    revoking: true,
                    ..grant.clone()
                };
                self.grants.insert(at, ended);
            }
        }
    }

    /// Marks a grant as revoking. Returns whether the shard changed.
    pub fn revoke(&mut self, id: GrantId) -> bool {
        match self.grants.iter_mut().find(|g| g.id == id && !g.revoking) {
            Some(grant) => {
                grant.revoking = true;
                true
            }
            None => false,
        }
    }

    /// Removes a revoking grant after its target has confirmed that the engine has unloaded the
    /// model. Returns whether the shard changed.
    ///
    /// A confirmation that arrives after the model was granted to the same target again names the
    /// id of the earlier grant and changes nothing.
    pub fn confirm(&mut self, id: GrantId) -> bool {
        let before = self.grants.len();
        self.grants.retain(|g| g.id != id || !g.revoking);
        self.grants.len() != before
    }

    /// Removes all grants of a target whose VM was removed. Returns the number of grants removed.
    ///
    /// The platform has to state that the VM was removed: an unresponsive VM may still have the
    /// model loaded.
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
