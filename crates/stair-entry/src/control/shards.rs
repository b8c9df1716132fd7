//! Conditional updates of the shards of grants.

use stair_platform::{
    Condition,
    Error,
    Kind,
    ObjectStore, //
};
use stair_state::GrantShard;
use stair_types::{
    Era,
    ShardId,
    StoreRevision, //
};

use crate::control::state::Versioned;

/// Attempts of one update. Each conflict means that another entry's update took effect, so a few
/// attempts suffice while few entries work on a shard. The next pass of proposals starts over anyway.
const MAX_ATTEMPTS: usize = 4;

/// Writes a shard that was derived from a given version, and returns it with its new version.
///
/// # Errors
///
/// [`Error::Conflict`] when the shard has changed since; the caller derives it again from the state.
pub async fn replace<S>(
    store: &S,
    shard: ShardId,
    from: StoreRevision,
    next: GrantShard,
) -> Result<Versioned<GrantShard>, Error>
where
    S: ObjectStore,
{
    let condition = match from.counter {
        0 => Condition::Absent,
        _ => Condition::Version(from),
    };
    let value = serde_json::to_value(&next).map_err(|e| Error::Invalid(e.to_string().into()))?;
    let version = store
        .put(Kind::Grants, &shard.to_string(), &value, condition)
        .await?;
    // Derived from the state of one era, it must not count as written in another.
    if version.era != from.era && from.era != Era::default() {
        return Err(Error::Unknown("written in another era".into()));
    }
    Ok(Versioned {
        version,
        value: Some(next),
    })
}

/// Reads a shard, applies `change` and writes the shard if it has not changed meanwhile; repeats this
/// after a conflict. Returns the written shard, or none when `change` returned false.
///
/// A write whose reply was lost is resolved by reading again: `change` then finds its effect and
/// returns false, or finds that the write was lost and applies it again. So `change` must be
/// idempotent.
///
/// `era` is that of the caller's state. In another one the shard may be a copy that has not been merged
/// with what is known.
///
/// # Errors
///
/// As any call of the platform, [`Error::Unavailable`] in another era, and [`Error::Conflict`] after
/// several conflicts in a row.
pub async fn update<S, F>(
    store: &S,
    shard: ShardId,
    era: Era,
    mut change: F,
) -> Result<Option<Versioned<GrantShard>>, Error>
where
    S: ObjectStore,
    F: FnMut(&mut GrantShard) -> bool,
{
    let mut last = Error::Conflict;
    for _ in 0..MAX_ATTEMPTS {
        let object = store.get(Kind::Grants, &shard.to_string()).await?;
        if object.version.era != era {
            return Err(Error::Unavailable("it is in another era".into()));
        }
        let mut value: GrantShard = serde_json::from_value(object.value)
            .map_err(|e| Error::Invalid(e.to_string().into()))?;
        value.begin_era(era);
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
