//! Starts and stops the parts of a small deployment.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use anyhow::{
    Context,
    bail, //
};
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
use stair_entry::Entry;
use stair_link::keys::Authority;
use stair_platform::{
    HttpStore,
    VmRole,
    apply,
    http, //
};
use stair_standin::{
    engine,
    engine::Engine,
    platform::Platform,
    recorder::Recorder,
    service,
    service::Service, //
};
use stair_types::{
    ApplyId,
    EntryName,
    ServiceName,
    TargetName, //
};

use crate::loopback::{
    any_port,
    data_centre,
    live,
    no_files, //
};

/// Size and addresses of a deployment.
#[derive(Debug, Clone)]
pub struct Options {
    /// Where the first entry takes callers; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Entries.
    pub entries: u16,
    /// Engines, each with an agent.
    pub engines: u16,
    /// Targets of each plain service of the catalogue.
    pub services: u16,
    /// What the engines are like; the name is set here.
    pub engine: engine::Options,
    /// What is applied.
    pub catalogue: Catalogue,
    /// Bounds of the entries.
    pub limits: EntryLimits,
}

impl Options {
    /// Returns the options of `dandelionstair dev` for a catalogue.
    pub fn sample(catalogue: Catalogue) -> Self {
        Self {
            listen: any_port(),
            entries: 2,
            engines: 3,
            services: 1,
            engine: engine::Options {
                load_from_remote: Duration::from_secs(2),
                load_from_disk: Duration::from_millis(800),
                load_from_memory: Duration::from_millis(200),
                first_token: Duration::from_millis(40),
                per_token: Duration::from_millis(15),
                ..engine::Options::default()
            },
            catalogue,
            limits: EntryLimits {
                drain_linger_ms: 0,
                ..EntryLimits::default()
            },
        }
    }
}

/// A running deployment.
pub struct Deployment {
    /// The platform's stand-in.
    pub platform: Platform,
    /// What the targets' stand-ins recorded.
    pub recorder: Recorder,
    /// The entries.
    pub entries: Vec<Entry<HttpStore>>,
    /// The agents, of engines first.
    pub agents: Vec<Agent>,
    /// The engines' stand-ins.
    pub engines: Vec<Engine>,
    /// The plain services' stand-ins.
    pub services: Vec<Service>,
}

/// Time for everything to be linked and in force at a start on a slow machine.
const START_TIME: Duration = Duration::from_secs(60);

impl Deployment {
    /// Starts all parts, applies the catalogue, and returns once the first entry serves.
    ///
    /// # Errors
    ///
    /// Fails when an address is taken, or not all is in force within a minute.
    pub async fn start(opts: Options) -> anyhow::Result<Self> {
        let authority = Authority::generate()?;
        let platform = Platform::start(any_port())
            .await
            .context("the platform's stand-in cannot listen")?;
        let mut deployment = Self {
            platform,
            recorder: Recorder::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
        };
        deployment.apply(&opts.catalogue).await?;
        for i in 0..opts.entries {
            deployment.add_entry(&opts, &authority, i).await?;
        }
        for i in 0..opts.engines {
            deployment.add_engine(&opts, &authority, i).await?;
        }
        for declared in &opts.catalogue.services {
            for i in 0..opts.services {
                deployment
                    .add_service(&declared.name, &authority, i)
                    .await?;
            }
        }
        deployment.until_granted(&opts).await?;
        Ok(deployment)
    }

    /// Returns where the first entry takes callers.
    pub fn listen(&self) -> Option<SocketAddr> {
        self.entries.first().map(|e| e.addresses().listen)
    }

    /// Stops all parts gracefully, entries first.
    ///
    /// # Errors
    ///
    /// When an agent's stop fails.
    pub async fn stop(self) -> anyhow::Result<()> {
        for entry in self.entries {
            entry.stop().await;
        }
        for agent in self.agents {
            agent.stop().await?;
        }
        for engine in &self.engines {
            engine.stop().await?;
        }
        for service in &self.services {
            service.stop().await?;
        }
        self.platform.stop().await?;
        Ok(())
    }

    fn store(&self) -> HttpStore {
        HttpStore::new(self.platform.addr(), http::Options::default())
    }

    async fn apply(&self, catalogue: &Catalogue) -> anyhow::Result<()> {
        let id = ApplyId(format!("{:032x}", rand::random::<u128>()).into());
        let opts = apply::Options {
            apply_id: id,
            from: None,
            patience: START_TIME,
        };
        apply::apply(&self.store(), catalogue, &opts).await?;
        Ok(())
    }

    async fn add_entry(
        &mut self,
        opts: &Options,
        authority: &Authority,
        i: u16,
    ) -> anyhow::Result<()> {
        let settings = EntrySettings {
            name: EntryName::try_from(&*format!("entry-{i}"))?,
            data_centre: data_centre()?,
            listen: if i == 0 { opts.listen } else { any_port() },
            link: any_port(),
            operator: any_port(),
            platform: self.platform.addr(),
            peers: self.entries.iter().map(|e| e.addresses().link).collect(),
            tls: no_files(),
            limits: opts.limits.clone(),
            telemetry: TelemetrySettings::default(),
        };
        let name = settings.name.clone();
        let entry = Entry::start(settings, authority.issue()?, self.store()).await?;
        let role = VmRole::Entry {
            name: name.clone(),
            link: entry.addresses().link,
        };
        self.platform.set_vm(name.as_str(), live(role)?);
        self.entries.push(entry);
        Ok(())
    }

    async fn add_engine(
        &mut self,
        opts: &Options,
        authority: &Authority,
        i: u16,
    ) -> anyhow::Result<()> {
        let name = format!("engine-{i}");
        let engine_opts = engine::Options {
            name: name.as_str().into(),
            ..opts.engine.clone()
        };
        let engine = Engine::start(any_port(), engine_opts, self.recorder.clone()).await?;
        let target = TargetSettings::Engine {
            address: engine.addr(),
            memory_mib: opts.engine.memory_mib,
        };
        self.engines.push(engine);
        self.add_agent(&name, target, authority).await
    }

    async fn add_service(
        &mut self,
        service: &ServiceName,
        authority: &Authority,
        i: u16,
    ) -> anyhow::Result<()> {
        let name = format!("{service}-{i}");
        let opts = service::Options {
            name: name.as_str().into(),
            ..service::Options::default()
        };
        let standin = Service::start(any_port(), opts, self.recorder.clone()).await?;
        let target = TargetSettings::Service {
            address: standin.addr(),
            service: service.clone(),
        };
        self.services.push(standin);
        self.add_agent(&name, target, authority).await
    }

    async fn add_agent(
        &mut self,
        name: &str,
        target: TargetSettings,
        authority: &Authority,
    ) -> anyhow::Result<()> {
        let name = TargetName::try_from(name)?;
        let role = VmRole::Target { name: name.clone() };
        self.platform.set_vm(name.as_str(), live(role)?);
        let settings = AgentSettings {
            name,
            data_centre: data_centre()?,
            link: any_port(),
            advertise: None,
            operator: any_port(),
            platform: self.platform.addr(),
            target,
            tls: no_files(),
            limits: AgentLimits::default(),
            telemetry: TelemetrySettings::default(),
        };
        let agent = Agent::start(settings, authority.issue()?, self.store()).await?;
        self.agents.push(agent);
        Ok(())
    }

    /// Waits until every entry knows a target for every model and service.
    async fn until_granted(&self, opts: &Options) -> anyhow::Result<()> {
        if opts.engines == 0 {
            return Ok(());
        }
        for entry in &self.entries {
            let mut view = entry.view();
            let ready = view.wait_for(|v| {
                let models = !v.holders.is_empty() || opts.catalogue.models.is_empty();
                let granted = v.holders.iter().all(|h| !h.is_empty());
                let provided = v.providers.iter().all(|p| !p.is_empty());
                v.config.0 > 0 && models && granted && provided
            });
            if tokio::time::timeout(START_TIME, ready).await.is_err() {
                bail!("not every model has a target after {START_TIME:?}");
            }
        }
        Ok(())
    }
}
