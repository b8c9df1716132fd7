//! Plans the next order, and the evictions that it needs.

use std::time::Duration;

use stair_fleet::{
    catalogue::Model,
    msg::Outcome,
    target::CopyLocation, //
};

use super::{
    Controller,
    LoadRequestId,
    Pending,
    PlannedOrder, //
};
use crate::usage::{
    LinkKey,
    key, //
};

/// Whether and how a model can be loaded.
enum LoadPlan {
    /// The order that loads the model, or that unloads another one for it.
    Now(PlannedOrder),
    /// All models that could be evicted were requested recently or are in use. The model to drain, if
    /// one was chosen.
    Later(Option<Box<str>>),
    /// The engine's memory is too small for the model, or the model is not declared.
    Never,
}

/// A requested model that is not loaded.
struct MissingModel<'a> {
    model: &'a str,
    /// Index of the oldest load request for it.
    oldest: usize,
    /// Load requests that clients wait for; prefetches don't count.
    waiting: usize,
    from: CopyLocation,
    /// Expected load time.
    takes: Duration,
}

impl MissingModel<'_> {
    /// Requests served per second of load time.
    fn gain(&self) -> f64 {
        self.waiting as f64 / self.takes.as_secs_f64().max(MIN_LOAD_S)
    }
}

/// Least load time assumed, in seconds: that of a load from host memory.
const MIN_LOAD_S: f64 = 0.1;

impl Controller {
    /// Returns the next order, if one is due now. Load requests that cannot be satisfied are removed and
    /// added to `refused`.
    pub fn next(
        &mut self,
        refused: &mut Vec<(LoadRequestId, Outcome)>,
        now: Duration,
    ) -> Option<PlannedOrder> {
        // An engine accepts no order while it loads or unloads a model.
        if self.busy() || now < self.not_before {
            return None;
        }
        if let Some(planned) = self.next_adapter(now) {
            return Some(planned);
        }
        let before = std::mem::take(&mut self.draining);
        let mut impossible = Vec::new();
        let mut planned = None;
        for i in self.models_to_load(now) {
            match self.plan_load(&self.load_requests[i], &before, now) {
                LoadPlan::Now(next) => {
                    planned = Some(next);
                    break;
                }
                LoadPlan::Later(None) => {}
                // One victim at a time: its memory may suffice for the next request as well.
                LoadPlan::Later(Some(victim)) if self.draining.is_empty() => {
                    self.draining.push(victim);
                }
                LoadPlan::Later(Some(_)) => {}
                LoadPlan::Never => impossible.push(i),
            }
        }
        impossible.sort_unstable();
        for i in impossible.into_iter().rev() {
            let p = self.load_requests.remove(i);
            refused.push((p.id, Outcome::NoCapacity));
        }
        planned
    }

    /// The requested models that are not loaded, sorted by name.
    fn missing_models(&self) -> Vec<MissingModel<'_>> {
        let mut out: Vec<MissingModel<'_>> = Vec::new();
        for (i, p) in self.load_requests.iter().enumerate() {
            let model = &*p.req.model;
            if self.is_loaded(model) {
                continue;
            }
            let waiting = usize::from(!p.req.prefetch);
            match out.binary_search_by(|a| a.model.cmp(model)) {
                Ok(at) => out[at].waiting += waiting,
                Err(at) => {
                    let from = self.copy_location(model);
                    let new = MissingModel {
                        model,
                        oldest: i,
                        waiting,
                        from,
                        takes: self.load_time(model, from),
                    };
                    out.insert(at, new);
                }
            }
        }
        out
    }

    /// Returns the index of the oldest load request for each model to load, in the order of loading:
    /// by requests served per second of load time, then by age. Models that no client waits for
    /// come last.
    fn models_to_load(&self, now: Duration) -> Vec<usize> {
        let may_fetch = self
            .fetch_began
            .is_none_or(|at| now.saturating_sub(at) >= self.opts.fetch_window);
        let mut models = self.missing_models();
        models.retain(|a| may_fetch || a.from != CopyLocation::Store);
        models.sort_by(|a, b| {
            let older = || a.oldest.cmp(&b.oldest);
            b.gain().total_cmp(&a.gain()).then_with(older)
        });
        models.iter().map(|a| a.oldest).collect()
    }

    /// Total time of the requested loads from copies that have not begun. Loads from the weight store
    /// come after them, unless many requests wait for one.
    pub(super) fn queued_load_time(&self) -> Duration {
        let missing_models = self.missing_models();
        let from_copies = missing_models
            .iter()
            .filter(|a| a.from != CopyLocation::Store);
        from_copies
            .filter(|a| !self.is_loading(a.model))
            .map(|a| a.takes)
            .sum()
    }

    /// Plans the load of a model: the load itself, or the unload of a victim.
    ///
    /// An engine accepts no order while it unloads a model, and the unload waits for the model's
    /// streams. So a victim with requests in flight first gets no new ones, and is unloaded when those
    /// have ended; meanwhile the engine accepts orders that need no such wait.
    fn plan_load(&self, pending: &Pending, draining: &[Box<str>], now: Duration) -> LoadPlan {
        let req = &pending.req;
        let (Some(decl), Some(reading)) = (&self.decl, &self.reading) else {
            return LoadPlan::Never;
        };
        let Some(model) = decl.model(&req.model) else {
            return LoadPlan::Never;
        };
        let needed = model.weights_mb;
        if needed > decl.weights_mb {
            return LoadPlan::Never;
        }
        let free = decl.weights_mb - self.committed_mb();
        let planned = |load, model: &str| PlannedOrder {
            load,
            model: model.into(),
            adapter: None,
            planned_on: reading.sequence,
        };
        if needed <= free {
            return LoadPlan::Now(planned(true, &req.model));
        }
        if pending.id.link == LinkKey::AGENT {
            // A restored model evicts none: models that entries have requested since are needed more.
            return LoadPlan::Never;
        }
        let idle =
            |v: &str| self.usage.in_flight(v) == 0 && self.usage.eviction_hold_elapsed(v, now);
        let named = req.victims.iter().map(|v| &**v);
        let named = named.filter(|v| reading.holds.model(v).is_some());
        // The entry's view can be a second old, and the victims that it named unloaded already. Then
        // the least used models are evicted.
        let mut others: Vec<&str> = reading.holds.models.iter().map(|h| &*h.name).collect();
        others.sort_by(|a, b| self.usage.rate(a, now).total_cmp(&self.usage.rate(b, now)));
        if let Some(victim) = named.clone().chain(others).find(|v| idle(v)) {
            return LoadPlan::Now(planned(false, victim));
        }
        let mut busy = named.filter(|v| {
            let begun = draining.iter().any(|m| **m == **v);
            begun || req.prefetch || self.usage.eviction_hold_elapsed(v, now)
        });
        LoadPlan::Later(busy.next().map(Into::into))
    }

    /// Returns the next order to load a requested adapter, or to unload another one for it.
    fn next_adapter(&self, now: Duration) -> Option<PlannedOrder> {
        let decl = self.decl.as_ref()?;
        let reading = self.reading.as_ref()?;
        let (model, adapter) = self.load_requests.iter().find_map(|p| {
            let adapter = p.req.adapter.as_ref()?;
            let loaded = reading.holds.model(&p.req.model)?;
            let key = key(&p.req.model, Some(adapter));
            let available = loaded.adapters.contains(adapter) || reading.pending.contains(&key);
            (!available).then_some((&p.req.model, adapter))
        })?;
        let count: usize = reading.holds.models.iter().map(|h| h.adapters.len()).sum();
        let slots = decl.adapter_slots as usize;
        let planned = |load, model: &str, adapter: &str| PlannedOrder {
            load,
            model: model.into(),
            adapter: Some(adapter.into()),
            planned_on: reading.sequence,
        };
        let size = decl.model(model)?.adapter_mb;
        let fits = self.committed_mb() + size <= decl.weights_mb;
        if count + reading.pending.len() + self.late_adapters() < slots && fits {
            return Some(planned(true, model, adapter));
        }
        if !self.unloading_adapters.is_empty() {
            return None;
        }
        let (model, adapter) = self.idle_adapter(now)?;
        Some(planned(false, &model, &adapter))
    }

    /// Places of adapters whose loads from before the engine's restart may still be carried out.
    fn late_adapters(&self) -> usize {
        let late = self.late_loads().filter(|u| {
            let adapter = u.adapter.as_deref();
            adapter.is_some_and(|a| !self.has_adapter(&u.model, a))
        });
        late.count()
    }

    /// Whether an adapter is loaded or being loaded.
    fn has_adapter(&self, model: &str, adapter: &str) -> bool {
        self.reading.as_ref().is_some_and(|r| {
            let loaded = r.holds.model(model);
            loaded.is_some_and(|l| l.adapters.iter().any(|a| **a == *adapter))
                || r.pending.contains(&key(model, Some(adapter)))
        })
    }

    /// The adapter without requests in flight whose last request is the oldest.
    fn idle_adapter(&self, now: Duration) -> Option<(Box<str>, Box<str>)> {
        let reading = self.reading.as_ref()?;
        let all = reading.holds.models.iter().flat_map(|h| {
            let named = |a| (h.name.clone(), Box::clone(a));
            h.adapters.iter().map(named)
        });
        let name = |(m, a): &(Box<str>, Box<str>)| key(m, Some(a));
        all.filter(|one| {
            let name = name(one);
            self.usage.in_flight(&name) == 0 && self.usage.eviction_hold_elapsed(&name, now)
        })
        .min_by_key(|one| self.usage.last_request(&name(one)))
    }

    /// Memory of the loaded models and adapters, of adapters being loaded and of unconfirmed loads, in
    /// MB.
    fn committed_mb(&self) -> f64 {
        let (Some(decl), Some(reading)) = (&self.decl, &self.reading) else {
            return f64::INFINITY;
        };
        let models = reading.holds.models.iter().map(|h| {
            // A model that is no longer declared still occupies memory; the largest size is assumed.
            let largest = || decl.models.iter().map(|m| m.weights_mb).fold(0.0, f64::max);
            let size = decl.model(&h.name).map_or_else(largest, |m| m.weights_mb);
            let adapter = decl.model(&h.name).map_or(0.0, |m| m.adapter_mb);
            size + adapter * h.adapters.len() as f64
        });
        let pending = reading.pending.iter().map(|p| {
            let model = p.split_once('/').map_or(&**p, |(m, _)| m);
            decl.model(model).map_or(0.0, |m| m.adapter_mb)
        });
        let unconfirmed = self.late_loads().map(|u| {
            let size = |of: fn(&Model) -> f64| decl.model(&u.model).map_or(0.0, of);
            match &u.adapter {
                None if reading.holds.model(&u.model).is_none() => size(|m| m.weights_mb),
                Some(a) if !self.has_adapter(&u.model, a) => size(|m| m.adapter_mb),
                _ => 0.0,
            }
        });
        models.sum::<f64>() + pending.sum::<f64>() + unconfirmed.sum::<f64>()
    }
}
