//! Starts the agent, runs its main loop and stops it.

pub(crate) mod dump;
mod publish;
mod receive;

use std::{
    sync::Arc,
    time::Duration, //
};

use anyhow::Context;
use platform_adapter::{
    engine::Order,
    response::Stated,
    store::Store, //
};
use serde::Serialize;
use stair_config::fleet_settings::SidecarSettings;
use stair_fleet::{
    availability::Withheld,
    fair_share::{
        FairShares,
        Labels, //
    },
    lag::Lag,
    msg::{
        Outcome,
        Peers,
        ReplicationState,
        ToEntry, //
    },
    prefill::Schedule,
    rate_limit::Stamp,
    target::{
        Incarnation,
        Inventory,
        Load, //
    },
};
use stair_platform::Eras;
use stair_telemetry::{
    event::Line,
    observe,
    page::Page, //
};
use stair_types::StoreRevision;
use tokio::{
    net::TcpListener,
    sync::{
        mpsc,
        watch, //
    },
    task::JoinSet,
    time::{
        Instant,
        sleep_until, //
    },
};

use crate::{
    availability::Availabilities,
    controller::{
        self,
        Controller,
        LoadRequestId,
        PlannedOrder, //
    },
    engine::{
        Called,
        Engine, //
    },
    fence,
    limits::{
        Limits,
        OwnCall, //
    },
    links::{
        self,
        Event,
        Ledgers, //
    },
    quarantine::Quarantine,
    quotas::Quotas,
    usage::LinkKey,
};

/// Pause between readings while no load is requested. The reported state is at most this old.
const READ_INTERVAL: Duration = Duration::from_millis(250);

/// Pause between readings during an order or while load requests wait. The end of a load is noticed
/// at most this late.
const BUSY_READ_INTERVAL: Duration = Duration::from_millis(40);

/// Pause between readings of an engine that shuts down. Only they show when its next incarnation runs.
const DRAINING_READ_INTERVAL: Duration = Duration::from_millis(1000);

/// Pause between checks whether the peers reported to entries have changed.
const PEERS_INTERVAL: Duration = Duration::from_millis(250);

/// Pause between attempts to raise the fencing token after a failed one.
const FENCE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time after a response of the engine for which only the engine states its incarnation.
const ENGINE_STATEMENT_TTL: Duration = Duration::from_millis(1500);

/// Successive failed readings after which the engine counts as down. A single one may be due to a lost
/// connection.
const MAX_FAILED_READS: u32 = 2;

/// Messages of all links that may wait for the main loop.
const QUEUE_CAPACITY: usize = 256;

/// An agent whose addresses are bound.
pub struct Sidecar {
    settings: SidecarSettings,
    inner: TcpListener,
    metrics: TcpListener,
}

impl Sidecar {
    /// Binds the addresses; port 0 lets the system choose.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound, for instance because another agent of this engine is running.
    pub async fn bind(mut settings: SidecarSettings) -> anyhow::Result<Self> {
        // The bind also serves as the lock against a second agent on this VM.
        let inner = TcpListener::bind(settings.inner)
            .await
            .with_context(|| format!("another agent is alive at {}", settings.inner))?;
        settings.inner = inner.local_addr()?;
        let metrics = TcpListener::bind(settings.metrics)
            .await
            .with_context(|| format!("cannot listen on {}", settings.metrics))?;
        settings.metrics = metrics.local_addr()?;
        Ok(Self {
            settings,
            inner,
            metrics,
        })
    }

    /// The settings, with the addresses that were bound.
    pub fn settings(&self) -> &SidecarSettings {
        &self.settings
    }

    /// Runs until `stop` turns true.
    pub async fn run(self, reloads: watch::Receiver<SidecarSettings>, stop: watch::Receiver<bool>) {
        let mut tasks = JoinSet::new();
        let page = Arc::new(Page::default());
        let (_end, never) = watch::channel(false);
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        let ledgers = Ledgers {
            quotas: Arc::new(Quotas::new(page.clone(), self.settings.quota_slack)),
            quarantine: Arc::new(Quarantine::new(page.clone())),
            limits: Arc::new(Limits::new(page.clone())),
            availability: Arc::new(Availabilities::new(page.clone())),
            origins: Arc::default(),
            engine_estimates: self.settings.engine_estimates,
        };
        let events = tx.clone();
        let (quotas, limits) = (ledgers.quotas.clone(), ledgers.limits.clone());
        let opts = observe::Options {
            page: move || quotas.page(),
            dump: move || dump::request(events.clone()),
        };
        tasks.spawn(observe::serve(self.metrics, never, opts));
        tasks.spawn(async move { limits.run().await });
        tasks.spawn(links::accept(self.inner, tx, ledgers.clone()));
        let (fence_tx, fence_rx) = mpsc::channel(1);
        Line::new("agent.started")
            .text("name", &self.settings.name)
            .show("engine", self.settings.engine)
            .write();
        let mut agent = Agent::new(self.settings, page, ledgers, fence_tx);
        agent.raise_fence();
        agent.run(rx, fence_rx, reloads, stop).await;
        Line::new("agent.stopped").write();
    }
}

/// Binds the addresses and runs until `stop` turns true.
///
/// # Errors
///
/// When an address cannot be bound, for instance because another agent of this engine is running.
pub async fn run(
    mut reloads: watch::Receiver<SidecarSettings>,
    stop: watch::Receiver<bool>,
) -> anyhow::Result<()> {
    let settings = reloads.borrow_and_update().clone();
    Sidecar::bind(settings).await?.run(reloads, stop).await;
    Ok(())
}

/// The connection of an entry.
struct Link {
    key: LinkKey,
    tx: mpsc::Sender<ToEntry>,
    known: Option<ReplicationState>,
    /// The peers last sent to the entry, without those with a newer state.
    published_peers: Option<Peers>,
}

/// What states the engine's present incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
enum IncarnationSource {
    /// An entry, from the store's list at this revision.
    Store(StoreRevision),
    /// The engine itself, in its last response.
    Engine,
}

/// The state of the main loop.
struct Agent {
    settings: SidecarSettings,
    started: Instant,
    engine: Engine,
    store: Store,
    eras: Eras,
    controller: Controller,
    prefills: Schedule,
    /// The shares of callers in the prefill slots.
    shares: FairShares,
    share_labels: Labels,
    links: Vec<Link>,
    lag: Lag,
    fence: Option<u64>,
    fence_tx: mpsc::Sender<u64>,
    /// The engine's present incarnation, and what states it.
    incarnation: Option<(Box<str>, IncarnationSource)>,
    /// The last incarnation that the engine has rejected as stale.
    stale_incarnation: Option<Box<str>>,
    /// When the engine last stated its incarnation.
    incarnation_stated_at: Option<Instant>,
    /// Catalogue version of the declaration in force, 0 for none.
    declared: u64,
    /// When a newer declaration was last requested from an entry.
    declaration_requested_at: Option<Instant>,
    failed_reads: u32,
    published_inventory: Option<Inventory>,
    published_load: Option<(Load, Instant)>,
    page: Arc<Page>,
    ledgers: Ledgers,
}

impl Agent {
    fn new(
        settings: SidecarSettings,
        page: Arc<Page>,
        ledgers: Ledgers,
        fence_tx: mpsc::Sender<u64>,
    ) -> Self {
        let eras = Eras::default();
        Self {
            engine: Engine::new(settings.engine),
            store: Store::new(settings.store, eras.clone()),
            eras,
            started: Instant::now(),
            controller: Controller::new(controller::Options {
                fetch_window: Duration::from_millis(settings.fetch_window_ms.into()),
            }),
            settings,
            prefills: Schedule::default(),
            shares: FairShares::default(),
            share_labels: Labels::default(),
            links: Vec::new(),
            lag: Lag::default(),
            fence: None,
            fence_tx,
            incarnation: None,
            stale_incarnation: None,
            incarnation_stated_at: None,
            declared: 0,
            declaration_requested_at: None,
            failed_reads: 0,
            published_inventory: None,
            published_load: None,
            page,
            ledgers,
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    async fn run(
        &mut self,
        mut rx: mpsc::Receiver<Event>,
        mut fences: mpsc::Receiver<u64>,
        mut reloads: watch::Receiver<SidecarSettings>,
        mut stop: watch::Receiver<bool>,
    ) {
        let mut read_at = Instant::now();
        let mut peers_at = Instant::now();
        loop {
            tokio::select! {
                Some(event) = rx.recv() => self.handle(event),
                Some(token) = fences.recv() => {
                    Line::new("fence.raised").num("token", token).write();
                    self.fence = Some(token);
                }
                Ok(()) = reloads.changed() => {
                    let new = reloads.borrow_and_update().clone();
                    self.reload(&new);
                }
                () = sleep_until(read_at) => self.read().await,
                () = stopped(&mut stop) => return,
            }
            self.report_quarantined_loads();
            self.execute_orders().await;
            let busy = self.controller.busy() || self.controller.has_load_requests();
            let is_draining = self.withheld() == Some(Withheld::Drain);
            let pause = match (is_draining, busy) {
                (true, _) => DRAINING_READ_INTERVAL,
                (false, true) => BUSY_READ_INTERVAL,
                (false, false) => READ_INTERVAL,
            };
            let latest = Instant::now() + pause;
            if read_at <= Instant::now() || read_at > latest {
                read_at = latest;
            }
            self.publish();
            if peers_at.elapsed() >= PEERS_INTERVAL {
                peers_at = Instant::now();
                self.publish_peers();
            }
        }
    }

    /// Whether an order may be sent under the engine's limit, or is in progress. An engine that shuts down
    /// or asks for a backoff gets none.
    fn may_order(&self) -> bool {
        if self.withheld().is_some() {
            return false;
        }
        let id = self.incarnation.as_ref().map(|(id, _)| &**id);
        self.controller.busy() || self.ledgers.limits.has_permit(id.unwrap_or_default())
    }

    /// Why the engine gets no orders, if so.
    fn withheld(&self) -> Option<Withheld> {
        let incarnation = self.engine_incarnation(None)?;
        self.ledgers.availability.withheld(&incarnation)
    }

    /// Requests permission for a call to the engine, whose limit and backoff cover the agent's calls too.
    fn permit(&self, call: OwnCall) -> Option<(Box<str>, Stamp)> {
        if self.withheld() == Some(Withheld::Backoff) {
            return None;
        }
        let id = self.incarnation.as_ref().map(|(id, _)| id.clone());
        let id = id.unwrap_or_default();
        let stamp = self.ledgers.limits.may_call(&id, call)?;
        Some((id, stamp))
    }

    /// Reads the engine and passes the result to the controller. Between the readings that the
    /// engine's limit permits the last one stays in force.
    async fn read(&mut self) {
        let busy = self.controller.busy();
        let Some((id, stamp)) = self.permit(OwnCall::Read { busy }) else {
            return;
        };
        let Called { result, stated } = self.engine.read().await;
        let started = result.as_ref().ok().and_then(|r| r.started);
        if let Some(stated) = &stated {
            self.ledgers.limits.state(&id, &stated.limit, stamp);
            self.observe_availability(stated, started);
        }
        match result {
            Ok(reading) => {
                let incarnation = stated.and_then(|s| s.incarnation);
                if self.failed_reads >= MAX_FAILED_READS {
                    Line::failure("engine.regained").write();
                }
                self.failed_reads = 0;
                if let Some(id) = incarnation {
                    self.update_incarnation(id, IncarnationSource::Engine);
                }
                let started = reading.started.unwrap_or(0);
                self.prefills.update_pace(reading.running, self.now());
                if self.controller.read(Some(reading), self.now()) {
                    Line::failure("engine.restarted")
                        .num("started_ms", started)
                        .write();
                    // A restarted engine has no prompts cached.
                    self.prefills.clear();
                }
            }
            // The engine runs and wants no calls.
            Err(_) if self.withheld() == Some(Withheld::Backoff) => {}
            Err(e) => {
                self.failed_reads += 1;
                if self.failed_reads == MAX_FAILED_READS {
                    Line::failure("engine.lost").show("error", e).write();
                    self.controller.read(None, self.now());
                }
            }
        }
    }

    /// The engine's present incarnation; `started` is its start by a response that has just arrived.
    fn engine_incarnation(&self, started: Option<u64>) -> Option<Incarnation> {
        let (id, _) = self.incarnation.as_ref()?;
        Some(Incarnation {
            id: id.clone(),
            started: started.or(self.controller.started()),
        })
    }

    /// Applies what a response of the engine states about the requests that it takes.
    fn observe_availability(&self, stated: &Stated, started: Option<u64>) {
        let known = self.engine_incarnation(started);
        let own = known.filter(|i| stated.incarnation.as_ref().is_none_or(|id| *id == i.id));
        let named = stated
            .incarnation
            .clone()
            .map(|id| Incarnation { id, started });
        if let Some(incarnation) = own.or(named) {
            self.ledgers.availability.observe(&incarnation, stated);
        }
    }

    /// Logs and counts the models whose loads have ended the engine and are withheld from now on.
    fn report_quarantined_loads(&mut self) {
        for (model, duration) in self.controller.take_quarantined_loads() {
            Line::failure("load.quarantined")
                .text("model", &model)
                .ms("for_ms", duration)
                .write();
            self.page.count("quarantined_loads_total", &[], 1);
        }
    }

    /// Sends orders until none is due, and the outcomes of load requests that are known.
    async fn execute_orders(&mut self) {
        loop {
            let control = self.fence.is_some() && self.incarnation.is_some() && self.may_order();
            let resolved = self.controller.resolve(control, self.now());
            self.send_outcomes(resolved);
            if !control || !self.controller.has_load_requests() {
                return;
            }
            let mut refused = Vec::new();
            let planned = self.controller.next(&mut refused, self.now());
            self.send_outcomes(refused);
            let Some(planned) = planned else { return };
            if !self.order(&planned).await {
                return;
            }
        }
    }

    /// Sends one order. Returns whether the next one may follow at once.
    async fn order(&mut self, planned: &PlannedOrder) -> bool {
        let (Some(fence), Some((instance, _))) = (self.fence, self.incarnation.clone()) else {
            return false;
        };
        let Some((id, stamp)) = self.permit(OwnCall::Order) else {
            return false;
        };
        let order = Order {
            load: planned.load,
            model: planned.model.clone(),
            adapter: planned.adapter.clone(),
            planned_on: planned.planned_on,
            instance,
            holder: self.settings.name.clone(),
            fence,
        };
        let Called {
            result: reply,
            stated,
        } = self.engine.order(&order).await;
        if let Some(stated) = &stated {
            self.ledgers.limits.state(&id, &stated.limit, stamp);
            self.observe_availability(stated, None);
        }
        if let Some(id) = stated.and_then(|s| s.incarnation) {
            self.update_incarnation(id, IncarnationSource::Engine);
        }
        if matches!(reply, Ok(platform_adapter::engine::Reply::OtherInstance)) {
            self.receive_stale_incarnation(order.instance.clone());
        }
        let reply_text = match &reply {
            Ok(reply) => format!("{reply:?}"),
            Err(e) => e.to_string(),
        };
        Line::failure("order")
            .flag("load", planned.load)
            .text("model", &planned.model)
            .text("adapter", planned.adapter.as_deref().unwrap_or(""))
            .num("planned_on", planned.planned_on)
            .num("fence", fence)
            .text("reply", &reply_text)
            .write();
        let operation = if planned.load { "load" } else { "unload" };
        let labels = [("operation", operation), ("reply", reply_text.as_str())];
        self.page.count("orders_total", &labels, 1);
        let reply = reply.ok();
        if reply == Some(platform_adapter::engine::Reply::Fenced) {
            self.fence = None;
            self.raise_fence();
        }
        self.controller.replied(planned, reply, self.now());
        self.read().await;
        use platform_adapter::engine::Reply::{
            Accepted,
            Holds, //
        };
        matches!(reply, Some(Accepted | Holds))
    }

    /// Sends the outcomes of load requests to the entries that requested the loads.
    fn send_outcomes(&mut self, resolved: Vec<(LoadRequestId, Outcome)>) {
        for (id, outcome) in resolved {
            Line::new("want.done")
                .num("seq", id.seq)
                .show("outcome", format_args!("{outcome:?}"))
                .write();
            let link = self.links.iter().find(|l| l.key == id.link);
            let done = ToEntry::LoadReply {
                seq: id.seq,
                outcome,
            };
            // An entry that does not read its messages has given up the load request too.
            link.map(|l| l.tx.try_send(done));
        }
    }

    /// Raises the fencing token in the background, until an attempt succeeds.
    fn raise_fence(&self) {
        let store = self.store.clone();
        let vm = self.settings.name.clone();
        let tx = self.fence_tx.clone();
        tokio::spawn(async move {
            loop {
                match fence::raise(&store, &vm).await {
                    Ok(Some(token)) => {
                        // Fails only while the agent is stopping.
                        let _ = tx.send(token).await;
                        return;
                    }
                    Ok(None) => {}
                    Err(e) => {
                        Line::failure("fence.failed").show("error", e).write();
                        tokio::time::sleep(FENCE_RETRY_INTERVAL).await;
                    }
                }
            }
        });
    }
}

/// Waits until `stop` turns true.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, which happens only when the process stops.
    let _ = stop.wait_for(|s| *s).await;
}
