//! Builds the snapshot for peers, and the status and the state dump for the operator.

use serde_json::{
    Value,
    json, //
};
use stair_config::chunks::Chunk;
use stair_platform::{
    Kind,
    Object,
    ObjectStore,
    Snapshot, //
};
use stair_types::StoreRevision;

use crate::control::{actor::Control, state::Versioned};

impl<S> Control<S>
where
    S: ObjectStore,
{
    pub(super) fn snapshot(&self) -> Snapshot {
        let state = &self.state;
        let mut objects = Vec::new();
        let manifest = &state.config.manifest;
        objects.extend(object(Kind::Manifest, "manifest", manifest));
        objects.extend(state.config.chunks.iter().map(chunk_object));
        for (i, shard) in state.shards.iter().enumerate() {
            objects.extend(object(Kind::Grants, &i.to_string(), shard));
        }
        for agent in &state.incarnations {
            objects.extend(object(
                Kind::Incarnation,
                agent.name.as_str(),
                &agent.object,
            ));
        }
        for vm in &state.vms {
            objects.extend(object(Kind::Vm, &vm.name, &vm.object));
        }
        let revision = objects.iter().map(|o| o.version).max();
        let revision = revision.unwrap_or_default();
        Snapshot { revision, objects }
    }

    pub(super) fn status(&self) -> Value {
        json!({
            "entry": self.args.name,
            // The published version, not the one received last: an operator who waits for a version
            // must not see it before it applies to requests.
            "config": self.args.view.borrow().config,
            "confirmed": self.state.confirmed,
            "era": self.args.store.eras().newest(),
            "agents": self.agents.len(),
            "agents_behind": self.agents.iter().filter(|a| a.is_lagging()).count(),
        })
    }

    pub(super) fn dump(&self) -> Value {
        let agents = self.agents.iter().map(|a| {
            json!({
                "target": a.hello.target,
                "incarnation": a.hello.incarnation,
                "config": a.config,
                "behind": a.is_lagging(),
            })
        });
        json!({
            "status": self.status(),
            "state": self.state,
            "entries": *self.entries,
            "agents": agents.collect::<Vec<_>>(),
            "releases_pending": self.releases.len(),
            "shards_needing_change": self.needed_since.iter().flatten().count(),
            "loads_waiting_for_a_turn": self.args.scheduler.waiting(),
        })
    }
}

fn object<T>(kind: Kind, name: &str, versioned: &Versioned<T>) -> Option<Object>
where
    T: serde::Serialize,
{
    let value = serde_json::to_value(versioned.value.as_ref()?).ok()?;
    Some(Object {
        kind,
        name: name.into(),
        version: versioned.version,
        value,
    })
}

fn chunk_object(chunk: &Chunk) -> Object {
    Object {
        kind: Kind::Chunk,
        name: chunk.hash.clone(),
        version: StoreRevision::NONE,
        value: chunk.value.clone(),
    }
}
