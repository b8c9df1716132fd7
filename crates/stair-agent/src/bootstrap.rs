//! Reads of the platform's objects at the agent's start: its grants and the live entries.

use serde::de::DeserializeOwned;
use stair_platform::{
    Error,
    Event,
    Kind,
    Object,
    ObjectStore,
    Vm,
    VmRole,
    VmState, //
};
use stair_state::{
    GrantShard,
    grants::shard_named, //
};
use stair_telemetry::Part;
use stair_types::TargetName;
use stair_wire::control::{
    AssignedGrant,
    EntryAddress,
    ShardAssignment, //
};

use crate::incarnation::Backoff;

/// Reads the shards' versions and the target's grants. Retries until the platform replies.
pub(crate) async fn list_grants<S>(store: &S, target: &TargetName) -> Vec<ShardAssignment>
where
    S: ObjectStore,
{
    let objects = list_objects(store, Kind::Grants).await;
    let shards = objects.iter().filter_map(|o| shard(o, target));
    shards.collect()
}

/// Reads the live entries, sorted by name. Retries until the platform replies.
pub(crate) async fn list_entries<S>(store: &S) -> Vec<EntryAddress>
where
    S: ObjectStore,
{
    let objects = list_objects(store, Kind::Vm).await;
    let mut entries: Vec<EntryAddress> = objects.iter().filter_map(entry).collect();
    entries.sort_by(|a, b| a.name.cmp(&b.name));
    entries
}

async fn list_objects<S>(store: &S, kind: Kind) -> Vec<Object>
where
    S: ObjectStore,
{
    let mut backoff = Backoff::default();
    loop {
        match store.list(kind).await {
            Ok(page) => {
                for e in &page.unreadable {
                    stair_telemetry::warn!(Part::Platform, "an object does not decode: {e}");
                }
                return page.events.into_iter().filter_map(put).collect();
            }
            Err(Error::NotFound) => return Vec::new(),
            Err(e) => stair_telemetry::warn!(Part::Platform, "cannot list {}: {e}", kind.as_str()),
        }
        backoff.wait().await;
    }
}

fn put(event: Event) -> Option<Object> {
    match event {
        Event::Put(object) => Some(object),
        Event::Deleted { .. } => None,
    }
}

fn shard(object: &Object, target: &TargetName) -> Option<ShardAssignment> {
    let id = shard_named(&object.name)?;
    let shard: GrantShard = decode(object)?;
    let grants = shard.of_target(target).map(|g| AssignedGrant {
        id: g.id,
        model: g.model.clone(),
        revoking: g.revoking,
    });
    Some(ShardAssignment {
        shard: id,
        version: object.version,
        complete: true,
        grants: grants.collect(),
    })
}

fn entry(object: &Object) -> Option<EntryAddress> {
    let vm: Vm = decode(object)?;
    match vm.role {
        VmRole::Entry { name, link } if vm.state == VmState::Live => Some(EntryAddress {
            name,
            data_centre: vm.data_centre,
            link,
        }),
        _ => None,
    }
}

fn decode<T>(object: &Object) -> Option<T>
where
    T: DeserializeOwned,
{
    match serde_json::from_value(object.value.clone()) {
        Ok(value) => Some(value),
        Err(e) => {
            stair_telemetry::error!(
                Part::Platform,
                "object {} does not decode: {e}",
                object.name
            );
            None
        }
    }
}
