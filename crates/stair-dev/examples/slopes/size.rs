//! Fleets and catalogues of a given size, without any process.

use std::sync::Arc;

use stair_config::{
    Adapter,
    Catalogue,
    Model,
    chunks, //
};
use stair_entry::control::{
    propose::Planner,
    state::{
        Config,
        State,
        Versioned, //
    },
};
use stair_platform::{
    ChunkRef,
    IncarnationRecord,
    Manifest,
    TargetKind,
    Vm,
    VmRole,
    VmState, //
};
use stair_types::{
    AdapterName,
    ApplyId,
    ConfigVersion,
    DataCentre,
    EntryName,
    FencingToken,
    ModelName,
    ShardId,
    StoreRevision,
    TargetName, //
};

/// How large a deployment is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    pub(crate) entries: u32,
    pub(crate) targets: u32,
    pub(crate) models: u32,
    pub(crate) adapters: u32,
}

impl Size {
    /// The size to design for, or a part of it.
    pub(crate) fn planned(part: u32, of: u32) -> Self {
        Self {
            entries: 410 * part / of,
            targets: 12_000 * part / of,
            models: 430 * part / of,
            adapters: 16_000 * part / of,
        }
    }

    /// Replicas of each model, so that all models together are granted twice what all
    /// accelerators hold at once.
    fn replicas(self) -> u16 {
        (2 * self.targets / self.models.max(1)).clamp(1, 20_000) as u16
    }
}

const DATA_CENTRES: u32 = 11;
const MEMORY_MIB: u32 = 80_000;

/// Returns a catalogue with names as long as operators give them.
pub(crate) fn catalogue(size: Size) -> anyhow::Result<Catalogue> {
    let mut catalogue = stair_dev::sample::catalogue()?;
    catalogue.models.clear();
    for i in 0..size.models {
        catalogue.models.push(model(size, i)?);
    }
    Ok(catalogue)
}

fn model(size: Size, i: u32) -> anyhow::Result<Model> {
    let count = (size.adapters + i) / size.models.max(1);
    let adapters = (0..count).map(|a| {
        Ok(Adapter {
            name: AdapterName::try_from(format!("tenant-{a:04}-style").as_str())?,
            version: "2026-11-30".into(),
            memory_mib: 200,
        })
    });
    Ok(Model {
        name: ModelName::try_from(format!("language-model-{i:05}").as_str())?,
        version: "2026-11-30".into(),
        memory_mib: 20_000 + 100 * (i % 300),
        replicas: size.replicas(),
        repeatable: true,
        adapters: adapters.collect::<anyhow::Result<_>>()?,
    })
}

/// Returns what an entry knows in such a deployment, with all grants made.
pub(crate) fn state(size: Size) -> anyhow::Result<State> {
    let mut state = State::default();
    let mut revision = 0;
    let mut next = || {
        revision += 1;
        revision
    };
    state.update_config(config(&catalogue(size)?, ConfigVersion(1), next())?);
    for i in 0..size.entries {
        let name = format!("entry-{i:05}");
        let role = VmRole::Entry {
            name: EntryName::try_from(name.as_str())?,
            link: address(i),
        };
        state.update_vm(
            name.as_str().into(),
            StoreRevision::new(0, next()),
            Some(vm(role, i)?),
        );
    }
    for i in 0..size.targets {
        let name = TargetName::try_from(format!("target-{i:06}").as_str())?;
        let role = VmRole::Target { name: name.clone() };
        state.update_vm(
            name.as_str().into(),
            StoreRevision::new(0, next()),
            Some(vm(role, i)?),
        );
        let record = IncarnationRecord {
            token: FencingToken(1),
            link: address(i),
            data_centre: data_centre(i)?,
            kind: TargetKind::Engine {
                memory_mib: MEMORY_MIB,
            },
        };
        state.update_incarnation(name, StoreRevision::new(0, next()), Some(record));
    }
    state.confirmed = true;
    let mut planner = Planner::new(&state);
    for shard in 0..state.shards.len() {
        let shard = ShardId(shard as u16);
        if let Some(made) = planner.propose(&state, shard) {
            state.update_shard(shard, StoreRevision::new(0, next()), Some(made));
        }
    }
    state.advance_revision(StoreRevision::new(0, next()));
    Ok(state)
}

/// Returns a catalogue as a feed would bring it.
pub(crate) fn config(
    catalogue: &Catalogue,
    version: ConfigVersion,
    revision: u64,
) -> anyhow::Result<Config> {
    let chunks = chunks::split(catalogue)?;
    let refs = chunks.iter().map(|c| ChunkRef {
        hash: c.hash.clone(),
    });
    let manifest = Manifest {
        version,
        apply_id: ApplyId("0".repeat(32).into()),
        earlier: vec![ApplyId("0".repeat(32).into()); 64],
        chunks: refs.collect(),
    };
    Ok(Config {
        manifest: Versioned {
            version: StoreRevision::new(0, revision),
            value: Some(manifest),
        },
        catalogue: Arc::new(catalogue.clone()),
        chunks: Arc::new(chunks),
    })
}

fn vm(role: VmRole, i: u32) -> anyhow::Result<Vm> {
    Ok(Vm {
        role,
        data_centre: data_centre(i)?,
        state: VmState::Live,
    })
}

pub(crate) fn data_centre(i: u32) -> anyhow::Result<DataCentre> {
    Ok(DataCentre::try_from(
        format!("region-{}-dc-{}", i % 4, i % DATA_CENTRES).as_str(),
    )?)
}

fn address(i: u32) -> std::net::SocketAddr {
    let [_, a, b, c] = i.to_be_bytes();
    ([10, a, b, c], 7_000).into()
}
