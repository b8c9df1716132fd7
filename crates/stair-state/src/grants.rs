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
pub const SHARDS: u16 = 32;

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
