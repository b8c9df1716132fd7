//! What control tells: the snapshot for peers, the status and the state dump for the operator.

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
        let revision = objects.iter().map(|o| o.version).max().unwrap_or(0);
        Snapshot { revision, objects }
    }

    pub(super) fn status(&self) -> Value {
        json!({
            "entry": self.args.name,
            // What is published, not what has just arrived: an operator who waits for a version
            // must not be told that it is in force before requests meet it.
            "config": self.args.view.borrow().config,
            "confirmed": self.state.confirmed,
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

fn object<T>(kind: Kind, name: &str, held: &Versioned<T>) -> Option<Object>
where
    T: serde::Serialize,
{
    let value = serde_json::to_value(held.value.as_ref()?).ok()?;
    Some(Object {
        kind,
        name: name.into(),
        version: held.version,
        value,
    })
}

fn chunk_object(chunk: &Chunk) -> Object {
    Object {
        kind: Kind::Chunk,
        name: chunk.hash.clone(),
        version: 0,
        value: chunk.value.clone(),
    }
}
