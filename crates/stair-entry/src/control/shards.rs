//! Conditional updates of the grants.

use stair_platform::{
    Condition,
    Error,
    Kind,
    ObjectStore, //
};
use stair_state::GrantShard;
use stair_types::ShardId;

use crate::control::state::Versioned;

/// Tries of one update. Each conflict means that another entry's update took effect, so with a
/// few entries at work on a shard a few tries are enough; the next round starts over anyway.
const MAX_ATTEMPTS: usize = 4;

/// Writes a shard that was derived from a given version, and returns it with its new version.
///
/// # Errors
///
/// [`Error::Conflict`] when the shard has changed since; the caller derives again from the state.
pub async fn replace<S>(
    store: &S,
    shard: ShardId,
    from: u64,
    next: GrantShard,
) -> Result<Versioned<GrantShard>, Error>
where
    S: ObjectStore,
{
    let condition = match from {
        0 => Condition::Absent,
        version => Condition::Version(version),
    };
    let value = serde_json::to_value(&next).map_err(|e| Error::Invalid(e.to_string().into()))?;
    let version = store
        .put(Kind::Grants, &shard.to_string(), &value, condition)
        .await?;
    Ok(Versioned {
        version,
        value: Some(next),
    })
}

/// Reads a shard, changes it and writes it if it has not changed meanwhile, until that succeeds.
/// Returns the shard as it is afterwards, or none when `change` had nothing to change.
///
/// A write whose answer was lost is settled by reading again: `change` then finds its effect and
/// has nothing to change, or finds that the write was lost and changes again. So `change` must be
/// idempotent.
///
/// # Errors
///
/// As any call of the platform, and [`Error::Conflict`] after several conflicts in a row.
pub async fn update<S, F>(
    store: &S,
    shard: ShardId,
    mut change: F,
) -> Result<Option<Versioned<GrantShard>>, Error>
where
    S: ObjectStore,
    F: FnMut(&mut GrantShard) -> bool,
{
    let mut last = Error::Conflict;
    for _ in 0..MAX_ATTEMPTS {
        let object = store.get(Kind::Grants, &shard.to_string()).await?;
        let mut value: GrantShard = serde_json::from_value(object.value)
            .map_err(|e| Error::Invalid(e.to_string().into()))?;
        if !change(&mut value) {
            return Ok(None);
        }
        match replace(store, shard, object.version, value).await {
            Ok(written) => return Ok(Some(written)),
            Err(e @ (Error::Conflict | Error::Unknown(_))) => last = e,
            Err(e) => return Err(e),
        }
    }
    Err(last)
}
