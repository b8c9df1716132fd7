//! Stand-ins around one agent: a store, an engine and an entry.
// Each test file uses some of them, so `expect(dead_code)` would fail in others.
#![allow(dead_code)]

pub(crate) mod engine;
pub(crate) mod entry;

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration,
};

use stair_agent::{
    Agent,
    dump::Dump, //
};
use stair_config::{
    AgentLimits,
    AgentSettings,
    Model,
    Policy,
    TargetSettings,
    TelemetrySettings,
    Tier,
    TlsSettings, //
};
use stair_link::keys::Authority;
use stair_platform::{
    Kind,
    Vm,
    VmRole,
    VmState, //
};
use stair_state::{
    Grant,
    GrantShard,
    grants::{
        SHARDS,
        shard_of, //
    }, //
};
use stair_types::{
    ConfigVersion,
    GrantId,
    ModelName,
    ShardId,
    StoreRevision,
    TierRank, //
};
use stair_wire::control::{
    AssignedGrant,
    Assignment,
    ShardAssignment, //
};

use engine::FakeEngine;
use entry::FakeEntry;
use stair_standin::memory::MemoryStore;

/// Timeout of every wait, which only a failing test reaches.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) const MEMORY_MIB: u32 = 1000;

pub(crate) fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

pub(crate) fn model(name: &str) -> ModelName {
    ModelName::try_from(name).expect("a name")
}

/// The stand-ins around one agent, and its settings.
pub(crate) struct World {
    pub(crate) authority: Authority,
    pub(crate) store: MemoryStore,
    pub(crate) engine: FakeEngine,
    pub(crate) entry: FakeEntry,
    pub(crate) limits: AgentLimits,
    pub(crate) policy: Policy,
    pub(crate) config: u64,
    pub(crate) grants: Vec<Grant>,
    pub(crate) models: Vec<Model>,
}

impl World {
    /// Starts the stand-ins. Each named model takes 400 of 1000 MiB and is granted.
    pub(crate) async fn new(models: &[&str]) -> Self {
        let authority = Authority::generate().expect("keys can be made");
        let entry = FakeEntry::start(&authority);
        let store = MemoryStore::default();
        list_entry(&store, "e1", &entry);
        let grants = models.iter().enumerate().map(|(i, name)| Grant {
            id: GrantId(i as u64 + 1),
            model: model(name),
            target: "t1".try_into().expect("a name"),
            revoking: false,
        });
        let mut world = Self {
            authority,
            store,
            engine: FakeEngine::start(MEMORY_MIB).await,
            entry,
            limits: AgentLimits::default(),
            policy: Policy::default(),
            config: 1,
            grants: grants.collect(),
            models: models.iter().map(|name| declared(name)).collect(),
        };
        world.write_grants();
        world
    }

    /// Writes the grants into the store and sends the new assignment.
    pub(crate) fn write_grants(&mut self) {
        for shard in 0..SHARDS {
            let of_shard = self.grants.iter();
            let of_shard = of_shard.filter(|g| shard_of(&g.model) == ShardId(shard));
            let value = GrantShard {
                next_id: GrantId(1000),
                grants: of_shard.cloned().collect(),
            };
            self.store.set(Kind::Grants, &shard.to_string(), &value);
        }
        self.entry.assign(self.assignment());
    }

    pub(crate) fn assignment(&self) -> Assignment {
        let shards = (0..SHARDS).map(|shard| {
            let of_shard = self.grants.iter();
            let of_shard = of_shard.filter(|g| shard_of(&g.model) == ShardId(shard));
            ShardAssignment {
                shard: ShardId(shard),
                version: version_of(&self.store, shard),
                complete: true,
                grants: of_shard
                    .map(|g| AssignedGrant {
                        id: g.id,
                        model: g.model.clone(),
                        revoking: g.revoking,
                    })
                    .collect(),
            }
        });
        Assignment {
            config: ConfigVersion(self.config),
            tiers: vec![tier("gold", 0), tier("bronze", 1)],
            policy: self.policy.clone(),
            service: None,
            shards: shards.collect(),
            models: self.models.clone(),
        }
    }

    pub(crate) fn settings(&self) -> AgentSettings {
        AgentSettings {
            name: "t1".try_into().expect("a name"),
            data_centre: "dc1".try_into().expect("a name"),
            advertise: None,
            link: any_port(),
            operator: any_port(),
            platform: any_port(),
            target: TargetSettings::Engine {
                address: self.engine.addr,
                memory_mib: MEMORY_MIB,
            },
            tls: TlsSettings {
                authority: "unused".into(),
                certificate: "unused".into(),
                key: "unused".into(),
            },
            limits: self.limits.clone(),
            telemetry: TelemetrySettings::default(),
        }
    }

    /// Starts an agent and waits until the assignment is in force.
    pub(crate) async fn agent(&self) -> Agent {
        let agent = self.start().await.expect("the agent starts");
        let config = ConfigVersion(self.config);
        until(&agent, |d| d.config == config).await;
        agent
    }

    pub(crate) async fn start(&self) -> anyhow::Result<Agent> {
        let keys = self.authority.issue().expect("keys can be made");
        Agent::start(self.settings(), keys, self.store.clone()).await
    }
}

fn version_of(store: &MemoryStore, shard: u16) -> StoreRevision {
    let object = store.object(Kind::Grants, &shard.to_string());
    object.map_or(StoreRevision::NONE, |o| o.version)
}

/// Adds an entry to the platform's list of VMs.
pub(crate) fn list_entry(store: &MemoryStore, name: &str, entry: &FakeEntry) {
    let vm = Vm {
        role: VmRole::Entry {
            name: name.try_into().expect("a name"),
            link: entry.addr,
        },
        data_centre: "dc1".try_into().expect("a name"),
        state: VmState::Live,
    };
    store.set(Kind::Vm, name, &vm);
}

pub(crate) fn declared(name: &str) -> Model {
    Model {
        name: model(name),
        version: "v1".into(),
        memory_mib: 400,
        replicas: 1,
        repeatable: false,
        adapters: Vec::new(),
    }
}

fn tier(name: &str, rank: u8) -> Tier {
    Tier {
        name: name.try_into().expect("a name"),
        rank: TierRank(rank),
        floor_percent: 0,
        timeout_ms: 10_000,
        max_waiting: 100,
    }
}

/// Waits until the agent's state dump meets a condition, and returns the dump.
pub(crate) async fn until<F>(agent: &Agent, condition: F) -> Dump
where
    F: Fn(&Dump) -> bool,
{
    let reached = async {
        loop {
            let dump = agent.dump().await.expect("the agent is running");
            if condition(&dump) {
                return dump;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, reached)
        .await
        .expect("the state is reached in time")
}

/// Waits until a condition outside the agent holds.
pub(crate) async fn eventually<F>(condition: F)
where
    F: Fn() -> bool,
{
    let reached = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, reached)
        .await
        .expect("the condition holds in time");
}
