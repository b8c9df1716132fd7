//! The state that all modules of one entry share.

mod agents;
mod in_flight;
mod pending_load;
mod retries;
mod usage;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::Duration,
};

use platform_adapter::store::Store;
use stair_config::fleet_settings::{
    GatewaySettings,
    RetrySettings, //
};
use stair_fleet::{
    Catalogue,
    View,
    availability::Withheld,
    budget::Budget,
    engine_estimate::{
        self,
        EventTime, //
    },
    msg::{
        Features,
        Outcome,
        Peers,
        ReplicationState,
        ToAgent, //
    },
    prefill::Measurement,
    target_state::HEARTBEAT_TIMEOUT,
    view::TargetKey, //
};
use stair_http::connections::Connections;
use stair_platform::Eras;
use stair_telemetry::{
    event::Line,
    page::Page, //
};
use tokio::{
    sync::{
        Notify,
        mpsc,
        oneshot,
        watch, //
    },
    time::{
        Instant,
        sleep_until, //
    },
};

use crate::{
    buffers::Buffers,
    crash::Crashes,
    follow::Follow,
    limit::Limits,
    origin::{
        Origins,
        StoreCheck, //
    },
    owner::Owners,
    quarantine::Quarantine, //
    quota::Quotas,
    select::Backoffs,
    serve::max_connections,
    unreadable::UnreadableObjects,
};

pub use agents::SlotReply;
pub use in_flight::{
    InFlight,
    Serving, //
};
pub use pending_load::PendingLoad;
use usage::EngineUsage;

/// Time for sending a response that is complete.
const SEND_MARGIN: Duration = Duration::from_millis(200);

/// The shared context of one entry.
pub struct Context {
    /// The settings at the start; [`Context::reload`] does not change these.
    pub settings: GatewaySettings,
    /// Counters and histograms.
    pub page: Page,
    /// Notified when the catalogue or the list of targets changes.
    pub changed: Notify,
    /// Notified when a call of the store for the targets succeeds after failed ones.
    pub(crate) store_returned: Notify,
    /// Notified when the VM of a target is found to be unresponsive.
    pub unresponsive: Notify,
    /// The open connections of clients.
    pub(crate) connections: Arc<Connections>,
    /// The budget of response data that waits here.
    pub(crate) buffers: Buffers,
    /// Whether this entry watches the store or follows an entry that does.
    pub follow: Follow,
    /// The newest era of the store that is known.
    pub eras: Eras,
    /// The versions that the store states.
    pub(crate) store_check: StoreCheck,
    started: Instant,
    /// The latest end of the process, once the stop has begun.
    ends_at: watch::Sender<Option<Instant>>,
    serving: AtomicUsize,
    reloadable: Mutex<ReloadableSettings>,
    state: Mutex<State>,
}

/// Settings that can change while the process runs.
struct ReloadableSettings {
    store: Store,
    address: SocketAddr,
    retries: RetrySettings,
    quota_slack: f64,
}

/// The replicated state of an entry and its work in progress.
#[derive(Default)]
pub struct State {
    /// The catalogue in force, if one is known.
    pub catalogue: Option<Arc<Catalogue>>,
    /// The list of targets and the state of each.
    pub view: View,
    /// Links to agents, sorted by the engine's address.
    pub agents: Vec<AgentLink>,
    /// The last report of an agent on the other entries, and the time of its receipt.
    pub peers: Option<(Peers, Duration)>,
    /// Quotas of workspaces.
    pub quotas: Quotas,
    /// Permits for targets that have named a limit.
    pub limits: Limits,
    /// Requests that wait for targets in backoff.
    pub(crate) backoffs: Backoffs,
    /// The agents that count for all entries, by the name that they own.
    pub owners: Owners,
    /// Origins of streams, and the versions that services have had.
    pub(crate) origins: Origins,
    /// Runs that were interrupted recently, by target.
    pub(crate) crashes: Crashes,
    /// Requests that are suspected to end targets, or are quarantined.
    pub(crate) quarantine: Quarantine,
    /// Objects of the store that do not decode.
    pub(crate) unreadable: UnreadableObjects,
    budgets: Vec<(Box<str>, Budget)>,
    usage: Vec<EngineUsage>,
    next_seq: u64,
}

/// The link to the agent of one engine.
pub struct AgentLink {
    /// The engine's address.
    pub engine: SocketAddr,
    /// The address as text. All entries order the agents by it.
    pub name: Box<str>,
    /// Whether the link is up.
    pub linked: bool,
    /// What the agent can do.
    pub features: Features,
    /// Time until which the agent is not used as an owner or for a ledger, since it did not reply in time.
    pub skipped_until: Duration,
    /// Messages to the agent.
    pub tx: mpsc::Sender<ToAgent>,
    /// The number of entries linked to the agent by its last report; 0 before the first.
    pub entries: u32,
    /// The last incarnation that the engine has disowned.
    pub stale_incarnation: Option<Box<str>>,
    /// Prefill durations that have not been reported to the agent.
    pub prefill_times: Vec<Measurement>,
    /// Times of events that have not been reported to the agent.
    pub event_times: Vec<EventTime>,
    /// Load requests that wait for a reply, by sequence number.
    pub pending_loads: Vec<(u64, oneshot::Sender<Outcome>)>,
    /// Requests for a prefill slot that wait for a reply, by sequence number.
    pub pending_slots: Vec<(u64, oneshot::Sender<SlotReply>)>,
}

impl Context {
    /// Returns the context of an entry without replicated state.
    pub fn new(settings: GatewaySettings) -> Self {
        let eras = Eras::default();
        let reloadable = ReloadableSettings {
            store: Store::new(settings.store, eras.clone()),
            address: settings.store,
            retries: settings.retries,
            quota_slack: settings.quota_slack,
        };
        Self {
            reloadable: Mutex::new(reloadable),
            eras,
            settings,
            page: Page::default(),
            changed: Notify::new(),
            store_returned: Notify::new(),
            unresponsive: Notify::new(),
            connections: Connections::new(max_connections()),
            buffers: Buffers::default(),
            follow: Follow::default(),
            store_check: StoreCheck::default(),
            started: Instant::now(),
            ends_at: watch::Sender::new(None),
            serving: AtomicUsize::new(0),
            state: Mutex::default(),
        }
    }

    /// Applies the settings that can change while the process runs.
    pub fn reload(&self, new: &GatewaySettings) {
        let mut reloadable = self.reloadable();
        reloadable.retries = new.retries;
        reloadable.quota_slack = new.quota_slack;
        if reloadable.address != new.store {
            reloadable.store = Store::new(new.store, self.eras.clone());
            reloadable.address = new.store;
        }
    }

    /// The client of the store.
    pub fn store(&self) -> Store {
        self.reloadable().store.clone()
    }

    /// Units that all processes together may admit beyond the quota of a workspace.
    pub fn quota_slack(&self) -> f64 {
        self.reloadable().quota_slack
    }

    fn reloadable(&self) -> MutexGuard<'_, ReloadableSettings> {
        self.reloadable
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Locks the state. The guard must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the process is stopping.
    pub fn draining(&self) -> bool {
        self.ends_at.borrow().is_some()
    }

    /// Begins the stop; the process ends at `ends_at` at the latest.
    pub fn drain(&self, ends_at: Instant) {
        self.ends_at.send_replace(Some(ends_at));
    }

    /// Whether the process ends before a response that is complete at `deadline` would be sent.
    pub fn ends_before(&self, deadline: Instant) -> bool {
        self.ends_at
            .borrow()
            .is_some_and(|at| deadline + SEND_MARGIN > at)
    }

    /// Waits until a stop has begun, at whose end a response that is complete at `deadline` would be cut.
    pub async fn until_ends_before(&self, deadline: Instant) {
        let mut rx = self.ends_at.subscribe();
        let ends_before = |at: &Option<Instant>| at.is_some_and(|at| deadline + SEND_MARGIN > at);
        // The sender lives as long as the context.
        let _ = rx.wait_for(ends_before).await;
    }

    /// Waits until `left` remains before the process ends.
    pub async fn until_ending(&self, left: Duration) {
        let mut rx = self.ends_at.subscribe();
        // The sender lives as long as the context.
        let ends_at = rx.wait_for(Option::is_some).await.map(|at| *at);
        if let Ok(Some(at)) = ends_at {
            sleep_until(at - left).await;
        }
    }

    /// Requests that are being served.
    pub fn serving(&self) -> usize {
        self.serving.load(Ordering::Relaxed)
    }

    /// Whether new connections may be sent here: the catalogue and the targets are known and no stop has
    /// begun.
    pub fn ready(&self) -> bool {
        let state = self.state();
        !self.draining() && state.catalogue.is_some() && state.view.revision.is_known()
    }

    /// Waits for a catalogue. No target can be used without one, and each call of the store for their list is
    /// charged.
    pub async fn until_declared(&self) {
        loop {
            let changed = self.changed.notified();
            if self.state().catalogue.is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Records that an agent has not replied in time. Returns whether its VM counts as unresponsive.
    pub fn record_unanswered(&self, key: TargetKey) -> bool {
        let now = self.now();
        let (newly_unresponsive, unresponsive, id) = {
            let mut state = self.state();
            let target_state = state.view.get_mut(key);
            let newly_unresponsive = target_state.mark_unresponsive(HEARTBEAT_TIMEOUT, now);
            (
                newly_unresponsive,
                target_state.unresponsive,
                target_state.target.id.clone(),
            )
        };
        if newly_unresponsive {
            self.report_unresponsive(&[id]);
        }
        unresponsive
    }

    /// Logs targets whose VMs were found to be unresponsive, and notifies those that wait for that.
    pub fn report_unresponsive(&self, ids: &[Box<str>]) {
        for id in ids {
            Line::failure("target.quiet").text("target", id).write();
        }
        if !ids.is_empty() {
            self.unresponsive.notify_waiters();
        }
    }

    /// Waits until the VM of one of these targets is found to be unresponsive.
    pub async fn until_unresponsive(&self, keys: &[TargetKey]) {
        loop {
            let notified = self.unresponsive.notified();
            if keys.iter().any(|k| self.state().view.get(*k).unresponsive) {
                return;
            }
            notified.await;
        }
    }

    /// Sets the gauges to the present state.
    pub fn gauges(&self) {
        let now = self.now();
        let state = self.state();
        let listed = state.view.all().count();
        let open = state
            .view
            .all()
            .filter(|(_, s)| s.is_available(now))
            .count();
        let reported = state
            .view
            .all()
            .filter(|(_, s)| s.fresh_report(now).is_some())
            .count();
        let limited = state.view.all().filter(|(_, s)| s.limit.is_some()).count();
        let draining = state
            .view
            .all()
            .filter(|(_, s)| s.availability.drain().is_some())
            .count();
        let backing_off = state
            .view
            .all()
            .filter(|(_, s)| s.availability.withheld(now) == Some(Withheld::Backoff))
            .count();
        let waiting = state.backoffs.queue.count(None);
        self.load_spread_gauges(&state, now);
        drop(state);
        let set = |name, n: usize| {
            self.page
                .gauge(name, &[], i64::try_from(n).unwrap_or(i64::MAX))
        };
        set("targets_listed", listed);
        set("targets_open", open);
        set("targets_reported", reported);
        set("targets_limited", limited);
        set("targets_draining", draining);
        set("targets_backing_off", backing_off);
        set("backoff_waiting", waiting);
        set("requests_in_flight", self.serving());
        let connections = self.connections.counts();
        set("connections_open", connections.open);
        for (why, n) in [
            ("idle", connections.evicted),
            ("full", connections.full),
            ("overload", connections.overloaded),
        ] {
            let n = i64::try_from(n).unwrap_or(i64::MAX);
            self.page
                .gauge("connections_closed_total", &[("why", why)], n);
        }
    }

    /// Sets the gauges of the spread of load over the engines of each service.
    fn load_spread_gauges(&self, state: &State, now: Duration) {
        let services = state.catalogue.iter().flat_map(|c| &c.services);
        for service in services.filter(|s| s.engine.is_some()) {
            let spread = engine_estimate::load_spread(&state.view, &service.name, now);
            let percent = spread.map_or(0, |s| (s * 100.0) as i64);
            let labels = [("service", &*service.name)];
            self.page
                .gauge("engine_load_spread_percent", &labels, percent);
        }
    }

    /// The versions of this entry's replicated state, for agents and peers.
    pub fn replication_state(&self) -> ReplicationState {
        let state = self.state();
        ReplicationState {
            entry: self.settings.name.clone(),
            data_centre: self.settings.data_centre.as_str().into(),
            peer: self.settings.inner,
            catalogue: state.catalogue.as_ref().map_or(0, |c| c.version),
            targets: state.view.revision,
        }
    }
}

impl State {
    /// Returns the sequence number of the next request to an agent.
    pub fn next_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }

    /// Removes incarnations that engines have disowned; the store may still list them for some time.
    pub fn drop_stale_incarnations(&mut self) {
        for id in self
            .agents
            .iter()
            .filter_map(|a| a.stale_incarnation.as_ref())
        {
            self.view.remove(id);
        }
    }

    /// The index of the link to an engine's agent.
    pub fn agent(&self, engine: SocketAddr) -> Option<usize> {
        self.agents.binary_search_by_key(&engine, |a| a.engine).ok()
    }
}
