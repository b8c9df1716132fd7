//! What the replies of targets tell about them. Soft state: it is gone with the process.

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
use stair_wire::request::Load;
use tokio::time::Instant;

/// A target to which no link could be opened comes last for so long: a request that tries it waits
/// for the whole time of an attempt.
const AVOID_FOR: Duration = Duration::from_secs(1);

/// A target that refused because its VM is leaving is not asked again for so long. A VM that is
/// told to stay after all, or a lagging list that speaks of an earlier VM of the same name, shows
/// by the next request after that; the refusal costs that request a round trip.
const LEAVING_FOR: Duration = Duration::from_secs(10);

/// Targets not heard of for long are swept when this many have been added.
const SWEEP_AT: usize = 256;

/// All targets that this entry has dealt with.
pub(super) struct Targets {
    list: RwLock<List>,
    shift: Mutex<TrafficWeights>,
}

#[derive(Default)]
struct List {
    /// Sorted by name.
    all: Vec<Arc<Target>>,
    /// The key of the next target; a key is never used for another one.
    next: u32,
}

/// One target.
pub(super) struct Target {
    name: TargetName,
    /// Stable in this process, other than the keys of a view.
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
    unreached: Option<Instant>,
}

/// An incarnation of the agent said that it is leaving.
#[derive(Clone, Copy)]
struct Leaving {
    token: FencingToken,
    said: Instant,
}

impl State {
    fn leaving(&self) -> Option<FencingToken> {
        let leaving = self.leaving.filter(|l| l.said.elapsed() < LEAVING_FOR);
        leaving.map(|l| l.token)
    }
}

struct Loaded {
    model: ModelName,
    loaded: bool,
}

/// What is known of a target at a moment.
#[derive(Debug, Clone, Copy)]
pub(super) struct Known {
    pub(super) expected_wait: Duration,
    pub(super) report_age: Duration,
    pub(super) in_flight: u16,
    pub(super) loaded: bool,
    pub(super) weight: f32,
    pub(super) leaving: Option<FencingToken>,
}

/// What an operator sees of a target.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Seen {
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
            shift: Mutex::new(TrafficWeights::new(traffic_weights::Options::default())),
        }
    }
}

impl Targets {
    /// Returns a target, known or new.
    pub(super) fn get(&self, name: &TargetName) -> Arc<Target> {
        let list = self.list.read().unwrap_or_else(PoisonError::into_inner);
        if let Ok(i) = list.all.binary_search_by(|t| t.name.cmp(name)) {
            return list.all[i].clone();
        }
        drop(list);
        self.add(name)
    }

    /// Returns what is known of a target, for a request to a model.
    pub(super) fn known(&self, name: &TargetName, model: Option<&ModelName>) -> Known {
        let target = self.get(name);
        let weight = self.shift().weight(target.key);
        target.known(model, weight)
    }

    /// Notes that a target began its answer so long after it was started.
    pub(super) fn answered(&self, target: &Target, latency: Duration) {
        let mut shift = self.shift();
        shift.observe(target.key, latency, Outcome::Completed);
    }

    /// Notes that a target could not be reached, its link broke or its engine failed.
    pub(super) fn failed(&self, target: &Target) {
        let mut shift = self.shift();
        shift.observe(target.key, Duration::ZERO, Outcome::Failed);
    }

    pub(super) fn snapshot(&self) -> Vec<Seen> {
        let list = self.list.read().unwrap_or_else(PoisonError::into_inner);
        let shift = self.shift();
        let all = list.all.iter();
        all.map(|t| t.seen(shift.weight(t.key))).collect()
    }

    fn add(&self, name: &TargetName) -> Arc<Target> {
        let mut list = self.list.write().unwrap_or_else(PoisonError::into_inner);
        if list.all.len() % SWEEP_AT == SWEEP_AT - 1 {
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
        let mut shift = self.shift();
        all.retain(|t| {
            let keep = !t.is_forgettable();
            if !keep {
                shift.forget(t.key);
            }
            keep
        });
    }

    fn shift(&self) -> MutexGuard<'_, TrafficWeights> {
        self.shift.lock().unwrap_or_else(PoisonError::into_inner)
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
                unreached: None,
            }),
        }
    }

    fn known(&self, model: Option<&ModelName>, weight: f32) -> Known {
        let state = self.lock();
        let loaded = model.is_none_or(|m| {
            let at = state.models.binary_search_by(|l| l.model.cmp(m));
            at.is_ok_and(|i| state.models[i].loaded)
        });
        Known {
            expected_wait: Duration::from_millis(state.load.expected_wait_ms.into()),
            report_age: state.reported.map_or(Duration::MAX, |at| at.elapsed()),
            in_flight: state.in_flight,
            loaded,
            weight: match state.unreached {
                Some(at) if at.elapsed() < AVOID_FOR => 0.0,
                _ => weight,
            },
            leaving: state.leaving(),
        }
    }

    /// Notes the load that came with a reply.
    pub(super) fn report(&self, load: Load, model: Option<&ModelName>) {
        let mut state = self.lock();
        state.load = load;
        state.reported = Some(Instant::now());
        state.unreached = None;
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

    /// Notes that no link to the target could be opened.
    pub(super) fn unreached(&self) {
        self.lock().unreached = Some(Instant::now());
    }

    /// Notes that this incarnation of the agent said that it is leaving.
    pub(super) fn leaves(&self, token: FencingToken) {
        let said = Instant::now();
        self.lock().leaving = Some(Leaving { token, said });
    }

    /// Counts a request of this entry at the target until the mark is dropped.
    pub(super) fn take(self: &Arc<Self>) -> InFlight {
        let mut state = self.lock();
        state.in_flight = state.in_flight.saturating_add(1);
        InFlight(self.clone())
    }

    fn is_forgettable(&self) -> bool {
        let state = self.lock();
        state.in_flight == 0 && state.reported.is_none_or(|at| at.elapsed() > FORGET_AFTER)
    }

    fn seen(&self, weight: f32) -> Seen {
        let state = self.lock();
        Seen {
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

/// A target without a reply for so long may have been replaced; what it said means nothing now.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Marks one request of this entry at a target.
pub(super) struct InFlight(Arc<Target>);

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.in_flight = state.in_flight.saturating_sub(1);
    }
}
