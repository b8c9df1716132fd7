//! Chooses models that get a copy or a further replica before a request has to wait for it.
//!
//! Demand moves to other models within seconds, while a load from the weight store takes longer
//! than most requests wait. One entry at a time, the one with the least name, makes these loads. If
//! two entries make them for a while, the cost is an unnecessary load and nothing else.

use std::time::Duration;

use crate::{
    balance,
    catalogue::Engine,
    cold_start, fetch,
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

/// Concurrent prefetches from the weight store for models with hardly any demand. Busy models would
/// have to wait for them.
const MAX_RARE_PREFETCHES: usize = 1;

/// Requests per second up to which an engine counts as idle.
const IDLE_PER_S: f32 = 0.5;

/// A load that was requested and may not appear in a report yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestedLoad {
    /// The engine.
    pub key: TargetKey,
    /// The model.
    pub model: Box<str>,
}

/// A load that is worth making.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// The model.
    pub model: Box<str>,
    /// Its placement.
    pub place: cold_start::Outcome,
    /// Reduction of the fleet's expected queue, if that decided; see [`balance`].
    pub gain: Option<f64>,
}

/// Chooses the next load that is worth making before requests need it, if any.
///
/// Engines with requested loads are excluded, both those of reports and those of `requested`: a
/// prefetch must not delay a load that a request waits for.
pub fn next(
    view: &View,
    service: &str,
    engine: &Engine,
    requested: &[RequestedLoad],
    now: Duration,
) -> Option<Outcome> {
    let has_orders = |s: &TargetState| {
        s.fresh_report(now).is_none_or(|r| {
            r.load.loading.is_some() || r.load.unloading || !r.load.queued_load_time.is_zero()
        })
    };
    let mut excluded: Vec<TargetKey> = requested.iter().map(|a| a.key).collect();
    excluded.extend(
        view.of(service)
            .filter(|(_, s)| has_orders(s))
            .map(|(key, _)| key),
    );
    let search = Search {
        view,
        service,
        engine,
        requested,
        excluded,
        now,
    };
    search
        .unserved()
        .or_else(|| search.draining())
        .or_else(|| search.overloaded())
        .or_else(|| search.single_of_version())
        .or_else(|| search.missing())
        .or_else(|| search.unloaded_with_copy())
        .or_else(|| search.single_copy())
}

struct Search<'a> {
    view: &'a View,
    service: &'a str,
    engine: &'a Engine,
    requested: &'a [RequestedLoad],
    excluded: Vec<TargetKey>,
    now: Duration,
}

impl Search<'_> {
    fn place(&self, model: &str) -> Option<Outcome> {
        self.place_at(model, None)
    }

    /// A placement at an engine of this software version, if one is required.
    fn place_at(&self, model: &str, version: Option<&str>) -> Option<Outcome> {
        let opts = cold_start::Options {
            service: self.service,
            engine: self.engine,
            model,
            tried: &self.excluded,
            version,
        };
        let place = cold_start::choose(self.view, &opts, self.now)?;
        Some(Outcome {
            model: model.into(),
            place,
            gain: None,
        })
    }

    /// Whether an engine has the model loaded, is loading it, or was requested to.
    fn has_or_loads(&self, key: TargetKey, s: &TargetState, model: &str) -> bool {
        let requested = self
            .requested
            .iter()
            .any(|a| a.key == key && *a.model == *model);
        requested
            || (s.is_up(self.now) && (s.can_run(model, self.now) || s.is_loading(model, self.now)))
    }

    /// A further replica of a model whose replicas are overloaded.
    fn overloaded(&self) -> Option<Outcome> {
        let opts = balance::Options {
            view: self.view,
            service: self.service,
            engine: self.engine,
            requested: self.requested,
            excluded: &self.excluded,
            store: self.store_loads()
                < fetch::prefetch_limit(self.view, self.service, self.engine, self.now)
                && !self.has_missing_reports(),
        };
        let found = balance::next(&opts, self.now)?;
        Some(Outcome {
            model: found.model,
            place: found.place,
            gain: Some(found.gain),
        })
    }

    /// Loads from the weight store that are in progress or requested.
    fn store_loads(&self) -> usize {
        let reported = |a: &&RequestedLoad| !self.view.get(a.key).is_loading(&a.model, self.now);
        let from_store = |a: &&RequestedLoad| {
            let inventory = self.view.get(a.key).inventory(self.now);
            inventory.copy(&a.model) == CopyLocation::Store
        };
        let requested = self.requested.iter().filter(reported).filter(from_store);
        fetch::in_progress(self.view, self.service, self.now) + requested.count()
    }

    fn has_missing_reports(&self) -> bool {
        fetch::has_missing_reports(self.view, self.service, self.now)
    }

    /// Number of engines that have the model loaded, are loading it or have a copy.
    fn copies(&self, model: &str) -> usize {
        let has_copy = |(key, s): &(TargetKey, &TargetState)| {
            let copy = s.inventory(self.now).copy(model) != CopyLocation::Store;
            self.has_or_loads(*key, s, model) || (copy && s.is_up(self.now))
        };
        self.view.of(self.service).filter(has_copy).count()
    }

    /// The missing model with the most refused requests. Their clients return and are refused again
    /// until it is loaded.
    fn unserved(&self) -> Option<Outcome> {
        let limit = fetch::concurrency_limit(self.view, self.service, self.engine, self.now);
        if self.store_loads() >= limit || self.has_missing_reports() {
            return None;
        }
        let mut demands = self.demands();
        demands.sort_by(|a, b| b.1.total_cmp(&a.1));
        let is_short = |model: &str| self.is_missing(model) || self.has_only_restricted(model);
        let mut missing = demands.iter().filter(|(model, _)| is_short(model));
        missing.find_map(|(model, _)| self.place(model))
    }

    /// The busiest model whose replicas are all on engines that shut down. Other models are evicted only
    /// for one with demand.
    fn draining(&self) -> Option<Outcome> {
        let limit = fetch::concurrency_limit(self.view, self.service, self.engine, self.now);
        if self.store_loads() >= limit || self.has_missing_reports() {
            return None;
        }
        let mut models: Vec<(&str, f32)> = Vec::new();
        let engines = self.view.of(self.service);
        for (_, s) in engines.filter(|(_, s)| s.is_draining()) {
            let report = s.fresh_report(self.now);
            for loaded in &s.inventory(self.now).models {
                let usage = report.and_then(|r| r.load.usage(&loaded.name));
                let per_s = usage.map_or(0.0, |u| u.per_s);
                match models.iter_mut().find(|(name, _)| *name == &*loaded.name) {
                    Some((_, sum)) => *sum += per_s,
                    None => models.push((&loaded.name, per_s)),
                }
            }
        }
        models.sort_by(|a, b| b.1.total_cmp(&a.1));
        models.into_iter().find_map(|(model, per_s)| {
            let mut all = self.view.of(self.service);
            if all.any(|(key, s)| self.has_or_loads(key, s, model)) {
                return None;
            }
            let found = self.place(model)?;
            (per_s > 0.0 || found.place.victims.is_empty()).then_some(found)
        })
    }

    /// Refused requests per second for each declared model that has any.
    fn demands(&self) -> Vec<(&str, f32)> {
        let mut out: Vec<(&str, f32)> = Vec::new();
        let reports = self.view.of(self.service);
        let reports = reports.filter_map(|(_, s)| s.fresh_report(self.now));
        for demand in reports.flat_map(|r| &r.load.unserved) {
            let Some(model) = self.engine.model(&demand.model) else {
                continue;
            };
            match out.iter_mut().find(|(name, _)| **name == *model.name) {
                Some((_, per_s)) => *per_s += demand.per_s,
                None => out.push((&model.name, demand.per_s)),
            }
        }
        out
    }

    /// Whether no engine has the model or a copy of it, or is expected to return with one.
    fn is_missing(&self, model: &str) -> bool {
        let within = self.engine.model(model).map(|m| m.from_store);
        let within = within.unwrap_or_default();
        self.copies(model) == 0
            && !self
                .view
                .may_return(self.service, model, None, within, self.now)
    }

    /// Whether only engines with a limit or in a backoff have the model or are loading it.
    fn has_only_restricted(&self, model: &str) -> bool {
        let all = self.view.of(self.service);
        let mut replicas = all.filter(|(key, s)| self.has_or_loads(*key, s, model));
        let is_restricted =
            |s: &TargetState| s.limit.is_some() || !s.availability.may_send(self.now);
        let mut restricted = replicas.by_ref().map(|(_, s)| is_restricted(s));
        restricted
            .next()
            .is_some_and(|first| first && restricted.all(|r| r))
    }

    /// A missing model.
    fn missing(&self) -> Option<Outcome> {
        if self.store_loads() >= MAX_RARE_PREFETCHES || self.has_missing_reports() {
            return None;
        }
        let mut models = self.engine.models.iter();
        let model = models.find(|m| self.is_missing(&m.name))?;
        self.place(&model.name)
    }

    /// A model that no engine has loaded, while one has a copy and free memory: a single order now
    /// saves its next request the wait.
    fn unloaded_with_copy(&self) -> Option<Outcome> {
        self.engine.models.iter().find_map(|m| {
            let mut all = self.view.of(self.service);
            if all.any(|(key, s)| self.has_or_loads(key, s, &m.name)) {
                return None;
            }
            let found = self.place(&m.name)?;
            let is_cheap =
                found.place.victims.is_empty() && found.place.from != CopyLocation::Store;
            is_cheap.then_some(found)
        })
    }

    /// The busiest model that only one of several engines of a software version has. If that engine fails, no
    /// other one can continue its streams before it has loaded the model, from the weight store too late.
    fn single_of_version(&self) -> Option<Outcome> {
        let mut versions: Vec<&str> = Vec::new();
        let up = || {
            let all = self.view.of(self.service);
            all.filter(|(_, s)| s.is_up(self.now))
        };
        versions.extend(up().filter_map(|(_, s)| s.target.version.as_deref()));
        versions.sort_unstable();
        versions.dedup();
        if versions.len() < 2 {
            return None;
        }
        let mut busy: Vec<(f32, &str, &str)> = Vec::new();
        for version in versions {
            let engines: Vec<_> = up().filter(|(_, s)| s.target.runs(Some(version))).collect();
            if engines.len() < 2 {
                continue;
            }
            for model in &self.engine.models {
                let has = |(key, s): &&(TargetKey, &TargetState)| {
                    self.has_or_loads(*key, s, &model.name)
                        || s.inventory(self.now).has_copy(&model.name)
                };
                let mut holders = engines.iter().filter(has);
                let (Some((_, holder)), None) = (holders.next(), holders.next()) else {
                    continue;
                };
                let report = holder.fresh_report(self.now);
                let usage = report.and_then(|r| r.load.usage(&model.name));
                let per_s = usage.map_or(0.0, |u| u.per_s);
                if per_s > IDLE_PER_S {
                    busy.push((per_s, &model.name, version));
                }
            }
        }
        busy.sort_by(|a, b| b.0.total_cmp(&a.0));
        let store_is_free = self.store_loads() < MAX_RARE_PREFETCHES && !self.has_missing_reports();
        busy.into_iter().find_map(|(_, model, version)| {
            let found = self.place_at(model, Some(version))?;
            let is_cheap = found.place.victims.is_empty()
                && (store_is_free || found.place.from != CopyLocation::Store);
            is_cheap.then_some(found)
        })
    }

    /// A model with a single copy, for an idle engine with free memory.
    ///
    /// Engines that replace others start without copies and would stay idle. When demand moves to a
    /// model with one copy, or the engine with that copy fails, requests for it wait for the weight
    /// store.
    fn single_copy(&self) -> Option<Outcome> {
        if self.store_loads() >= MAX_RARE_PREFETCHES || self.has_missing_reports() {
            return None;
        }
        let busy = |s: &TargetState| {
            let report = s.fresh_report(self.now);
            let per_s = |r: &Report| r.load.usage.iter().map(|u| u.per_s).sum::<f32>();
            report.is_none_or(|r| per_s(r) > IDLE_PER_S)
        };
        let mut excluded = self.excluded.clone();
        let all = self.view.of(self.service);
        excluded.extend(all.filter(|(_, s)| busy(s)).map(|(key, _)| key));
        let search = Search { excluded, ..*self };
        self.engine.models.iter().find_map(|m| {
            if self.copies(&m.name) != 1 {
                return None;
            }
            let found = search.place(&m.name)?;
            let fits_from_store =
                found.place.victims.is_empty() && found.place.from == CopyLocation::Store;
            let engine = self.view.get(found.place.key);
            let has_last_copy =
                cold_start::has_last_copy(self.view, self.service, engine, self.now);
            (fits_from_store && !has_last_copy).then_some(found)
        })
    }
}
