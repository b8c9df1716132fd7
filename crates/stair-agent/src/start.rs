//! Start, operation and graceful stop of an agent.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use anyhow::Context as _;
use platform_adapter::response::Stated;
use ractor::{
    Actor,
    ActorRef, //
};
use stair_config::{
    AgentSettings,
    TargetSettings, //
};
use stair_http::{
    Client,
    client, //
};
use stair_link::{
    Dialer,
    Keys,
    Listener,
    Pool,
    link::Probing, //
};
use stair_platform::{
    IncarnationRecord,
    ObjectStore,
    TargetKind, //
};
use stair_state::Ledger;
use stair_telemetry::{
    Metrics,
    Part, //
};
use stair_types::{
    EntryName,
    FencingToken, //
};
use tokio::{
    net::TcpListener,
    sync::{
        mpsc,
        oneshot,
        watch, //
    },
    task::JoinHandle,
};

use crate::{
    assignment::InForce,
    bootstrap,
    control::Control,
    control_links,
    dump::Dump,
    engine::{
        Engine,
        Inventory, //
    },
    incarnation::{
        self,
        Backoff, //
    },
    links,
    lock::{
        self,
        Lock, //
    },
    msg::{
        AgentReport,
        Arguments,
        Msg,
        Published, //
    },
    offers::Shared,
    operator,
    quarantine::LedgerKeeper, //
};

/// Timeout of opening a link to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for the control links to send their last report and close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for the entries to revoke the grants of a stopping agent. It takes them milliseconds, or
/// 3.5 s when the first of them has failed. They cannot while the platform is unavailable, and the
/// agent stops regardless.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time to release the revoked grants after the last run has ended. An unload takes about a second.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for refusals and the ends of responses to reach the entries before the links are closed.
const STREAMS_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of idle connections to the target.
const MAX_IDLE: usize = 64;

/// Time without a link to any entry after which the VMs are listed again. It doubles each time up
/// to [`MAX_REFRESH_INTERVAL`].
const MIN_REFRESH_INTERVAL: Duration = Duration::from_secs(1);
const MAX_REFRESH_INTERVAL: Duration = Duration::from_secs(30);

/// A running agent.
pub struct Agent {
    link: SocketAddr,
    operator: SocketAddr,
    incarnation: FencingToken,
    control: ActorRef<Msg>,
    linked: watch::Receiver<Vec<EntryName>>,
    stop: watch::Sender<bool>,
    done: JoinHandle<anyhow::Result<()>>,
}

/// Runs an agent until `stop` turns true and the graceful stop has finished.
///
/// # Errors
///
/// Fails when an address is in use, the keys are invalid, or a newer agent of the same target
/// controls the engine.
pub async fn run<S>(
    settings: AgentSettings,
    keys: Keys,
    store: S,
    mut stop: watch::Receiver<bool>,
) -> anyhow::Result<()>
where
    S: ObjectStore,
{
    let agent = tokio::select! {
        agent = Agent::start(settings, keys, store) => agent?,
        _ = stop.wait_for(|s| *s) => return Ok(()),
    };
    agent.run_until(stop).await
}

impl Agent {
    /// Starts an agent; returns once it listens for links.
    ///
    /// # Errors
    ///
    /// Fails when an address is in use, another agent of the target runs on this VM, or the keys
    /// are invalid.
    pub async fn start<S>(settings: AgentSettings, keys: Keys, store: S) -> anyhow::Result<Self>
    where
        S: ObjectStore,
    {
        let lock = lock::take(settings.target.address())
            .with_context(|| format!("agent: another agent of {} is running", settings.name))?;
        let operator = TcpListener::bind(settings.operator)
            .await
            .with_context(|| {
                format!("agent: cannot bind operator address {}", settings.operator)
            })?;
        let operator_addr = operator.local_addr()?;
        let listener = Listener::bind(settings.link, &keys)?;
        let link = listener.addr()?;
        let record = record(&settings, settings.advertise.unwrap_or(link));
        let incarnation = incarnation::raise(&store, &settings.name, &record).await;
        stair_telemetry::info!(
            Part::Agent,
            "{} starts as incarnation {incarnation}",
            settings.name
        );
        let record = IncarnationRecord {
            token: incarnation,
            ..record
        };
        let in_force = InForce::new(bootstrap::list_grants(&store, &settings.name).await);
        let (entries, _) = watch::channel(bootstrap::list_entries(&store).await);
        let dialer = Dialer::new(&keys, CONNECT_TIMEOUT)?;

        let address = match settings.target {
            TargetSettings::Engine { address, .. } | TargetSettings::Service { address, .. } => {
                address
            }
        };
        let opts = client::Options {
            max_idle: MAX_IDLE,
            ..client::Options::default()
        };
        let client = Client::new(address, opts);
        let (stated_tx, stated_rx) = mpsc::unbounded_channel();
        let engine = engine(&settings, &client, stated_tx, incarnation);
        let ledger = match &engine {
            Some(engine) => read_ledger(engine, &settings.target).await,
            None => Ledger::new(0, Vec::new()),
        };
        let metrics = Metrics::new(settings.telemetry.statsd)?;
        let published = Published {
            report: watch::Sender::new(AgentReport::default()),
            load: watch::Sender::default(),
            busy: watch::Sender::new(0),
            fatal: watch::Sender::new(None),
        };
        let ledger_keeper = Arc::new(LedgerKeeper::new(metrics.clone()));
        let control = spawn_control(Arguments {
            name: settings.name.clone(),
            incarnation,
            limits: settings.limits,
            metrics,
            target: settings.target,
            client,
            engine,
            ledger,
            in_force,
            traffic: tokio::runtime::Handle::current(),
            published: published.clone(),
            entries: entries.subscribe(),
            pool: Pool::new(dialer.clone(), Probing::CONTROL),
            ledger_keeper: ledger_keeper.clone(),
        })
        .await?;
        tokio::spawn(forward_stated(stated_rx, control.clone()));
        let cx = control_links::Context::new(
            (settings.name, incarnation, settings.data_centre),
            dialer,
            control.clone(),
            published.report.subscribe(),
            entries,
        );
        let linked = cx.linked.subscribe();
        let shared = Shared {
            control: control.clone(),
            incarnation,
            load: published.load.subscribe(),
            ledger_keeper,
            streams: watch::Sender::new(0),
        };
        let (stop, stopping) = watch::channel(false);
        let parts = Parts {
            listener,
            operator,
            shared,
            cx,
            store,
            record,
            published,
            lock,
            drain: stop.clone(),
        };
        Ok(Self {
            link,
            operator: operator_addr,
            incarnation,
            control,
            linked,
            stop,
            done: tokio::spawn(parts.run(stopping)),
        })
    }

    /// Returns the address at which the agent listens for links.
    pub fn link_addr(&self) -> SocketAddr {
        self.link
    }

    /// Returns the address of the operator interface.
    pub fn operator_addr(&self) -> SocketAddr {
        self.operator
    }

    /// Returns the agent's incarnation.
    pub fn incarnation(&self) -> FencingToken {
        self.incarnation
    }

    /// Returns the entries to which the agent has control links.
    pub fn linked(&self) -> Vec<EntryName> {
        self.linked.borrow().clone()
    }

    /// Returns the state dump; none once the agent has stopped.
    pub async fn dump(&self) -> Option<Dump> {
        operator::dump(&self.control).await
    }

    /// Stops gracefully: refuses waiting requests and finishes running ones.
    ///
    /// # Errors
    ///
    /// Fails when a newer agent of the same target controls the engine.
    pub async fn stop(self) -> anyhow::Result<()> {
        self.stop.send_replace(true);
        self.done.await?
    }

    /// Serves until `stop` turns true, then stops gracefully.
    ///
    /// # Errors
    ///
    /// Fails as [`Agent::stop`] does.
    pub async fn run_until(mut self, mut stop: watch::Receiver<bool>) -> anyhow::Result<()> {
        tokio::select! {
            result = &mut self.done => return result?,
            _ = stop.wait_for(|s| *s) => {}
        }
        self.stop().await
    }
}

struct Parts<S> {
    listener: Listener,
    operator: TcpListener,
    shared: Shared,
    cx: control_links::Context,
    store: S,
    record: IncarnationRecord,
    published: Published,
    /// Dropped last, when no task is left that could send orders to the engine.
    lock: Lock,
    drain: watch::Sender<bool>,
}

impl<S> Parts<S>
where
    S: ObjectStore,
{
    async fn run(self, mut stop: watch::Receiver<bool>) -> anyhow::Result<()> {
        let control = self.shared.control.clone();
        let (close, closing) = watch::channel(false);
        let operator = tokio::spawn(operator::serve(
            self.operator,
            closing,
            control.clone(),
            self.drain,
        ));
        let mut streams = self.shared.streams.subscribe();
        let links = tokio::spawn(links::serve(self.listener.clone(), self.shared));
        let refresh = tokio::spawn(refresh_entries(self.store.clone(), self.cx.clone()));
        let restore = tokio::spawn(restore_record(self.store, self.cx.clone(), self.record));
        let close_links = self.cx.closing.clone();
        let linked = self.cx.linked.subscribe();
        let mut control_links = tokio::spawn(control_links::run(self.cx));
        let mut fatal = self.published.fatal.subscribe();
        let reason = tokio::select! {
            reason = fatal.wait_for(Option::is_some) => reason.ok().and_then(|w| w.clone()),
            _ = stop.wait_for(|s| *s) => None,
        };
        if reason.is_none() {
            let _ = control.send_message(Msg::Stop);
            drain(&self.published).await;
            wait_for_release(&self.published, &linked).await;
            // The last refusals have to reach the entries too. If the links closed first, an entry
            // could not tell whether these requests ran.
            let none = streams.wait_for(|n| *n == 0);
            let _ = tokio::time::timeout(STREAMS_TIMEOUT, none).await;
        }
        // The links send a last report before they close. Without it an idle agent, which waits for
        // nothing above, might close its links before its drain is reported.
        close_links.send_replace(true);
        let closed = tokio::time::timeout(CLOSE_TIMEOUT, &mut control_links).await;
        if closed.is_err() {
            control_links.abort();
        }
        refresh.abort();
        restore.abort();
        self.listener.close().await;
        links.abort();
        let _ = control.stop_and_wait(None, None).await;
        close.send_replace(true);
        let _ = operator.await;
        drop(self.lock);
        match reason {
            Some(reason) => Err(anyhow::anyhow!("agent: {reason}")),
            None => Ok(()),
        }
    }
}

/// Waits until no request runs and no response is being read, including resumed ones.
async fn drain(published: &Published) {
    let mut report = published.report.subscribe();
    let _ = report.wait_for(|s| s.draining).await;
    let mut busy = published.busy.subscribe();
    let _ = busy.wait_for(|b| *b == 0).await;
}

/// Waits until the target's grants are revoked and released, if the agent has a link to an entry.
///
/// The platform's list may show this VM as live for a long time after the agent has ended, and only
/// the agent can confirm that the engine has unloaded a model. Until the list changed, no target
/// would serve models whose grants were not released.
async fn wait_for_release(published: &Published, linked: &watch::Receiver<Vec<EntryName>>) {
    if linked.borrow().is_empty() {
        return;
    }
    let mut report = published.report.subscribe();
    let revoked = report.wait_for(|s| s.granted == 0);
    let mut done = tokio::time::timeout(REVOKE_TIMEOUT, revoked).await.is_ok();
    if done {
        let none = report.wait_for(|s| s.revoking == 0);
        done = tokio::time::timeout(RELEASE_TIMEOUT, none).await.is_ok();
    }
    if !done {
        stair_telemetry::warn!(Part::Agent, "stopping with unreleased grants");
    }
}

/// Lists the VMs again while the agent has no link to an entry. All entries that it knows may have
/// been replaced while it was cut off, or none may run yet when it starts. The interval doubles,
/// since 12,000 agents may be cut off at once.
async fn refresh_entries<S>(store: S, cx: control_links::Context)
where
    S: ObjectStore,
{
    let mut linked = cx.linked.subscribe();
    let mut backoff = MIN_REFRESH_INTERVAL;
    loop {
        if linked.wait_for(Vec::is_empty).await.is_err() {
            return;
        }
        let jitter = rand::RngExt::random_range(&mut rand::rng(), 1.0..2.0);
        let some = linked.wait_for(|l| !l.is_empty());
        let unlinked = tokio::time::timeout(backoff.mul_f64(jitter), some)
            .await
            .is_err();
        if !unlinked {
            backoff = MIN_REFRESH_INTERVAL;
            continue;
        }
        cx.entries
            .send_replace(bootstrap::list_entries(&store).await);
        backoff = (backoff * 2).min(MAX_REFRESH_INTERVAL);
    }
}

/// Writes the agent's record again each time that an entry finds it missing.
async fn restore_record<S>(store: S, cx: control_links::Context, own: IncarnationRecord)
where
    S: ObjectStore,
{
    let mut lost = cx.record_lost.subscribe();
    while lost.changed().await.is_ok() {
        incarnation::restore(&store, &cx.target, &own).await;
    }
}

fn record(settings: &AgentSettings, link: SocketAddr) -> IncarnationRecord {
    let kind = match &settings.target {
        TargetSettings::Engine { memory_mib, .. } => TargetKind::Engine {
            memory_mib: *memory_mib,
        },
        TargetSettings::Service { service, .. } => TargetKind::Service {
            service: service.clone(),
        },
    };
    IncarnationRecord {
        token: FencingToken(0),
        link,
        data_centre: settings.data_centre.clone(),
        kind,
    }
}

/// Passes on what the engine's responses to the agent's own calls state.
async fn forward_stated(mut rx: mpsc::UnboundedReceiver<Stated>, control: ActorRef<Msg>) {
    while let Some(stated) = rx.recv().await {
        if control.send_message(Msg::Stated(stated)).is_err() {
            return;
        }
    }
}

fn engine(
    settings: &AgentSettings,
    client: &Client,
    stated: mpsc::UnboundedSender<Stated>,
    fence: FencingToken,
) -> Option<Engine> {
    let load_timeout = Duration::from_millis(settings.limits.load_timeout_ms.into());
    match settings.target {
        TargetSettings::Engine { .. } => {
            Some(Engine::new(client.clone(), stated, fence, load_timeout))
        }
        TargetSettings::Service { .. } => None,
    }
}

async fn read_ledger(engine: &Engine, target: &TargetSettings) -> Ledger {
    let mut backoff = Backoff::default();
    let inventory: Inventory = loop {
        match engine.list().await {
            Ok(inventory) => break inventory,
            Err(e) => {
                stair_telemetry::warn!(Part::Agent, "cannot read the engine's inventory: {e}")
            }
        }
        backoff.wait().await;
    };
    let declared_mib = match target {
        TargetSettings::Engine { memory_mib, .. } => *memory_mib,
        TargetSettings::Service { .. } => 0,
    };
    let mut ledger = Ledger::new(declared_mib.min(inventory.memory_mib), Vec::new());
    ledger.reconcile(inventory.entries());
    ledger
}

/// Runs the control actor on its own thread, so that heavy traffic does not delay its decisions.
async fn spawn_control(args: Arguments) -> anyhow::Result<ActorRef<Msg>> {
    let (tx, rx) = oneshot::channel();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    std::thread::Builder::new()
        .name("agent-control".into())
        .spawn(move || {
            runtime.block_on(async move {
                match Actor::spawn(None, Control, args).await {
                    Ok((control, ended)) => {
                        let _ = tx.send(Ok(control));
                        let _ = ended.await;
                    }
                    Err(e) => drop(tx.send(Err(e))),
                }
            });
        })?;
    Ok(rx.await??)
}
