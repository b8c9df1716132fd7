//! Which models get a copy or a further replica before a request has to wait for it.
//!
//! The load it answers: demand that moves to other models within seconds while a load from the
//! weight store takes longer than most requests wait. One entry at a time, the one with the least
//! name, makes these loads; two of them for a while cost a needless load, nothing else.

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

/// Concurrent prefetches from the weight store for models with hardly any demand. Busy models would wait for them.
const PREFETCH_RARE: usize = 1;

/// Requests a second up to which an engine is idle.
const IDLE_PER_S: f32 = 0.5;

/// A load that was asked for and need not have shown in a report yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Asked {
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
    /// Where it is to be loaded.
    pub place: cold_start::Outcome,
    /// What it takes off the fleet's expected queue, where that decided; see [`balance`].
    pub gain: Option<f64>,
}

/// Chooses the next load that is worth making ahead of requests, if any.
///
/// Engines that have loads before them are left alone, as are those in `asked`: a load ahead of
/// requests must not stand before one that a request waits for.
pub fn next(
    view: &View,
    service: &str,
    engine: &Engine,
    asked: &[Asked],
    now: Duration,
) -> Option<Outcome> {
    let at_work = |s: &TargetState| {
        s.fresh_report(now).is_none_or(|r| {
            r.load.loading.is_some() || r.load.unloading || !r.load.queued_load_time.is_zero()
        })
    };
    let mut left_alone: Vec<TargetKey> = asked.iter().map(|a| a.key).collect();
    left_alone.extend(
        view.of(service)
            .filter(|(_, s)| at_work(s))
            .map(|(key, _)| key),
    );
    let look = Look {
        view,
        service,
        engine,
        asked,
        left_alone,
        now,
    };
    look.unserved()
        .or_else(|| look.crowded())
        .or_else(|| look.missing())
        .or_else(|| look.absent())
        .or_else(|| look.single())
}

struct Look<'a> {
    view: &'a View,
    service: &'a str,
    engine: &'a Engine,
    asked: &'a [Asked],
    left_alone: Vec<TargetKey>,
    now: Duration,
}

impl Look<'_> {
    fn place(&self, model: &str) -> Option<Outcome> {
        let place = cold_start::choose(
            self.view,
            self.service,
            self.engine,
            model,
            &self.left_alone,
            self.now,
        )?;
        Some(Outcome {
            model: model.into(),
            place,
            gain: None,
        })
    }

    /// Whether an engine holds the model or is loading it.
    fn there(&self, key: TargetKey, s: &TargetState, model: &str) -> bool {
        let asked = self
            .asked
            .iter()
            .any(|a| a.key == key && *a.model == *model);
        asked
            || (s.is_available(self.now)
                && (s.can_run(model, self.now) || s.is_loading(model, self.now)))
    }

    /// A further replica of a model whose replicas are crowded.
    fn crowded(&self) -> Option<Outcome> {
        let opts = balance::Options {
            view: self.view,
            service: self.service,
            engine: self.engine,
            asked: self.asked,
            left_alone: &self.left_alone,
            store: self.store_loads()
                < fetch::prefetches(self.view, self.service, self.engine, self.now)
                && !self.unreported(),
        };
        let found = balance::next(&opts, self.now)?;
        Some(Outcome {
            model: found.model,
            place: found.place,
            gain: Some(found.gain),
        })
    }

    /// Loads from the weight store that are under way or asked for.
    fn store_loads(&self) -> usize {
        let reported = |a: &&Asked| !self.view.get(a.key).is_loading(&a.model, self.now);
        let from_store = |a: &&Asked| {
            let inventory = self.view.get(a.key).inventory(self.now);
            inventory.copy(&a.model) == CopyLocation::Store
        };
        let asked = self.asked.iter().filter(reported).filter(from_store);
        fetch::under_way(self.view, self.service, self.now) + asked.count()
    }

    fn unreported(&self) -> bool {
        fetch::unreported(self.view, self.service, self.now)
    }

    /// Engines that hold the model or have a copy of it.
    fn copies(&self, model: &str) -> usize {
        let near = |(key, s): &(TargetKey, &TargetState)| {
            let copy = s.inventory(self.now).copy(model) != CopyLocation::Store;
            self.there(*key, s, model) || (copy && s.is_available(self.now))
        };
        self.view.of(self.service).filter(near).count()
    }

    /// The missing model with the most rejected requests. They come back to the same rejection until it is loaded.
    fn unserved(&self) -> Option<Outcome> {
        let at_once = fetch::at_once(self.view, self.service, self.engine, self.now);
        if self.store_loads() >= at_once || self.unreported() {
            return None;
        }
        let mut demands = self.demands();
        demands.sort_by(|a, b| b.1.total_cmp(&a.1));
        let mut missing = demands.iter().filter(|(model, _)| self.is_missing(model));
        missing.find_map(|(model, _)| self.place(model))
    }

    /// Rejected requests a second for each declared model that has any.
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

    /// Whether no engine holds a model, nor has a copy of it, nor is expected back with one.
    fn is_missing(&self, model: &str) -> bool {
        let within = self.engine.model(model).map(|m| m.from_store);
        let within = within.unwrap_or_default();
        self.copies(model) == 0 && !self.view.may_return(self.service, model, within, self.now)
    }

    /// A missing model.
    fn missing(&self) -> Option<Outcome> {
        if self.store_loads() >= PREFETCH_RARE || self.unreported() {
            return None;
        }
        let mut models = self.engine.models.iter();
        let model = models.find(|m| self.is_missing(&m.name))?;
        self.place(&model.name)
    }

    /// A model that no engine holds while one has a copy of it and room to spare: it costs one
    /// order now and saves its next request the wait.
    fn absent(&self) -> Option<Outcome> {
        self.engine.models.iter().find_map(|m| {
            let mut all = self.view.of(self.service);
            if all.any(|(key, s)| self.there(key, s, &m.name)) {
                return None;
            }
            let found = self.place(&m.name)?;
            let cheap = found.place.victims.is_empty() && found.place.from != CopyLocation::Store;
            cheap.then_some(found)
        })
    }

    /// A model with a single copy, for an engine with nothing to do and room to spare. Engines that
    /// replace others come without copies and would stand idle; when demand moves to a model with
    /// one copy, or its engine is lost, its requests wait for the weight store.
    fn single(&self) -> Option<Outcome> {
        if self.store_loads() >= PREFETCH_RARE || self.unreported() {
            return None;
        }
        let busy = |s: &TargetState| {
            let report = s.fresh_report(self.now);
            let per_s = |r: &Report| r.load.usage.iter().map(|u| u.per_s).sum::<f32>();
            report.is_none_or(|r| per_s(r) > IDLE_PER_S)
        };
        let mut left_alone = self.left_alone.clone();
        let all = self.view.of(self.service);
        left_alone.extend(all.filter(|(_, s)| busy(s)).map(|(key, _)| key));
        let look = Look {
            left_alone,
            ..*self
        };
        self.engine.models.iter().find_map(|m| {
            if self.copies(&m.name) != 1 {
                return None;
            }
            let found = look.place(&m.name)?;
            let further = found.place.victims.is_empty() && found.place.from == CopyLocation::Store;
            let engine = self.view.get(found.place.key);
            let last = cold_start::has_last_copy(self.view, self.service, engine, self.now);
            (further && !last).then_some(found)
        })
    }
}
