//! Builds states of control with entries and targets.
// Each test file is a separate crate and uses only some of these items.
#![allow(dead_code, unreachable_pub, missing_docs)]

use std::sync::Arc;

use stair_config::{
    Catalogue,
    Model, //
};
use stair_entry::control::state::{
    Config,
    State,
    Versioned, //
};
use stair_platform::{
    IncarnationRecord,
    Manifest,
    TargetKind,
    Vm,
    VmRole,
    VmState, //
};
use stair_types::{
    ApplyId,
    ConfigVersion,
    DataCentre,
    EntryName,
    FencingToken,
    ModelName,
    StoreRevision,
    TargetName, //
};

pub fn entry(i: u32) -> EntryName {
    EntryName::try_from(format!("entry-{i}").as_str()).expect("a good name")
}

pub fn target(i: u32) -> TargetName {
    TargetName::try_from(format!("target-{i}").as_str()).expect("a good name")
}

pub fn model_name(i: u32) -> ModelName {
    ModelName::try_from(format!("model-{i}").as_str()).expect("a good name")
}

pub fn vm(role: VmRole, state: VmState) -> Vm {
    Vm {
        role,
        data_centre: data_centre(),
        state,
    }
}

pub fn target_vm(i: u32, state: VmState) -> Vm {
    vm(VmRole::Target { name: target(i) }, state)
}

pub fn entry_vm(i: u32) -> Vm {
    let link = ([10, 0, 0, i as u8], 7_000).into();
    let name = entry(i);
    vm(VmRole::Entry { name, link }, VmState::Live)
}

pub fn record(token: u64) -> IncarnationRecord {
    IncarnationRecord {
        token: FencingToken(token),
        link: ([10, 1, 0, 1], 7_000).into(),
        data_centre: data_centre(),
        kind: TargetKind::Engine { memory_mib: 80_000 },
    }
}

pub fn config(revision: u64, version: u64, models: u32, replicas: u16) -> Config {
    let mut models: Vec<Model> = (0..models).map(|i| model(i, replicas)).collect();
    models.sort_by(|a, b| a.name.cmp(&b.name));
    Config {
        manifest: Versioned {
            version: StoreRevision::new(0, revision),
            value: Some(Manifest {
                version: ConfigVersion(version),
                apply_id: ApplyId("a".into()),
                earlier: Vec::new(),
                chunks: Vec::new(),
            }),
        },
        chunks: Arc::default(),
        catalogue: Arc::new(Catalogue {
            models,
            ..Catalogue::default()
        }),
    }
}

/// Returns a confirmed state that is complete up to revision 1,000.
pub fn state(targets: u32, models: u32, replicas: u16) -> State {
    let mut state = State::default();
    state.update_config(config(1, 1, models, replicas));
    state.update_vm(
        "entry-0".into(),
        StoreRevision::new(0, 2),
        Some(entry_vm(0)),
    );
    for i in 0..targets {
        let name = target(i).as_str().into();
        state.update_vm(
            name,
            StoreRevision::new(0, 3),
            Some(target_vm(i, VmState::Live)),
        );
        state.update_incarnation(target(i), StoreRevision::new(0, 4), Some(record(1)));
    }
    state.advance_revision(StoreRevision::new(0, 1_000));
    state.confirmed = true;
    state
}

fn model(i: u32, replicas: u16) -> Model {
    Model {
        name: model_name(i),
        version: "1".into(),
        memory_mib: 20_000,
        replicas,
        repeatable: true,
        adapters: Vec::new(),
    }
}

fn data_centre() -> DataCentre {
    DataCentre::try_from("dc").expect("a good name")
}
