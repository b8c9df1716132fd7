//! What all parts of one entry share.

mod flight;
mod pending_load;

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
    budget::{
        self,
        Budget, //
    },
    msg::{
        LoadRequest, //
        Outcome,
        Peers,
        ReplicationState,
        ToAgent,
        Used,
    },
    prefill::{
        Answer,
        Ask,
        Read, //
    },
    seen::OVERDUE_TIME,
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
    follow::Follow,
    job::Job, //
};

pub use flight::{
    Flight,
    Serving, //
};
pub use pending_load::PendingLoad;

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
    pub read: Vec<Read>,
    /// Questions that wait for their answer.
    pub waiting: Vec<(u64, oneshot::Sender<Outcome>)>,
    /// Prompts that wait to be told their slot.
    pub reservations: Vec<(u64, oneshot::Sender<Answer>)>,
}

/// Use of a model, or an adapter as `MODEL/NAME`, at one engine by this entry.
struct UseAt {
    engine: SocketAddr,
    used: Used,
    told_in_flight: u32,
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
            let falls = seen.mark_quiet(OVERDUE_TIME, now);
            (falls, seen.quiet, seen.target.id.clone())
        };
        if falls {
            self.are_quiet(&[id]);
        }
        quiet
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
            if keys.iter().any(|k| self.state().view.get(*k).quiet) {
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
        let open = state.view.all().filter(|(_, s)| s.open(now)).count();
        let reported = state
            .view
            .all()
            .filter(|(_, s)| s.fresh(now).is_some())
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

    /// Counts a request for a service.
    pub fn count_request(&self, service: &str) {
        let now = self.now();
        let mut state = self.state();
        let i = self.budget(&mut state, service);
        state.budgets[i].1.request(now);
    }

    /// Takes a retry from this entry's share of the budget, and tells whether it may be made.
    pub fn may_retry(&self, service: &str) -> bool {
        let now = self.now();
        let allowed = {
            let mut state = self.state();
            let i = self.budget(&mut state, service);
            let opts = self.budget_options(&state);
            let budget = &mut state.budgets[i].1;
            budget.set_options(opts);
            budget.try_retry(now)
        };
        let outcome = if allowed { "made" } else { "refused" };
        self.page.count("retries_total", &[("outcome", outcome)], 1);
        allowed
    }

    /// Finds the retries of a service. What bounds them is looked up for a retry, and not for each
    /// request: it is the largest word of all agents.
    fn budget(&self, state: &mut State, service: &str) -> usize {
        let found = state
            .budgets
            .binary_search_by(|(name, _)| (**name).cmp(service));
        found.unwrap_or_else(|i| {
            let budget = Budget::new(self.budget_options(state));
            state.budgets.insert(i, (service.into(), budget));
            i
        })
    }

    fn budget_options(&self, state: &State) -> budget::Options {
        let retries = self.live().retries;
        budget::Options {
            ratio: retries.ratio,
            extra: retries.extra,
            window: Duration::from_millis(retries.window_ms.into()),
            entries: state.entries(retries.entries),
        }
    }

    /// The number of entries that share what holds for all of them together.
    pub fn entries(&self) -> u32 {
        let expected = self.live().retries.entries;
        self.state().entries(expected)
    }

    /// Tells the agent at an address that its engine has said it is not this life.
    pub fn report_former(&self, engine: SocketAddr, id: Box<str>) {
        let state = self.state();
        if let Some(i) = state.agent(engine) {
            // An agent that does not read finds out by its own orders.
            let _ = state.agents[i].tx.try_send(ToAgent::Former(id));
        }
    }

    /// Asks the agent of an engine for a model or adapter. `None` when there is no link.
    pub fn request_load(
        self: &Arc<Self>,
        engine: SocketAddr,
        mut req: LoadRequest,
    ) -> Option<PendingLoad> {
        let mut state = self.state();
        req.seq = state.next_seq();
        let i = state.agent(engine)?;
        let link = &mut state.agents[i];
        let seq = req.seq;
        link.tx.try_send(ToAgent::LoadRequest(req)).ok()?;
        let (tx, rx) = oneshot::channel();
        link.waiting.push((seq, tx));
        Some(PendingLoad {
            cx: self.clone(),
            engine,
            seq,
            rx,
            open: true,
        })
    }

    fn cancel(&self, engine: SocketAddr, seq: u64) {
        let mut state = self.state();
        if let Some(i) = state.agent(engine) {
            let link = &mut state.agents[i];
            link.waiting.retain(|(s, _)| *s != seq);
            // An agent that does not read forgets it when the link ends.
            let _ = link.tx.try_send(ToAgent::Cancel(seq));
        }
    }

    /// Takes in how long an engine took until the first event of a prompt, for its agent.
    pub fn was_read(&self, key: TargetKey, job: &Job, reads: Duration, took: Duration) {
        let Some((model, _)) = job.model_of_engine().filter(|_| !reads.is_zero()) else {
            return;
        };
        let mut state = self.state();
        let engine = state.view.get(key).target.addr;
        if let Some(i) = state.agent(engine) {
            state.agents[i].read.push(Read {
                model: model.into(),
                reads,
                took,
            });
        }
    }

    /// Asks the agent of an engine for a prompt's prefill slot. `None` when there is no link.
    pub fn reserve(&self, engine: SocketAddr, ask: Ask) -> Option<oneshot::Receiver<Answer>> {
        let mut state = self.state();
        let seq = state.next_seq();
        let i = state.agent(engine)?;
        let link = &mut state.agents[i];
        link.tx.try_send(ToAgent::Prefill { seq, ask }).ok()?;
        let (tx, rx) = oneshot::channel();
        link.reservations.push((seq, tx));
        Some(rx)
    }
}

impl State {
    /// A number for the next question to an agent.
    pub fn next_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }

    fn entries(&self, expected: u32) -> u32 {
        let counts = self.agents.iter().map(|a| a.entries);
        budget::entries(expected, counts)
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

    /// The retries of each service.
    pub fn budgets(&self) -> impl Iterator<Item = (&str, &Budget)> {
        self.budgets.iter().map(|(service, b)| (&**service, b))
    }

    /// Notes that a request goes to an engine.
    fn use_begins(&mut self, engine: SocketAddr, name: &str) {
        let found = self
            .use_of
            .iter_mut()
            .find(|u| u.engine == engine && *u.used.model == *name);
        if let Some(u) = found {
            u.used.sent += 1;
            u.used.in_flight += 1;
            return;
        }
        self.use_of.push(UseAt {
            engine,
            used: Used {
                model: name.into(),
                sent: 1,
                in_flight: 1,
            },
            told_in_flight: 0,
        });
    }

    fn use_ends(&mut self, engine: SocketAddr, name: &str) {
        let found = self
            .use_of
            .iter_mut()
            .find(|u| u.engine == engine && *u.used.model == *name);
        if let Some(u) = found {
            u.used.in_flight = u.used.in_flight.saturating_sub(1);
        }
    }

    /// Takes how long prompts took to be read at an engine since its agent was told.
    pub fn take_read(&mut self, engine: SocketAddr) -> Vec<Read> {
        let i = self.agent(engine);
        i.map_or_else(Vec::new, |i| std::mem::take(&mut self.agents[i].read))
    }

    /// Takes what an engine's agent has not been told yet; all of it for a new link.
    pub fn take_used(&mut self, engine: SocketAddr, whole: bool) -> Vec<Used> {
        let mut out = Vec::new();
        for u in self.use_of.iter_mut().filter(|u| u.engine == engine) {
            let news = u.used.sent > 0 || u.used.in_flight != u.told_in_flight;
            if news || whole {
                out.push(u.used.clone());
                u.used.sent = 0;
                u.told_in_flight = u.used.in_flight;
            }
        }
        let idle = |u: &UseAt| u.used.in_flight == 0 && u.told_in_flight == 0 && u.used.sent == 0;
        self.use_of.retain(|u| u.engine != engine || !idle(u));
        out
    }
}
