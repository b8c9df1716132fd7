//! Decisions on the engine's loads and unloads, and on the release of revoked grants.

use std::time::Duration;

use stair_config::Model;
use stair_policy::keep_alive;
use stair_state::{
    Ledger,
    ledger::{
        Entry,
        Item,
        OrderError,
        State, //
    }, //
};
use stair_types::{
    ModelKey,
    ModelName,
    TierRank, //
};

use crate::{
    assignment::InForce,
    control::{
        Core,
        Failure, //
    },
    victims::{
        self,
        Use, //
    },
};

/// Returns the declared version and memory, in MiB, of an item that may be loaded.
pub(crate) fn declared<'a>(in_force: &'a InForce, item: &Item) -> Option<(&'a str, u32)> {
    let model: &Model = in_force.servable_model(&item.model)?;
    match &item.adapter {
        None => Some((&model.version, model.memory_mib)),
        Some(name) => {
            let adapter = model.adapter(name.as_str())?;
            Some((&adapter.version, adapter.memory_mib))
        }
    }
}

fn base(item: &Item) -> Item {
    Item {
        model: item.model.clone(),
        adapter: None,
    }
}

/// Returns whether an item and its base model are loaded in their declared versions.
pub(crate) fn is_current(ledger: &Ledger, in_force: &InForce, item: &Item) -> bool {
    let current = |item: &Item| {
        let entry = ledger.get(item);
        let loaded = entry.filter(|e| e.state == State::Loaded);
        let spec = declared(in_force, item);
        matches!((loaded, spec), (Some(e), Some((version, _))) if *e.version == *version)
    };
    current(item) && (item.adapter.is_none() || current(&base(item)))
}

impl Core {
    /// Unloads items that may no longer be loaded or whose declared version differs.
    pub(crate) fn unload_undeclared(&mut self) {
        // Before the first configuration the declarations are unknown.
        if self.in_force.config().0 == 0 {
            return;
        }
        let entries = self.ledger.entries().iter();
        let mismatched = entries.filter(|e| {
            let spec = declared(&self.in_force, &e.item);
            spec.is_none_or(|(version, _)| *e.version != *version)
        });
        let undeclared: Vec<Item> = mismatched
            .filter(|e| e.state == State::Loaded && !self.usage(&e.item).busy)
            .map(|e| e.item.clone())
            .collect();
        for item in undeclared {
            self.unload_group(&item);
        }
    }

    /// Unloads items that have been idle for longer than the deployment's cost of a cold start
    /// justifies. A draining agent unloads none, since the engine's next agent takes them over.
    pub(crate) fn unload_idle(&mut self) {
        if self.draining || !self.may_order() {
            return;
        }
        let now = self.now();
        let loaded = self.ledger.entries().iter();
        let loaded: Vec<Entry> = loaded
            .filter(|e| e.state == State::Loaded)
            .cloned()
            .collect();
        let total_mib = f64::from(self.ledger.total_mib().max(1));
        for entry in loaded {
            let item = entry.item;
            let u = self.usage(&item);
            let key = self.items.key(Some(&item));
            // An item that was loaded before the agent started counts as used when first seen.
            if !self.last_used.iter().any(|(other, _)| *other == item) {
                self.record_use(Some(&item));
                self.keep_alive.finished(key, now);
            }
            let cost = keep_alive::Cost {
                cold_start: self.items.expected_load(&item),
                memory_fraction: f64::from(entry.memory_mib) / total_mib,
            };
            let until = self.keep_alive.idle_until(key, now, &cost);
            if !u.busy && u.waiting.is_none() && now >= until {
                self.unload_group(&item);
            }
        }
    }

    /// Records the arrival of a request for an item, and for the base model of an adapter.
    pub(crate) fn record_arrival(&mut self, key: ModelKey) {
        let now = self.now();
        for key in self.with_base(key) {
            self.keep_alive.used(key, now);
        }
    }

    /// Records the end of a request, at which the idle time of its item and base model begins.
    pub(crate) fn record_end(&mut self, key: ModelKey) {
        let now = self.now();
        for key in self.with_base(key) {
            self.keep_alive.finished(key, now);
        }
    }

    /// Returns the key of an item and that of its base model, if it is an adapter.
    fn with_base(&mut self, key: ModelKey) -> Vec<ModelKey> {
        match self.items.get(key).cloned() {
            Some(item) if item.adapter.is_some() => {
                vec![key, self.items.key(Some(&base(&item)))]
            }
            Some(_) => vec![key],
            None => Vec::new(),
        }
    }

    /// Orders the loads that waiting requests need, in the order in which these will be served.
    ///
    /// The first load that does not fit holds back the others. Smaller models of lower tiers would
    /// otherwise take the memory as it becomes free, and a large model would never be loaded.
    pub(crate) fn order_loads(&mut self) {
        let mut loads: Vec<(Item, TierRank, Duration)> = Vec::new();
        for w in self.queue.iter() {
            let Some(item) = self.items.get(w.model) else {
                continue;
            };
            if !loads.iter().any(|(other, _, _)| other == item) {
                loads.push((item.clone(), w.rank, w.deadline));
            }
        }
        for (item, rank, deadline) in loads {
            if !self.try_load(&item, rank, deadline) {
                return;
            }
        }
        self.order_on_demand();
    }

    /// Orders the queued loads on demand, for which no request waits, into free memory only.
    fn order_on_demand(&mut self) {
        let on_demand = std::mem::take(&mut self.on_demand);
        if self.refuses_work() {
            return;
        }
        for (item, rank) in on_demand {
            let fits = declared(&self.in_force, &item).is_some_and(|(_, memory_mib)| {
                let base_mib = declared(&self.in_force, &base(&item)).map_or(0, |(_, mib)| mib);
                let needed = match item.adapter {
                    Some(_) if !self.ledger.is_loaded(&base(&item)) => memory_mib + base_mib,
                    _ => memory_mib,
                };
                needed <= self.ledger.free_mib()
            });
            if fits {
                self.try_load(&item, rank, Duration::MAX);
            }
        }
    }

    /// Returns the expected time until an item and its base model are loaded.
    pub(crate) fn ready_in(&self, item: &Item) -> Duration {
        let adapter = item.adapter.is_some().then(|| item.clone());
        let needed = std::iter::once(base(item)).chain(adapter);
        needed.map(|i| self.remaining_load(&i)).sum()
    }

    fn remaining_load(&self, item: &Item) -> Duration {
        if self.ledger.is_loaded(item) {
            return Duration::ZERO;
        }
        let started = self.loading.iter().find(|(other, _)| other == item);
        let passed = started.map_or(Duration::ZERO, |(_, at)| self.now() - *at);
        self.items.expected_load(item).saturating_sub(passed)
    }

    /// Orders a load if it fits, and otherwise unloads to free memory for it. Returns false when
    /// later loads have to wait.
    fn try_load(&mut self, item: &Item, rank: TierRank, deadline: Duration) -> bool {
        // The base model has to be loaded before its adapter.
        if item.adapter.is_some() && !is_current(&self.ledger, &self.in_force, &base(item)) {
            return self.try_load(&base(item), rank, deadline);
        }
        let now = self.now();
        if self.check_load(item).is_err() {
            return true;
        }
        let retries_later = |f: &Failure| f.item == *item && f.retry_at > now;
        if self.failures.iter().any(retries_later) {
            return true;
        }
        let Some((version, memory_mib)) = declared(&self.in_force, item) else {
            return true;
        };
        let version: Box<str> = version.into();
        if !self.limiter.has_permit(now) || self.availability.drain().is_some() {
            return false;
        }
        match self.ledger.begin_load(item.clone(), &version, memory_mib) {
            Ok(()) => self.spawn_load(item, version, memory_mib, rank, deadline),
            Err(OrderError::NoCapacity { missing_mib }) => {
                self.evict_for(item, rank, missing_mib);
                return false;
            }
            Err(OrderError::NeverFits) => {
                self.refuse_waiting(item, "the model needs more memory than the engine has");
            }
            Err(_) => {}
        }
        true
    }

    /// Unloads items to free memory for a load, or records memory pressure when none may go.
    fn evict_for(&mut self, item: &Item, rank: TierRank, missing_mib: u32) {
        // One round of unloads at a time. While adapters are being unloaded, neither their memory
        // nor their base model is eligible, and a more recently used model would be chosen instead.
        let mut entries = self.ledger.entries().iter();
        if entries.any(|e| e.state == State::Unloading) {
            return;
        }
        let usage = |i: &Item| self.usage(i);
        let chosen = victims::choose(&self.ledger, item, rank, missing_mib, usage);
        if chosen.is_empty() {
            self.record_memory_pressure(&item.model);
        }
        for victim in chosen {
            self.unload_group(&victim);
        }
    }

    /// Unloads an item. Of a base model with adapters only the adapters are unloaded; the base
    /// model follows in a later call.
    fn unload_group(&mut self, item: &Item) {
        match self.ledger.begin_unload(item) {
            Ok(()) => self.spawn_unload(item),
            Err(OrderError::HasAdapters) => {
                let entries = self.ledger.entries().iter();
                let adapters: Vec<Item> = entries
                    .filter(|e| e.item.model == item.model && e.item.adapter.is_some())
                    .map(|e| e.item.clone())
                    .collect();
                for adapter in adapters {
                    if !self.usage(&adapter).busy && self.ledger.begin_unload(&adapter).is_ok() {
                        self.spawn_unload(&adapter);
                    }
                }
            }
            Err(_) => {}
        }
    }

    /// Releases revoked grants whose models are verifiably unloaded and cannot be loaded any more.
    /// A load after the grant's removal would exceed the declared number of replicas.
    pub(crate) fn release_grants(&mut self) {
        if self.relist || self.listing || self.unconfirmed.any() {
            return;
        }
        let free = |model: &ModelName| {
            let active = self.active.iter().filter_map(|a| a.item.as_ref());
            let mut of_model = active.filter(|i| i.model == *model);
            !self.ledger.may_hold(model) && of_model.next().is_none()
        };
        let revoking = self.in_force.revoking();
        let ready: Vec<_> = revoking
            .filter(|(_, g)| free(&g.model))
            .map(|(shard, g)| (shard, g.id))
            .collect();
        for (shard, grant) in ready {
            self.in_force.release(shard, grant);
        }
    }

    /// Records that an item, and the base model of an adapter, is used now.
    pub(crate) fn record_use(&mut self, item: Option<&Item>) {
        let Some(item) = item else {
            return;
        };
        let now = self.now();
        let bases = item.adapter.is_some().then(|| base(item));
        for item in std::iter::once(item.clone()).chain(bases) {
            match self
                .last_used
                .binary_search_by(|(other, _)| other.cmp(&item))
            {
                Ok(i) => self.last_used[i].1 = now,
                Err(at) => self.last_used.insert(at, (item, now)),
            }
        }
    }

    /// Returns the use of an item. The use of an adapter counts for its base model.
    pub(crate) fn usage(&self, item: &Item) -> Use {
        let active = self.active.iter().filter_map(|a| a.item.as_ref());
        let busy = active.into_iter().any(|i| requires(Some(i), item));
        let items = &self.items;
        let mut waiting = self.queue.iter();
        let waiting = waiting.find(|w| requires(items.get(w.model), item));
        let at = self
            .last_used
            .binary_search_by(|(other, _)| other.cmp(item));
        Use {
            busy,
            waiting: waiting.map(|w| w.rank),
            last_used: at.map_or(Duration::ZERO, |i| self.last_used[i].1),
        }
    }
}

/// Returns whether a request for `work` requires `item`: the item itself or its base model.
pub(crate) fn requires(work: Option<&Item>, item: &Item) -> bool {
    work.is_some_and(|n| n.model == item.model && (item.adapter.is_none() || n == item))
}
