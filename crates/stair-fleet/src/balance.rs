//! Chooses the model that gets a further replica, and the replicas that are evicted for it.
//!
//! Load: demand for a few models moves within seconds, and prompts on one engine delay the streams beside them. Moves
//! minimise the expected number of waiting requests: `w * w / 2` at an engine that spends a part `w` of its time on
//! prefill, and a swap for each request of a model without a replica.
//!
//! Invariant: each move lowers that number by a margin, so moves end under steady demand and never undo each other.

use std::time::Duration;

use crate::{
    catalogue::Engine,
    cold_start,
    prefetch::Asked,
    target::CopyLocation,
    target_state::TargetState,
    view::{
        TargetKey,
        View, //
    },
};

/// Expected queue of a model without a replica, per request a second: the seconds of a swap.
const ABSENT_PER_S: f64 = 1.0;

/// The least expected queue of a model without a replica.
const ABSENT: f64 = 0.1;

/// The least gain of a move that evicts nothing, in waiting requests.
const MARGIN_FREE: f64 = 0.02;

/// The same with evictions. Rates waver, and without a margin the next look would undo the move.
const MARGIN_VICTIMS: f64 = 0.125;

/// The same for a load from the weight store, which lasts about as long as demand stays.
const MARGIN_STORE: f64 = 0.2;

/// Part of the gain that is left when a victim has requests in flight: its engine takes no order until they end.
const BUSY_PART: f64 = 0.5;

/// Models considered for a load from the weight store: those with the busiest replicas.
const STORE_MODELS: usize = 3;

/// Engines considered for such a load: those with the least to do.
const STORE_ENGINES: usize = 8;

/// One engine.
struct Node<'a> {
    key: TargetKey,
    state: &'a TargetState,
    /// Whether it can be ordered to load now.
    free: bool,
    /// Models that it holds or is loading.
    models: Vec<usize>,
    /// Part of its time that prompts take.
    work: f64,
}

/// One model.
#[derive(Default, Clone)]
struct Demand {
    per_s: f64,
    /// Part of one engine's time that its prompts take.
    work: f64,
    nodes: Vec<usize>,
}

impl Demand {
    fn share(&self) -> f64 {
        self.share_of(self.nodes.len())
    }

    fn share_of(&self, replicas: usize) -> f64 {
        match replicas {
            0 => 0.0,
            n => self.work / n as f64,
        }
    }
}

/// A move: a load, and what makes way for it.
struct Move {
    model: usize,
    node: usize,
    from: CopyLocation,
    victims: Vec<usize>,
    gain: f64,
}

struct Plan<'a> {
    engine: &'a Engine,
    nodes: Vec<Node<'a>>,
    models: Vec<Demand>,
    room_mb: f64,
    now: Duration,
}

/// What is to be balanced.
#[derive(Debug, Clone, Copy)]
pub struct Options<'a> {
    /// All that is known of the engines.
    pub view: &'a View,
    /// The service.
    pub service: &'a str,
    /// What it declares.
    pub engine: &'a Engine,
    /// Loads that were asked for; they count as replicas.
    pub asked: &'a [Asked],
    /// Engines that get no order.
    pub left_alone: &'a [TargetKey],
    /// Whether a load from the weight store may begin.
    pub store: bool,
}

/// The move that was found.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// The model.
    pub model: Box<str>,
    /// Where it is to be loaded. Its cost is the time until it is ready alone: what the models that
    /// make way are missed is in the gain.
    pub place: cold_start::Outcome,
    /// What decided: what the move takes off, in requests that wait at a time.
    pub gain: f64,
}

/// Finds the move that takes the most off the fleet's expected queue, if one is worth its load.
pub fn next(opts: &Options<'_>, now: Duration) -> Option<Outcome> {
    let engine = opts.engine;
    let plan = Plan::new(opts, now);
    let near = plan.near();
    let best = match near {
        Some(m) => m,
        None if opts.store => plan.fetch(opts)?,
        None => return None,
    };
    let decl = &engine.models[best.model];
    let ready_in = decl.load_time(best.from);
    let name = |m: &usize| engine.models[*m].name.clone();
    let place = cold_start::Outcome {
        key: plan.nodes[best.node].key,
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
        let mut nodes = Vec::new();
        for (key, state) in opts
            .view
            .of(opts.service)
            .filter(|(_, s)| s.is_available(now))
        {
            let report = state.fresh_report(now);
            let held = state.inventory(now).models.iter().map(|h| &h.name);
            let loading = report.and_then(|r| r.load.loading.as_ref());
            let held = held.filter(|n| state.can_run(n, now));
            let asked = opts.asked.iter().filter(|a| a.key == key).map(|a| &a.model);
            let names = held.chain(loading.map(|l| &l.model)).chain(asked);
            let mut here: Vec<usize> = names.filter_map(|n| index(n)).collect();
            here.sort_unstable();
            here.dedup();
            for m in &here {
                models[*m].nodes.push(nodes.len());
            }
            for usage in report.iter().flat_map(|r| &r.load.usage) {
                if let Some(m) = index(&usage.model) {
                    models[m].per_s += f64::from(usage.per_s);
                    models[m].work += f64::from(usage.prefill_fraction);
                }
            }
            let idle = report.is_some_and(|r| {
                r.load.loading.is_none() && !r.load.unloading && r.load.queued_load_time.is_zero()
            });
            nodes.push(Node {
                key,
                state,
                free: idle && !opts.left_alone.contains(&key),
                models: here,
                work: 0.0,
            });
        }
        for node in &mut nodes {
            node.work = node.models.iter().map(|m| models[*m].share()).sum();
        }
        let room_mb = engine.weights_mb - cold_start::adapters_mb(engine);
        Self {
            engine,
            nodes,
            models,
            room_mb,
            now,
        }
    }

    /// The best move from a copy at an engine.
    fn near(&self) -> Option<Move> {
        let mut best: Option<Move> = None;
        for (n, node) in self.nodes.iter().enumerate().filter(|(_, n)| n.free) {
            let inventory = node.state.inventory(self.now);
            for (m, decl) in self.engine.models.iter().enumerate() {
                let from = inventory.copy(&decl.name);
                if from == CopyLocation::Store || !self.needs_replica(m) {
                    continue;
                }
                best = better(best, self.at(m, n, from, MARGIN_FREE, MARGIN_VICTIMS));
            }
        }
        best
    }

    /// The best move from the weight store, among the busiest models and the idlest engines.
    fn fetch(&self, opts: &Options<'_>) -> Option<Move> {
        let mut models: Vec<usize> = (0..self.models.len())
            .filter(|m| self.needs_replica(*m))
            .collect();
        models.sort_by(|a, b| {
            let share = |m: &usize| self.models[*m].share();
            share(b).total_cmp(&share(a))
        });
        let mut nodes: Vec<usize> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].free)
            .filter(|n| {
                let state = self.nodes[*n].state;
                !cold_start::has_last_copy(opts.view, opts.service, state, self.now)
            })
            .collect();
        nodes.sort_by(|a, b| {
            let work = |n: &usize| self.nodes[*n].work;
            work(a).total_cmp(&work(b))
        });
        let mut best = None;
        for m in models.iter().take(STORE_MODELS) {
            for n in nodes.iter().take(STORE_ENGINES) {
                let found = self.at(*m, *n, CopyLocation::Store, MARGIN_STORE, MARGIN_STORE);
                best = better(best, found);
            }
        }
        best
    }

    /// Whether a further replica of a model could be worth anything.
    fn needs_replica(&self, model: usize) -> bool {
        let demand = &self.models[model];
        let alone = demand.share();
        // The most that a move can take off: an engine with nothing else to do takes half of it.
        !demand.nodes.is_empty() && alone * demand.work / 2.0 > MARGIN_FREE
    }

    /// The best way to bring a model to an engine, if it is worth the margin.
    fn at(
        &self,
        model: usize,
        node: usize,
        from: CopyLocation,
        margin_free: f64,
        margin_victims: f64,
    ) -> Option<Move> {
        let here = &self.nodes[node].models;
        if here.contains(&model) {
            return None;
        }
        let size = |m: &usize| self.engine.models[*m].weights_mb;
        let taken: f64 = here.iter().map(size).sum();
        let needed = taken + size(&model) - self.room_mb;
        let mut best = None;
        // An engine holds three models at most, or a few small ones.
        for set in 0..1u32 << here.len().min(8) {
            let victims: Vec<usize> = (0..here.len().min(8))
                .filter(|i| set & (1 << i) != 0)
                .map(|i| here[i])
                .collect();
            let freed: f64 = victims.iter().map(size).sum();
            let needless = victims.iter().any(|v| freed - size(v) >= needed);
            if freed < needed || needless {
                continue;
            }
            let gain = self.gain(model, node, &victims);
            let margin = match victims.is_empty() {
                true => margin_free,
                false => margin_victims,
            };
            if gain >= margin {
                let found = Move {
                    model,
                    node,
                    from,
                    victims,
                    gain,
                };
                best = better(best, Some(found));
            }
        }
        best
    }

    /// What a move takes off the queue.
    fn gain(&self, model: usize, node: usize, victims: &[usize]) -> f64 {
        let mut changes: Vec<(usize, f64)> = Vec::new();
        let demand = &self.models[model];
        let share = demand.share_of(demand.nodes.len() + 1);
        changes.extend(demand.nodes.iter().map(|n| (*n, share - demand.share())));
        changes.push((node, share));
        let mut lost = 0.0;
        for v in victims {
            let demand = &self.models[*v];
            let share = demand.share_of(demand.nodes.len() - 1);
            let others = demand.nodes.iter().filter(|n| **n != node);
            changes.extend(others.map(|n| (*n, share - demand.share())));
            changes.push((node, -demand.share()));
            if demand.nodes.len() == 1 {
                lost += ABSENT + ABSENT_PER_S * demand.per_s;
            }
        }
        changes.sort_unstable_by_key(|(n, _)| *n);
        let mut off = 0.0;
        for group in changes.chunk_by(|a, b| a.0 == b.0) {
            let before = self.nodes[group[0].0].work;
            let after = before + group.iter().map(|(_, d)| d).sum::<f64>();
            off += (before * before - after * after) / 2.0;
        }
        if victims.iter().any(|v| self.busy(node, *v)) {
            off *= BUSY_PART;
        }
        off - lost
    }

    fn busy(&self, node: usize, model: usize) -> bool {
        let report = self.nodes[node].state.fresh_report(self.now);
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
