//! What all parts of one entry share.

mod agents;
mod flight;
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
    budget::Budget,
    msg::{
        Outcome,
        Peers,
        ReplicationState,
        ToAgent, //
    },
    prefill::{
        Measurement, //
        Reply,
    },
    target_state::HEARTBEAT_TIMEOUT,
    view::TargetKey, //
};
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
    allowance::Allowances,
    crash::Crashes,
    follow::Follow,
    home::Homes,
    quarantine::Quarantine, //
};

pub use flight::{
    Flight,
    Serving, //
};
pub use pending_load::PendingLoad;
use usage::UseAt;

/// One entry.
pub struct Context {
    /// Its settings.
    pub settings: GatewaySettings,
    /// Counters and histograms.
    pub page: Page,
    /// Notified at each change of the state.
    pub changed: Notify,
    /// Told when a target's VM is found to stand still.
    pub quiet: Notify,
    /// Who watches the store: this entry, or one that it follows.
    pub follow: Follow,
    started: Instant,
    /// When the process ends, once the stop has begun.
    ends_at: watch::Sender<Option<Instant>>,
    serving: AtomicUsize,
    live: Mutex<Live>,
    state: Mutex<State>,
}

/// Settings that can change while the process runs.
struct Live {
    store: Store,
    address: SocketAddr,
    retries: RetrySettings,
}

/// What an entry knows and is doing.
#[derive(Default)]
pub struct State {
    /// The catalogue in force, if one is known.
    pub catalogue: Option<Arc<Catalogue>>,
    /// The targets.
    pub view: View,
    /// Links to agents, sorted by the engine's address.
    pub agents: Vec<AgentLink>,
    /// What an agent said last of the other entries, and when.
    pub peers: Option<(Peers, Duration)>,
    /// Allowances of workspaces.
    pub allowances: Allowances,
    /// The agents that count for all entries.
    pub homes: Homes,
    /// Requests that were cut lately.
    pub(crate) crashes: Crashes,
    /// Requests that end targets.
    pub(crate) quarantine: Quarantine,
    budgets: Vec<(Box<str>, Budget)>,
    use_of: Vec<UseAt>,
    next_seq: u64,
}

/// The link to the agent of one engine.
pub struct AgentLink {
    /// The engine's address.
    pub engine: SocketAddr,
    /// The same as a text, by which entries agree on an order of agents.
    pub name: Box<str>,
    /// Whether the link is up.
    pub linked: bool,
    /// Until when the agent is not asked about allowances, as it has not answered.
    pub skipped_until: Duration,
    /// Messages to the agent.
    pub tx: mpsc::Sender<ToAgent>,
    /// Entries that the agent hears, as it said last; 0 before it has.
    pub entries: u32,
    /// The last life that the engine has said it is not.
    pub former: Option<Box<str>>,
    /// How long prompts took to be read, that the agent has not been told.
    pub read: Vec<Measurement>,
    /// Questions that wait for their answer.
    pub waiting: Vec<(u64, oneshot::Sender<Outcome>)>,
    /// Prompts that wait to be told their slot.
    pub reservations: Vec<(u64, oneshot::Sender<Reply>)>,
}

impl Context {
    /// Makes the context of an entry that knows nothing yet.
    pub fn new(settings: GatewaySettings) -> Self {
        let live = Live {
            store: Store::new(settings.store),
            address: settings.store,
            retries: settings.retries,
        };
        Self {
            live: Mutex::new(live),
            settings,
            page: Page::default(),
            changed: Notify::new(),
            quiet: Notify::new(),
            follow: Follow::default(),
            started: Instant::now(),
            ends_at: watch::Sender::new(None),
            serving: AtomicUsize::new(0),
            state: Mutex::default(),
        }
    }

    /// Takes over what can change while the process runs.
    pub fn reload(&self, new: &GatewaySettings) {
        let mut live = self.live();
        live.retries = new.retries;
        if live.address != new.store {
            live.store = Store::new(new.store);
            live.address = new.store;
        }
    }

    /// The client of the store.
    pub fn store(&self) -> Store {
        self.live().store.clone()
    }

    fn live(&self) -> MutexGuard<'_, Live> {
        self.live.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Locks the state; never held across a wait.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the process is stopping.
    pub fn draining(&self) -> bool {
        self.ends_at.borrow().is_some()
    }

    /// Begins the stop; the process ends at the given time at the latest.
    pub fn drain(&self, ends_at: Instant) {
        self.ends_at.send_replace(Some(ends_at));
    }

    /// Time until the process ends, once the stop has begun.
    pub fn ends_in(&self) -> Option<Duration> {
        let ends_at = *self.ends_at.borrow();
        Some(ends_at?.saturating_duration_since(Instant::now()))
    }

    /// Waits until the process is about to end, with so much time left.
    pub async fn ending(&self, left: Duration) {
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

    /// Whether new connections may be sent here: what is in force is known and no stop has begun.
    pub fn ready(&self) -> bool {
        let state = self.state();
        !self.draining() && state.catalogue.is_some() && state.view.revision > 0
    }

    /// Waits until operators have declared something. Before that no target can be used, and each look at
    /// their list is a call of the store.
    pub async fn declared(&self) {
        loop {
            let changed = self.changed.notified();
            if self.state().catalogue.is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Takes in that an agent has not answered a question in time. Whether its VM is taken to stand still.
    pub fn unanswered(&self, key: TargetKey) -> bool {
        let now = self.now();
        let (falls, quiet, id) = {
            let mut state = self.state();
            let seen = state.view.get_mut(key);
            let falls = seen.mark_unresponsive(HEARTBEAT_TIMEOUT, now);
            (falls, seen.unresponsive, seen.target.id.clone())
        };
        if falls {
            self.are_quiet(&[id]);
        }
        quiet
    }

    /// Whether a target takes requests by its own word.
    pub(crate) fn takes(&self, key: TargetKey) -> bool {
        let now = self.now();
        self.state().view.get(key).accepts(true, now)
    }

    /// Tells of targets whose VMs were found to stand still.
    pub fn are_quiet(&self, ids: &[Box<str>]) {
        for id in ids {
            Line::failure("target.quiet").text("target", id).write();
        }
        if !ids.is_empty() {
            self.quiet.notify_waiters();
        }
    }

    /// Waits until the VM of one of these targets is found to stand still.
    pub async fn fall_quiet(&self, keys: &[TargetKey]) {
        loop {
            let notified = self.quiet.notified();
            if keys.iter().any(|k| self.state().view.get(*k).unresponsive) {
                return;
            }
            notified.await;
        }
    }

    /// Sets the gauges to what is so now.
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
        drop(state);
        let set = |name, n: usize| {
            self.page
                .gauge(name, &[], i64::try_from(n).unwrap_or(i64::MAX))
        };
        set("targets_listed", listed);
        set("targets_open", open);
        set("targets_reported", reported);
        set("requests_in_flight", self.serving());
    }

    /// How far this entry's knowledge goes.
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
    /// A number for the next question to an agent.
    pub fn next_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }

    /// Takes from the list what engines have said they are not: the store may list it for some time.
    pub fn drop_former(&mut self) {
        for id in self.agents.iter().filter_map(|a| a.former.as_ref()) {
            self.view.remove(id);
        }
    }

    /// Finds the link to an engine's agent.
    pub fn agent(&self, engine: SocketAddr) -> Option<usize> {
        self.agents.binary_search_by_key(&engine, |a| a.engine).ok()
    }
}
