//! Chooses the model that gets a further replica, and the replicas that are evicted for it.
//!
//! Demand for a few models moves within seconds, and prompts on one engine delay the streams beside
//! them. Moves minimise the expected number of waiting requests: `w * w / 2` at an engine that
//! spends a fraction `w` of its time on prefill, and a swap for each request of a model without a
//! replica.
//!
//! Invariant: each move lowers that number by a least gain, so moves end under steady demand and
//! never undo each other.

use std::time::Duration;

use crate::{
    catalogue::Engine,
    cold_start,
    prefetch::RequestedLoad,
    target::CopyLocation,
    target_state::TargetState,
    view::{
        TargetKey,
        View, //
    },
};

/// Expected queue of a model without a replica, per request per second: the seconds of a swap.
const ABSENT_QUEUE_PER_RATE: f64 = 1.0;

/// The least expected queue of a model without a replica.
const MIN_ABSENT_QUEUE: f64 = 0.1;

/// The least gain of a move that evicts nothing, in waiting requests.
const MIN_GAIN_WITHOUT_EVICTION: f64 = 0.02;

/// The least gain of a move that evicts a replica, in waiting requests. Measured rates fluctuate,
/// and without a least gain the next search would undo the move.
const MIN_GAIN_WITH_EVICTION: f64 = 0.125;

/// The least gain of a load from the weight store, in waiting requests. Such a load takes about as
/// long as demand lasts.
const MIN_GAIN_FROM_STORE: f64 = 0.2;

/// Fraction of the gain that remains when a victim has requests in flight: its engine takes no
/// order until they end.
const BUSY_VICTIM_FRACTION: f64 = 0.5;

/// Models considered for a load from the weight store: those with the busiest replicas.
const MAX_STORE_MODELS: usize = 3;

/// Engines considered for a load from the weight store: those with the least prefill.
const MAX_STORE_ENGINES: usize = 8;

/// Load of one engine.
struct TargetLoad<'a> {
    key: TargetKey,
    state: &'a TargetState,
    /// Whether the engine can be ordered to load now.
    can_load: bool,
    /// Indexes of the models that the engine has loaded, is loading or was requested to load.
    models: Vec<usize>,
    /// Fraction of its time that prefill takes.
    prefill_fraction: f64,
}

/// Demand for one model.
#[derive(Default, Clone)]
struct Demand {
    per_s: f64,
    /// Fraction of one engine's time that prefill of its prompts takes.
    prefill_fraction: f64,
    targets: Vec<usize>,
}

impl Demand {
    fn share(&self) -> f64 {
        self.share_of(self.targets.len())
    }

    fn share_of(&self, replicas: usize) -> f64 {
        match replicas {
            0 => 0.0,
            n => self.prefill_fraction / n as f64,
        }
    }
}

/// A load and its evictions.
struct Move {
    model: usize,
    target: usize,
    from: CopyLocation,
    victims: Vec<usize>,
    gain: f64,
}

struct Plan<'a> {
    engine: &'a Engine,
    targets: Vec<TargetLoad<'a>>,
    models: Vec<Demand>,
    model_memory_mb: f64,
    now: Duration,
}

/// The service to be balanced.
#[derive(Debug, Clone, Copy)]
pub struct Options<'a> {
    /// All that is known of its engines.
    pub view: &'a View,
    /// The service.
    pub service: &'a str,
    /// The declaration of its engines.
    pub engine: &'a Engine,
    /// Loads that were requested; they count as replicas.
    pub requested: &'a [RequestedLoad],
    /// Engines that get no order.
    pub excluded: &'a [TargetKey],
    /// Whether a load from the weight store may begin.
    pub store: bool,
}

/// The best move.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// The model.
    pub model: Box<str>,
    /// Its placement. The cost is only the time until it is ready: the eviction cost is part of
    /// `gain`.
    pub place: cold_start::Outcome,
    /// Reduction of the expected queue, in waiting requests.
    pub gain: f64,
}

/// Finds the move that reduces the fleet's expected queue the most, if one is worth its load.
pub fn next(opts: &Options<'_>, now: Duration) -> Option<Outcome> {
    let engine = opts.engine;
    let plan = Plan::new(opts, now);
    let local = plan.best_local();
    let best = match local {
        Some(m) => m,
        None if opts.store => plan.best_from_store(opts)?,
        None => return None,
    };
    let decl = &engine.models[best.model];
    let ready_in = decl.load_time(best.from);
    let name = |m: &usize| engine.models[*m].name.clone();
    let place = cold_start::Outcome {
        key: plan.targets[best.target].key,
        from: best.from,
        ready_in,
        victims: best.victims.iter().map(name).collect(),
        cost_ms: ready_in.as_secs_f64() * 1000.0,
    };
    Some(Outcome {
        model: decl.name.clone(),
        place,
        gain: best.gain,
    })
}

impl<'a> Plan<'a> {
    fn new(opts: &Options<'a>, now: Duration) -> Self {
        let engine = opts.engine;
        let mut models = vec![Demand::default(); engine.models.len()];
        let index = |name: &str| {
            let found = engine.models.binary_search_by(|m| (*m.name).cmp(name));
            found.ok()
        };
        let mut targets = Vec::new();
        for (key, state) in opts.view.of(opts.service).filter(|(_, s)| s.is_up(now)) {
            let report = state.fresh_report(now);
            let loaded = state.inventory(now).models.iter().map(|h| &h.name);
            let loading = report.and_then(|r| r.load.loading.as_ref());
            let loaded = loaded.filter(|n| state.can_run(n, now));
            let requested = opts
                .requested
                .iter()
                .filter(|a| a.key == key)
                .map(|a| &a.model);
            let names = loaded.chain(loading.map(|l| &l.model)).chain(requested);
            let mut here: Vec<usize> = names.filter_map(|n| index(n)).collect();
            here.sort_unstable();
            here.dedup();
            // A replica on a limited engine takes no share of the demand.
            if state.limit.is_none() {
                for m in &here {
                    models[*m].targets.push(targets.len());
                }
            }
            for usage in report.iter().flat_map(|r| &r.load.usage) {
                if let Some(m) = index(&usage.model) {
                    models[m].per_s += f64::from(usage.per_s);
                    models[m].prefill_fraction += f64::from(usage.prefill_fraction);
                }
            }
            let idle = report.is_some_and(|r| {
                r.load.loading.is_none() && !r.load.unloading && r.load.queued_load_time.is_zero()
            });
            targets.push(TargetLoad {
                key,
                state,
                can_load: idle
                    && state.limit.is_none()
                    && state.availability.may_send(now)
                    && !opts.excluded.contains(&key),
                models: here,
                prefill_fraction: 0.0,
            });
        }
        for target in &mut targets {
            target.prefill_fraction = target.models.iter().map(|m| models[*m].share()).sum();
        }
        let model_memory_mb = engine.weights_mb - cold_start::adapters_mb(engine);
        Self {
            engine,
            targets,
            models,
            model_memory_mb,
            now,
        }
    }

    /// The best move from a copy at an engine.
    fn best_local(&self) -> Option<Move> {
        let mut best: Option<Move> = None;
        for (n, target) in self.targets.iter().enumerate().filter(|(_, n)| n.can_load) {
            let inventory = target.state.inventory(self.now);
            for (m, decl) in self.engine.models.iter().enumerate() {
                let from = inventory.copy(&decl.name);
                if from == CopyLocation::Store || !self.may_need_replica(m) {
                    continue;
                }
                best = better(
                    best,
                    self.best_at(
                        m,
                        n,
                        from,
                        MIN_GAIN_WITHOUT_EVICTION,
                        MIN_GAIN_WITH_EVICTION,
                    ),
                );
            }
        }
        best
    }

    /// The best move from the weight store, among the busiest models and the least busy engines.
    fn best_from_store(&self, opts: &Options<'_>) -> Option<Move> {
        let mut models: Vec<usize> = (0..self.models.len())
            .filter(|m| self.may_need_replica(*m))
            .collect();
        models.sort_by(|a, b| {
            let share = |m: &usize| self.models[*m].share();
            share(b).total_cmp(&share(a))
        });
        let mut targets: Vec<usize> = (0..self.targets.len())
            .filter(|n| self.targets[*n].can_load)
            .filter(|n| {
                let state = self.targets[*n].state;
                !cold_start::has_last_copy(opts.view, opts.service, state, self.now)
            })
            .collect();
        targets.sort_by(|a, b| {
            let prefill_fraction = |n: &usize| self.targets[*n].prefill_fraction;
            prefill_fraction(a).total_cmp(&prefill_fraction(b))
        });
        let mut best = None;
        for m in models.iter().take(MAX_STORE_MODELS) {
            for n in targets.iter().take(MAX_STORE_ENGINES) {
                let found = self.best_at(
                    *m,
                    *n,
                    CopyLocation::Store,
                    MIN_GAIN_FROM_STORE,
                    MIN_GAIN_FROM_STORE,
                );
                best = better(best, found);
            }
        }
        best
    }

    /// Whether a further replica of a model could reach the least gain.
    fn may_need_replica(&self, model: usize) -> bool {
        let demand = &self.models[model];
        let share = demand.share();
        // The upper bound of the gain: an engine without other load takes half of the prefill.
        !demand.targets.is_empty()
            && share * demand.prefill_fraction / 2.0 > MIN_GAIN_WITHOUT_EVICTION
    }

    /// The best way to load a model at an engine, if it reaches the least gain.
    fn best_at(
        &self,
        model: usize,
        target: usize,
        from: CopyLocation,
        min_gain_without_eviction: f64,
        min_gain_with_eviction: f64,
    ) -> Option<Move> {
        let here = &self.targets[target].models;
        if here.contains(&model) {
            return None;
        }
        let size = |m: &usize| self.engine.models[*m].weights_mb;
        let taken: f64 = here.iter().map(size).sum();
        let needed = taken + size(&model) - self.model_memory_mb;
        let mut best = None;
        // An engine has at most three models, or a few small ones.
        for set in 0..1u32 << here.len().min(8) {
            let victims: Vec<usize> = (0..here.len().min(8))
                .filter(|i| set & (1 << i) != 0)
                .map(|i| here[i])
                .collect();
            let freed: f64 = victims.iter().map(size).sum();
            let unnecessary = victims.iter().any(|v| freed - size(v) >= needed);
            if freed < needed || unnecessary {
                continue;
            }
            let gain = self.gain(model, target, &victims);
            let min_gain = match victims.is_empty() {
                true => min_gain_without_eviction,
                false => min_gain_with_eviction,
            };
            if gain >= min_gain {
                let found = Move {
                    model,
                    target,
                    from,
                    victims,
                    gain,
                };
                best = better(best, Some(found));
            }
        }
        best
    }

    /// Reduction of the expected queue by a move.
    fn gain(&self, model: usize, target: usize, victims: &[usize]) -> f64 {
        let mut changes: Vec<(usize, f64)> = Vec::new();
        let demand = &self.models[model];
        let share = demand.share_of(demand.targets.len() + 1);
        changes.extend(demand.targets.iter().map(|n| (*n, share - demand.share())));
        changes.push((target, share));
        let mut absent_queue = 0.0;
        for v in victims {
            let demand = &self.models[*v];
            let share = demand.share_of(demand.targets.len() - 1);
            let others = demand.targets.iter().filter(|n| **n != target);
            changes.extend(others.map(|n| (*n, share - demand.share())));
            changes.push((target, -demand.share()));
            if demand.targets.len() == 1 {
                absent_queue += MIN_ABSENT_QUEUE + ABSENT_QUEUE_PER_RATE * demand.per_s;
            }
        }
        changes.sort_unstable_by_key(|(n, _)| *n);
        let mut reduction = 0.0;
        for group in changes.chunk_by(|a, b| a.0 == b.0) {
            let before = self.targets[group[0].0].prefill_fraction;
            let after = before + group.iter().map(|(_, d)| d).sum::<f64>();
            reduction += (before * before - after * after) / 2.0;
        }
        if victims.iter().any(|v| self.busy(target, *v)) {
            reduction *= BUSY_VICTIM_FRACTION;
        }
        reduction - absent_queue
    }

    fn busy(&self, target: usize, model: usize) -> bool {
        let report = self.targets[target].state.fresh_report(self.now);
        let usage = report.and_then(|r| r.load.usage(&self.engine.models[model].name));
        usage.is_some_and(|u| u.in_flight > 0)
    }
}

fn better(a: Option<Move>, b: Option<Move>) -> Option<Move> {
    match (a, b) {
        (Some(a), Some(b)) if b.gain > a.gain => Some(b),
        (None, b) => b,
        (a, _) => a,
    }
}
