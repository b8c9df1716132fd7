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
use stair_types::{
    FencingToken,
    ModelName,
    TargetName, //
};
use stair_wire::request::Load;
use tokio::time::Instant;

/// Share of a target that failed over and over. It keeps a trickle, by which its recovery is seen.
const MIN_WEIGHT: f32 = 1.0 / 16.0;

/// What one failure leaves of a target's share.
const FAILED: f32 = 0.5;

/// What one answer adds to a target's share.
const ANSWERED: f32 = 0.125;

/// Targets not heard of for long are swept when this many have been added.
const SWEEP_AT: usize = 256;

/// All targets that this entry has dealt with.
#[derive(Default)]
pub(super) struct Targets {
    /// Sorted by name.
    all: RwLock<Vec<Arc<Target>>>,
}

/// One target.
pub(super) struct Target {
    name: TargetName,
    state: Mutex<State>,
}

struct State {
    load: Load,
    reported: Option<Instant>,
    in_flight: u16,
    /// Sorted by name.
    models: Vec<Loaded>,
    weight: f32,
    leaving: Option<FencingToken>,
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

impl Targets {
    /// Returns a target, known or new.
    pub(super) fn get(&self, name: &TargetName) -> Arc<Target> {
        let all = self.all.read().unwrap_or_else(PoisonError::into_inner);
        if let Ok(i) = all.binary_search_by(|t| t.name.cmp(name)) {
            return all[i].clone();
        }
        drop(all);
        self.add(name)
    }

    fn add(&self, name: &TargetName) -> Arc<Target> {
        let mut all = self.all.write().unwrap_or_else(PoisonError::into_inner);
        if all.len() % SWEEP_AT == SWEEP_AT - 1 {
            all.retain(|t| !t.is_forgettable());
        }
        match all.binary_search_by(|t| t.name.cmp(name)) {
            Ok(i) => all[i].clone(),
            Err(i) => {
                let target = Arc::new(Target::new(name.clone()));
                all.insert(i, target.clone());
                target
            }
        }
    }

    pub(super) fn snapshot(&self) -> Vec<Seen> {
        let all = self.all.read().unwrap_or_else(PoisonError::into_inner);
        all.iter().map(|t| t.seen()).collect()
    }
}

impl Target {
    fn new(name: TargetName) -> Self {
        Self {
            name,
            state: Mutex::new(State {
                load: Load::default(),
                reported: None,
                in_flight: 0,
                models: Vec::new(),
                weight: 1.0,
                leaving: None,
            }),
        }
    }

    pub(super) fn known(&self, model: Option<&ModelName>) -> Known {
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
            weight: state.weight,
            leaving: state.leaving,
        }
    }

    /// Notes the load that came with a reply.
    pub(super) fn report(&self, load: Load, model: Option<&ModelName>) {
        let mut state = self.lock();
        state.load = load;
        state.reported = Some(Instant::now());
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

    /// Notes that the target answered.
    pub(super) fn answered(&self) {
        let mut state = self.lock();
        state.weight = (state.weight + ANSWERED).min(1.0);
    }

    /// Notes that the target could not be reached or its link broke.
    pub(super) fn failed(&self) {
        let mut state = self.lock();
        state.weight = (state.weight * FAILED).max(MIN_WEIGHT);
    }

    /// Notes that this incarnation of the agent said that it is leaving.
    pub(super) fn leaves(&self, token: FencingToken) {
        self.lock().leaving = Some(token);
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

    fn seen(&self) -> Seen {
        let state = self.lock();
        Seen {
            name: self.name.clone(),
            load: state.load,
            report_age_ms: state
                .reported
                .and_then(|at| u64::try_from(at.elapsed().as_millis()).ok()),
            in_flight: state.in_flight,
            weight: state.weight,
            leaving: state.leaving,
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
