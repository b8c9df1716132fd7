//! Load and failures of targets, recorded from their agents' replies. Soft state that ends with the
//! process.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        RwLock, //
    },
    time::Duration,
};

use serde::Serialize;
use stair_policy::traffic_weights::{
    self,
    Outcome,
    TrafficWeights, //
};
use stair_types::{
    FencingToken,
    ModelName,
    TargetKey,
    TargetName, //
};
use stair_wire::request::{
    Load,
    StatedLimit, //
};
use tokio::time::Instant;

/// Time during which a target to which no link could be opened is tried last. A request that tries it
/// waits for the whole connect timeout.
const UNREACHABLE_TTL: Duration = Duration::from_secs(1);

/// Time during which a target that refused because its VM is leaving gets no requests. Afterwards the
/// next request finds out whether the VM stays after all, or the refusal came from a lagging list
/// with an earlier VM of the same name. If not, the refusal costs that request a round trip.
const LEAVING_TTL: Duration = Duration::from_secs(10);

/// Number of added targets after which expired targets are removed.
const TARGETS_PER_SWEEP: usize = 256;

/// The targets that this entry has sent requests to.
pub(super) struct Targets {
    list: RwLock<List>,
    weights: Mutex<TrafficWeights>,
}

#[derive(Default)]
struct List {
    /// Sorted by name.
    all: Vec<Arc<Target>>,
    /// The key of the next target that is added. Keys are not reused.
    next: u32,
}

/// The recorded state of one target.
pub(super) struct Target {
    name: TargetName,
    /// A key that is stable in this process, unlike the keys of a view.
    key: TargetKey,
    state: Mutex<State>,
}

struct State {
    load: Load,
    reported: Option<Instant>,
    in_flight: u16,
    /// Sorted by name.
    models: Vec<Loaded>,
    leaving: Option<Leaving>,
    unreachable_since: Option<Instant>,
}

/// The report of an agent's incarnation that it is leaving.
#[derive(Clone, Copy)]
struct Leaving {
    token: FencingToken,
    since: Instant,
}

impl State {
    fn leaving(&self) -> Option<FencingToken> {
        let leaving = self.leaving.filter(|l| l.since.elapsed() < LEAVING_TTL);
        leaving.map(|l| l.token)
    }
}

struct Loaded {
    model: ModelName,
    loaded: bool,
}

/// The recorded state of a target for one model at one moment.
#[derive(Debug, Clone, Copy)]
pub(super) struct TargetStats {
    pub(super) expected_wait: Duration,
    pub(super) report_age: Duration,
    pub(super) in_flight: u16,
    pub(super) loaded: bool,
    pub(super) weight: f32,
    pub(super) leaving: Option<FencingToken>,
}

/// A target in the state dump.
#[derive(Debug, Clone, Serialize)]
pub(super) struct TargetDump {
    name: TargetName,
    load: Load,
    report_age_ms: Option<u64>,
    in_flight: u16,
    weight: f32,
    leaving: Option<FencingToken>,
}

impl Default for Targets {
    fn default() -> Self {
        Self {
            list: RwLock::default(),
            weights: Mutex::new(TrafficWeights::new(traffic_weights::Options::default())),
        }
    }
}

impl Targets {
    /// Returns a target, adding it if necessary.
    pub(super) fn get(&self, name: &TargetName) -> Arc<Target> {
        let list = self.list.read().unwrap_or_else(PoisonError::into_inner);
        if let Ok(i) = list.all.binary_search_by(|t| t.name.cmp(name)) {
            return list.all[i].clone();
        }
        drop(list);
        self.add(name)
    }

    /// Returns the state of a target for a request to a model, or to a service if there is none.
    pub(super) fn stats(&self, name: &TargetName, model: Option<&ModelName>) -> TargetStats {
        let target = self.get(name);
        let weight = self.weights().weight(target.key);
        target.stats(model, weight)
    }

    /// Records the time from the start of a request to the first byte of its response.
    pub(super) fn record_first_byte(&self, target: &Target, latency: Duration) {
        let mut weights = self.weights();
        weights.observe(target.key, latency, Outcome::Completed);
    }

    /// Records that a target could not be reached, its link broke or its engine failed.
    pub(super) fn record_failure(&self, target: &Target) {
        let mut weights = self.weights();
        weights.observe(target.key, Duration::ZERO, Outcome::Failed);
    }

    pub(super) fn snapshot(&self) -> Vec<TargetDump> {
        let list = self.list.read().unwrap_or_else(PoisonError::into_inner);
        let weights = self.weights();
        let all = list.all.iter();
        all.map(|t| t.dump(weights.weight(t.key))).collect()
    }

    fn add(&self, name: &TargetName) -> Arc<Target> {
        let mut list = self.list.write().unwrap_or_else(PoisonError::into_inner);
        if list.all.len() % TARGETS_PER_SWEEP == TARGETS_PER_SWEEP - 1 {
            self.sweep(&mut list.all);
        }
        match list.all.binary_search_by(|t| t.name.cmp(name)) {
            Ok(i) => list.all[i].clone(),
            Err(i) => {
                let key = TargetKey(list.next);
                list.next += 1;
                let target = Arc::new(Target::new(name.clone(), key));
                list.all.insert(i, target.clone());
                target
            }
        }
    }

    fn sweep(&self, all: &mut Vec<Arc<Target>>) {
        let mut weights = self.weights();
        all.retain(|t| {
            let keep = !t.is_expired();
            if !keep {
                weights.forget(t.key);
            }
            keep
        });
    }

    fn weights(&self) -> MutexGuard<'_, TrafficWeights> {
        self.weights.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Target {
    fn new(name: TargetName, key: TargetKey) -> Self {
        Self {
            name,
            key,
            state: Mutex::new(State {
                load: Load::default(),
                reported: None,
                in_flight: 0,
                models: Vec::new(),
                leaving: None,
                unreachable_since: None,
            }),
        }
    }

    fn stats(&self, model: Option<&ModelName>, weight: f32) -> TargetStats {
        let state = self.lock();
        let loaded = model.is_none_or(|m| {
            let at = state.models.binary_search_by(|l| l.model.cmp(m));
            at.is_ok_and(|i| state.models[i].loaded)
        });
        TargetStats {
            expected_wait: Duration::from_millis(state.load.expected_wait_ms.into()),
            report_age: state.reported.map_or(Duration::MAX, |at| at.elapsed()),
            in_flight: state.in_flight,
            loaded,
            weight: match state.unreachable_since {
                Some(at) if at.elapsed() < UNREACHABLE_TTL => 0.0,
                _ => weight,
            },
            leaving: state.leaving(),
        }
    }

    /// Records the load that came with a reply to a request to `model`.
    pub(super) fn record_load(&self, load: Load, model: Option<&ModelName>) {
        let mut state = self.lock();
        state.load = load;
        state.reported = Some(Instant::now());
        state.unreachable_since = None;
        let Some(model) = model else {
            return;
        };
        match state.models.binary_search_by(|l| l.model.cmp(model)) {
            Ok(i) => state.models[i].loaded = load.model_loaded,
            Err(i) => state.models.insert(
                i,
                Loaded {
                    model: model.clone(),
                    loaded: load.model_loaded,
                },
            ),
        }
    }

    /// The limit that the target has named, by its agent's last reply.
    pub(super) fn limit(&self) -> Option<StatedLimit> {
        self.lock().load.limit
    }

    /// Records that no link to the target could be opened.
    pub(super) fn mark_unreachable(&self) {
        self.lock().unreachable_since = Some(Instant::now());
    }

    /// Records that an incarnation of the agent has reported that it is leaving.
    pub(super) fn mark_leaving(&self, token: FencingToken) {
        let since = Instant::now();
        self.lock().leaving = Some(Leaving { token, since });
    }

    /// Counts a request of this entry at the target until the returned guard is dropped.
    pub(super) fn begin_request(self: &Arc<Self>) -> InFlight {
        let mut state = self.lock();
        state.in_flight = state.in_flight.saturating_add(1);
        InFlight(self.clone())
    }

    fn is_expired(&self) -> bool {
        let state = self.lock();
        state.in_flight == 0 && state.reported.is_none_or(|at| at.elapsed() > TARGET_TTL)
    }

    fn dump(&self, weight: f32) -> TargetDump {
        let state = self.lock();
        TargetDump {
            name: self.name.clone(),
            load: state.load,
            report_age_ms: state
                .reported
                .and_then(|at| u64::try_from(at.elapsed().as_millis()).ok()),
            in_flight: state.in_flight,
            weight,
            leaving: state.leaving(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Time without a reply after which a target's state is removed. The target may have been replaced, and
/// its last report is meaningless by then.
const TARGET_TTL: Duration = Duration::from_secs(600);

/// Guard that counts one request of this entry at a target.
pub(super) struct InFlight(Arc<Target>);

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.in_flight = state.in_flight.saturating_sub(1);
    }
}
