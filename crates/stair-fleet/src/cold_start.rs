//! Chooses the engine that loads a model, and the models that are evicted for it.
//!
//! There are many rarely used models, of which an engine has two or three loaded, with copies of
//! others in host memory and on disk. The cost of a placement is the time until the model can run
//! plus the eviction cost. Entries break ties by hash, so that they mostly agree and the agent
//! loads once.

use std::{
    cell::LazyCell,
    fmt,
    time::Duration, //
};

use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use crate::{
    catalogue::Engine,
    fetch,
    target::{
        CopyLocation,
        Report, //
    },
    target_state::TargetState,
    view::{
        TargetKey,
        View, //
    },
};

/// Time until an engine that unloads a model takes its next order; the model's streams end first.
pub const UNLOAD_DURATION: Duration = Duration::from_millis(3000);

/// Average remaining time of a stream in flight, in milliseconds.
const STREAM_REMAINING_MS: f64 = 700.0;

/// Fraction of an engine's time that one replica's prefill may take without stalling its streams.
pub const REPLICA_PREFILL_FRACTION: f64 = 0.28;

/// Eviction cost of the last replica of a model without demand, in milliseconds: its next request
/// waits for a swap.
const LAST_REPLICA_MS: f64 = 60.0;

/// Increase of the eviction cost of a model's last replica for each request per second, in
/// milliseconds.
const LAST_REPLICA_MS_PER_RATE: f64 = 600.0;

/// Eviction cost of a replica for each whole engine by which the remaining replicas become
/// overloaded, in milliseconds.
const OVERLOAD_MS: f64 = 1800.0;

/// Eviction cost of a redundant replica, in milliseconds.
const REDUNDANT_REPLICA_MS: f64 = 20.0;

/// Cost of a load for each second and each request per second for adapters at the engine, in
/// milliseconds: an engine that loads takes no orders for adapters.
const ADAPTER_DELAY_MS: f64 = 60.0;

/// Memory for weights that is reserved for adapters, in MB.
pub fn adapters_mb(engine: &Engine) -> f64 {
    let largest = engine
        .models
        .iter()
        .map(|m| m.adapter_mb)
        .fold(0.0, f64::max);
    largest * f64::from(engine.adapter_slots)
}

/// Why a model cannot be loaded now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The model has to come from the weight store, and the limit of concurrent loads is reached.
    StoreBusy,
    /// The entry has just started and has no reports of some engines' copies.
    MissingReports,
    /// No engine takes orders and has capacity.
    NoCapacity,
}

/// Log lines contain these texts. They differ from the names of the variants and must not change.
impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::StoreBusy => "StoreBusy",
            Self::MissingReports => "Unheard",
            Self::NoCapacity => "Nowhere",
        })
    }
}

/// A placement of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// The engine.
    pub key: TargetKey,
    /// The location of the engine's copy.
    pub from: CopyLocation,
    /// Estimated time until the model can run.
    pub ready_in: Duration,
    /// Models to be evicted first, the cheapest first.
    pub victims: Vec<Box<str>>,
    /// The cost that decided: time until ready plus eviction cost, in milliseconds.
    pub cost_ms: f64,
}

/// The model to be loaded, and where.
#[derive(Debug, Clone, Copy)]
pub struct Options<'a> {
    /// The service.
    pub service: &'a str,
    /// The declaration of its engines.
    pub engine: &'a Engine,
    /// The model.
    pub model: &'a str,
    /// Engines that are left out.
    pub tried: &'a [TargetKey],
    /// The software version that the engine has to run, if one is required.
    pub version: Option<&'a str>,
}

/// Chooses where to load a model. Engines whose agents are silent take no orders and are left out,
/// as are those that were tried.
///
/// # Errors
///
/// See [`Error`].
pub fn find(view: &View, opts: &Options<'_>, now: Duration) -> Result<Outcome, Error> {
    let search = Search::new(view, opts, now);
    let candidates = search.candidates();
    let any = !candidates.is_empty();
    search.cheapest(candidates).ok_or_else(|| {
        if fetch::has_missing_reports(view, opts.service, now) {
            Error::MissingReports
        } else if any {
            Error::StoreBusy
        } else {
            Error::NoCapacity
        }
    })
}

/// Same as [`find`], without the reason of a failure.
pub fn choose(view: &View, opts: &Options<'_>, now: Duration) -> Option<Outcome> {
    let search = Search::new(view, opts, now);
    search.cheapest(search.candidates())
}

/// One search for a placement. Values that do not depend on the engine are computed once, because
/// every request without a target starts a search over all engines.
struct Search<'a> {
    view: &'a View,
    service: &'a str,
    engine: &'a Engine,
    model: &'a str,
    tried: &'a [TargetKey],
    version: Option<&'a str>,
    /// In the order of the declared models.
    demands: Vec<Demand>,
    now: Duration,
}

/// Demand for a model, and its replicas, including those that are being loaded.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    per_s: f64,
    /// Fraction of one engine's time that prefill of its prompts takes.
    prefill_fraction: f64,
    replicas: u32,
    /// The one replica that may count as redundant, with its tie-break hash: the replica with the
    /// greatest hash. If two entries evicted different replicas at the same moment, none would
    /// remain.
    redundant: Option<(u64, TargetKey)>,
}

impl<'a> Search<'a> {
    fn new(view: &'a View, opts: &Options<'a>, now: Duration) -> Self {
        let mut search = Self {
            view,
            service: opts.service,
            engine: opts.engine,
            model: opts.model,
            tried: opts.tried,
            version: opts.version,
            demands: vec![Demand::default(); opts.engine.models.len()],
            now,
        };
        for (key, s) in view.of(opts.service).filter(|(_, s)| s.is_up(now)) {
            search.count(key, s);
        }
        search
    }

    fn count(&mut self, key: TargetKey, s: &TargetState) {
        let report = s.fresh_report(self.now);
        let loaded = s.inventory(self.now).models.iter().map(|h| &*h.name);
        let loading = report.and_then(|r| r.load.loading.as_ref());
        let loading = loading
            .map(|l| &*l.model)
            .filter(|m| !s.can_run(m, self.now));
        let here = loaded.filter(|m| s.can_run(m, self.now)).chain(loading);
        for model in here {
            let Ok(i) = self.index(model) else { continue };
            let usage = report.and_then(|r| r.load.usage(model));
            self.demands[i].per_s += f64::from(usage.map_or(0.0, |u| u.per_s));
            self.demands[i].prefill_fraction +=
                f64::from(usage.map_or(0.0, |u| u.prefill_fraction));
            // A replica on a limited engine cannot take the requests of another one.
            if s.limit.is_some() {
                continue;
            }
            self.demands[i].replicas += 1;
            let tie_break_hash = tie_break_hash(s, model);
            if self.demands[i]
                .redundant
                .is_none_or(|(most, _)| tie_break_hash > most)
            {
                self.demands[i].redundant = Some((tie_break_hash, key));
            }
        }
    }

    fn index(&self, model: &str) -> Result<usize, usize> {
        let models = &self.engine.models;
        models.binary_search_by(|m| (*m.name).cmp(model))
    }

    /// All placements except at the engines that were tried.
    /// Engines with a limit are used only if there are no others.
    fn candidates(&self) -> Vec<Outcome> {
        let mut out: Vec<Outcome> = self
            .view
            .of(self.service)
            .filter(|(key, s)| s.is_available(self.now) && !self.tried.contains(key))
            .filter(|(_, s)| s.target.runs(self.version))
            .filter_map(|(key, s)| self.cost_at(key, s))
            .collect();
        let is_limited = |o: &Outcome| self.view.get(o.key).limit.is_some();
        if !out.iter().all(is_limited) {
            out.retain(|o| !is_limited(o));
        }
        out
    }

    /// The cheapest placement. One that needs the weight store counts only if a load from there may
    /// begin.
    fn cheapest(&self, candidates: Vec<Outcome>) -> Option<Outcome> {
        let (view, now) = (self.view, self.now);
        let store_free = LazyCell::new(|| {
            let limit = fetch::concurrency_limit(view, self.service, self.engine, now);
            fetch::in_progress(view, self.service, now) < limit
                && !fetch::has_missing_reports(view, self.service, now)
        });
        let is_local = |o: &Outcome| {
            o.from != CopyLocation::Store || view.get(o.key).is_loading(self.model, now)
        };
        candidates
            .into_iter()
            .filter(|o| is_local(o) || *store_free)
            .min_by(|a, b| {
                let hash = |o: &Outcome| tie_break_hash(view.get(o.key), self.model);
                // Costs are compared in steps of 10 ms, so that similar estimates tie.
                let steps = |o: &Outcome| (o.cost_ms / 10.0) as u64;
                steps(a).cmp(&steps(b)).then_with(|| hash(a).cmp(&hash(b)))
            })
    }

    fn cost_at(&self, key: TargetKey, s: &TargetState) -> Option<Outcome> {
        let (model, now) = (self.model, self.now);
        let report = s.fresh_report(now)?;
        let decl = self.engine.model(model)?;
        if s.can_run(model, now) {
            return None;
        }
        if let Some(loading) = report.load.loading.as_ref().filter(|l| *l.model == *model) {
            return Some(Outcome {
                key,
                from: loading.from,
                ready_in: loading.remaining,
                victims: Vec::new(),
                cost_ms: ms(loading.remaining),
            });
        }
        let from = report.inventory.copy(model);
        let mut ready = decl.load_time(from);
        if let Some(other) = &report.load.loading {
            ready += other.remaining;
        }
        if report.load.unloading {
            ready += UNLOAD_DURATION;
        }
        ready += report.load.queued_load_time;
        let victims = self.victims_for(decl.weights_mb, key, s, report)?;
        ready += drain_time(victims.iter().map(|v| v.name), report);
        let eviction: f64 = victims.iter().map(|v| v.eviction_ms).sum();
        Some(Outcome {
            key,
            from,
            ready_in: ready,
            victims: victims.iter().map(|v| v.name.into()).collect(),
            cost_ms: ms(ready) + eviction + adapter_delay_ms(report, ready),
        })
    }

    /// Eviction cost of a model: the additional wait of its requests, in milliseconds.
    fn eviction_ms(&self, model: &str, key: TargetKey) -> f64 {
        // An undeclared model counts as one without demand.
        let demand = self.index(model).map(|i| self.demands[i]);
        let demand = demand.unwrap_or_default();
        let is_redundant = demand
            .redundant
            .is_some_and(|(_, redundant)| redundant == key);
        let remaining = demand.replicas.saturating_sub(1) * u32::from(is_redundant);
        if remaining == 0 {
            return LAST_REPLICA_MS + LAST_REPLICA_MS_PER_RATE * demand.per_s;
        }
        let over = demand.prefill_fraction / f64::from(remaining) - REPLICA_PREFILL_FRACTION;
        REDUNDANT_REPLICA_MS + OVERLOAD_MS * over.max(0.0)
    }

    /// Finds the models to evict for `needed` MB, the cheapest first. `None` if the memory does not
    /// suffice.
    fn victims_for<'s>(
        &self,
        needed: f64,
        key: TargetKey,
        s: &'s TargetState,
        report: &Report,
    ) -> Option<Vec<Victim<'s>>> {
        let engine = self.engine;
        let size = |name: &str| engine.model(name).map_or(0.0, |m| m.weights_mb);
        let loaded = &s.inventory(self.now).models;
        let loading = report.load.loading.as_ref().map_or(0.0, |l| size(&l.model));
        let taken: f64 = loaded.iter().map(|h| size(&h.name)).sum::<f64>() + loading;
        let mut free = engine.weights_mb - adapters_mb(engine) - taken;
        let mut candidates: Vec<Victim<'_>> = loaded
            .iter()
            .map(|h| Victim {
                name: &h.name,
                eviction_ms: self.eviction_ms(&h.name, key),
                drain_ms: ms(drain_time([&*h.name], report)),
            })
            .collect();
        candidates.sort_by(|a, b| a.cost_ms().total_cmp(&b.cost_ms()));
        // One large victim can be cheaper than two small ones, but with two or three models per
        // engine the order by cost alone is close enough. Victims that turn out to be unnecessary
        // are dropped below.
        let mut victims = Vec::new();
        for v in candidates {
            if free >= needed {
                break;
            }
            free += size(v.name);
            victims.push(v);
        }
        if free < needed {
            return None;
        }
        victims.retain(|v| {
            let without = free - size(v.name);
            let unnecessary = without >= needed;
            if unnecessary {
                free = without;
            }
            !unnecessary
        });
        Some(victims)
    }
}

/// Whether an engine has the only copy of a model that it has not loaded.
///
/// A load from the weight store evicts the engine's least used copy. If that were the last copy,
/// the next request for its model would wait for the weight store.
pub fn has_last_copy(view: &View, service: &str, s: &TargetState, now: Duration) -> bool {
    let inventory = s.inventory(now);
    let elsewhere = |name: &str| {
        view.of(service).any(|(_, other)| {
            let there = other.inventory(now);
            let copy = there.copy(name) != CopyLocation::Store || there.model(name).is_some();
            other.target.id != s.target.id && copy
        })
    };
    let copies = inventory.on_disk.iter().chain(&inventory.in_memory);
    let mut idle = copies.filter(|name| inventory.model(name).is_none());
    idle.any(|name| !elsewhere(name))
}

/// A hash of a model and an engine that is the same at all entries.
fn tie_break_hash(s: &TargetState, model: &str) -> u64 {
    xxh3_64_with_seed(s.target.id.as_bytes(), xxh3_64(model.as_bytes()))
}

fn ms(t: Duration) -> f64 {
    t.as_secs_f64() * 1000.0
}

/// Time until the requests in flight at the victims have ended.
///
/// This is the expected maximum of `n` exponential times: their mean times the sum of 1/1 to 1/n.
fn drain_time<'a, I>(victims: I, report: &Report) -> Duration
where
    I: IntoIterator<Item = &'a str>,
{
    let in_flight = |v| report.load.usage(v).map_or(0, |u| u.in_flight);
    let streams: u32 = victims.into_iter().map(in_flight).sum();
    let longest: f64 = (1..=streams).map(|n| 1.0 / f64::from(n)).sum();
    Duration::from_secs_f64(STREAM_REMAINING_MS / 1000.0 * longest)
}

/// Cost of a load for requests for adapters at the engine, in milliseconds.
fn adapter_delay_ms(report: &Report, ready: Duration) -> f64 {
    let with_adapters = report
        .inventory
        .models
        .iter()
        .filter(|h| !h.adapters.is_empty());
    let per_s: f64 = with_adapters
        .filter_map(|h| report.load.usage(&h.name))
        .map(|u| f64::from(u.per_s))
        .sum();
    ADAPTER_DELAY_MS * per_s * ready.as_secs_f64()
}

/// A model that may be evicted.
struct Victim<'a> {
    name: &'a str,
    /// Additional wait of its requests, in milliseconds.
    eviction_ms: f64,
    /// Time until its requests in flight have ended, in milliseconds.
    drain_ms: f64,
}

impl Victim<'_> {
    fn cost_ms(&self) -> f64 {
        self.eviction_ms + self.drain_ms
    }
}
