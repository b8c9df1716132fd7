//! A fleet in this process: the platform's stand-in, entries behind proxies that count bytes, and
//! agents beside idle engines.

use std::time::Duration;

use anyhow::Context;
use stair_agent::Agent;
use stair_config::{
    AgentLimits,
    AgentSettings,
    Catalogue,
    EntryLimits,
    EntrySettings,
    TargetSettings,
    TelemetrySettings, //
};
use stair_dev::loopback::{
    any_port,
    data_centre,
    live,
    no_files, //
};
use stair_entry::Entry;
use stair_link::keys::Authority;
use stair_platform::{
    HttpStore,
    Kind,
    VmRole,
    apply,
    http, //
};
use stair_standin::{
    engine,
    engine::Engine,
    platform::Platform,
    proxy::{
        TcpProxy,
        UdpProxy, //
    },
    recorder::Recorder, //
};
use stair_state::{
    GrantShard,
    grants::SHARDS, //
};
use stair_types::{
    ApplyId,
    EntryName,
    TargetName, //
};

/// Time for anything to happen on a busy machine.
const LIMIT: Duration = Duration::from_secs(60);

/// An entry and the proxies before it.
pub(crate) struct FleetEntry {
    pub(crate) entry: Entry<HttpStore>,
    pub(crate) to_platform: TcpProxy,
    pub(crate) to_link: UdpProxy,
}

/// An agent and its engine.
pub(crate) struct FleetAgent {
    pub(crate) name: TargetName,
    pub(crate) agent: Agent,
    engine: Engine,
}

/// All of it.
pub(crate) struct Fleet {
    pub(crate) platform: Platform,
    pub(crate) entries: Vec<FleetEntry>,
    pub(crate) agents: Vec<FleetAgent>,
    authority: Authority,
}

impl Fleet {
    /// Starts the platform and applies a catalogue.
    pub(crate) async fn start(catalogue: &Catalogue) -> anyhow::Result<Self> {
        let fleet = Self {
            platform: Platform::start(any_port()).await?,
            entries: Vec::new(),
            agents: Vec::new(),
            authority: Authority::generate()?,
        };
        fleet.apply(catalogue).await?;
        Ok(fleet)
    }

    /// Applies a catalogue and returns its version.
    pub(crate) async fn apply(&self, catalogue: &Catalogue) -> anyhow::Result<u64> {
        let opts = apply::Options {
            apply_id: ApplyId(format!("{:032x}", rand::random::<u128>()).into()),
            from: None,
            patience: LIMIT,
        };
        let store = HttpStore::new(self.platform.addr(), http::Options::default());
        match apply::apply(&store, catalogue, &opts).await? {
            apply::Outcome::Applied(v) | apply::Outcome::Unchanged(v) => Ok(v.0),
            other => anyhow::bail!("not applied: {other:?}"),
        }
    }

    /// Starts one more entry.
    pub(crate) async fn add_entry(&mut self) -> anyhow::Result<()> {
        let name = EntryName::try_from(format!("entry-{}", self.entries.len()).as_str())?;
        let to_platform = TcpProxy::start(self.platform.addr()).await?;
        let settings = EntrySettings {
            name: name.clone(),
            data_centre: data_centre()?,
            listen: any_port(),
            link: any_port(),
            operator: any_port(),
            platform: to_platform.addr(),
            peers: Vec::new(),
            tls: no_files(),
            limits: EntryLimits {
                drain_linger_ms: 0,
                ..EntryLimits::default()
            },
            telemetry: TelemetrySettings::default(),
        };
        let store = HttpStore::new(to_platform.addr(), http::Options::default());
        let entry = Entry::start(settings, self.authority.issue()?, store).await?;
        let to_link = UdpProxy::start(entry.addresses().link).await?;
        let role = VmRole::Entry {
            name: name.clone(),
            link: to_link.addr(),
        };
        self.platform.set_vm(name.as_str(), live(role)?);
        self.entries.push(FleetEntry {
            entry,
            to_platform,
            to_link,
        });
        Ok(())
    }

    /// Starts one more agent beside an idle engine.
    pub(crate) async fn add_agent(&mut self) -> anyhow::Result<()> {
        let name = TargetName::try_from(format!("engine-{}", self.agents.len()).as_str())?;
        let opts = engine::Options {
            name: name.as_str().into(),
            ..engine::Options::default()
        };
        let engine = Engine::start(any_port(), opts, Recorder::new()).await?;
        let agent = self.start_agent(&name, &engine).await?;
        self.agents.push(FleetAgent {
            name,
            agent,
            engine,
        });
        Ok(())
    }

    async fn start_agent(&self, name: &TargetName, engine: &Engine) -> anyhow::Result<Agent> {
        let role = VmRole::Target { name: name.clone() };
        self.platform.set_vm(name.as_str(), live(role)?);
        let settings = AgentSettings {
            name: name.clone(),
            data_centre: data_centre()?,
            link: any_port(),
            advertise: None,
            operator: any_port(),
            platform: self.platform.addr(),
            target: TargetSettings::Engine {
                address: engine.addr(),
                memory_mib: engine::Options::default().memory_mib,
            },
            tls: no_files(),
            limits: AgentLimits::default(),
            telemetry: TelemetrySettings::default(),
        };
        let store = HttpStore::new(self.platform.addr(), http::Options::default());
        Agent::start(settings, self.authority.issue()?, store).await
    }

    /// Takes a VM away and starts another of the same name in its place. Returns how many grants
    /// it held: the agents that started first hold far more than the others.
    pub(crate) async fn replace_agent(&mut self) -> anyhow::Result<usize> {
        let FleetAgent {
            name,
            agent,
            engine,
        } = self.agents.remove(self.least_granted());
        let held = self.grants_of(&name);
        agent.stop().await?;
        self.platform.remove_vm(name.as_str());
        let agent = self.start_agent(&name, &engine).await?;
        self.agents.push(FleetAgent {
            name,
            agent,
            engine,
        });
        Ok(held)
    }

    /// Finds the agent that holds fewest grants, but some.
    fn least_granted(&self) -> usize {
        let held = self.agents.iter().map(|a| self.grants_of(&a.name));
        let held = held.enumerate().filter(|(_, grants)| *grants > 0);
        held.min_by_key(|(_, grants)| *grants).map_or(0, |(i, _)| i)
    }

    fn grants_of(&self, target: &TargetName) -> usize {
        let shards = (0..SHARDS).filter_map(|i| {
            let object = self.platform.get(Kind::Grants, &i.to_string())?;
            serde_json::from_value::<GrantShard>(object.value).ok()
        });
        shards.map(|s| s.of_target(target).count()).sum()
    }

    /// Waits until every agent has two links, or as many as there are entries, and every entry
    /// knows a holder for every model.
    pub(crate) async fn until_settled(&self) -> anyhow::Result<()> {
        let links = self.entries.len().min(2);
        for agent in &self.agents {
            while agent.agent.linked().len() < links {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        for e in &self.entries {
            let mut view = e.entry.view();
            let granted = view.wait_for(|v| {
                let full =
                    |(h, m): (&Vec<_>, &stair_config::Model)| h.len() >= usize::from(m.replicas);
                v.config.0 > 0 && v.holders.iter().zip(&v.catalogue.models).all(full)
            });
            let granted = tokio::time::timeout(LIMIT, granted).await;
            granted.context("not all models are granted")??;
        }
        Ok(())
    }
}
