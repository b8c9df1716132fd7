//! Reports of the engine's state for the entries.

use std::time::Duration;

use stair_fleet::target::{
    Demand,
    Fetched,
    Inventory,
    Load,
    Loading,
    Usage, //
};

use super::Controller;
use crate::usage::key;

/// Time for which the duration of a load from the weight store is reported. Other engines use the
/// store too, so an older duration says little about the next load.
const FETCHED_TTL: Duration = Duration::from_secs(120);

/// Rate below which use is not reported: one request in several minutes.
const MIN_REPORTED_PER_S: f32 = 0.005;

impl Controller {
    /// Token capacity of the engine's memory; 0 without a reading.
    pub fn memory_tokens(&self) -> u64 {
        self.reading.as_ref().map_or(0, |r| r.total_tokens)
    }

    /// Requests that the engine runs, by its last reading.
    pub fn running(&self) -> u32 {
        self.reading.as_ref().map_or(0, |r| r.running)
    }

    /// Returns the models and adapters that the engine has loaded, and its copies of others.
    pub fn inventory(&self) -> Inventory {
        let reading = self.reading.as_ref();
        reading.map(|r| r.holds.clone()).unwrap_or_default()
    }

    /// Returns the engine's load, without the prefill backlog.
    pub fn load(&self, now: Duration) -> Load {
        let Some(reading) = &self.reading else {
            return Load::default();
        };
        let loading = self
            .in_progress
            .as_ref()
            .filter(|d| d.load)
            .map(|d| Loading {
                model: d.model.clone(),
                from: d.from,
                remaining: d.until.saturating_sub(now),
                slowdown: self.slowdown(d, now),
            });
        let unloading = self
            .in_progress
            .as_ref()
            .filter(|d| !d.load)
            .map(|d| &d.model);
        let mut draining: Vec<Box<str>> = self.draining.clone();
        draining.extend(unloading.cloned());
        draining.sort();
        draining.dedup();
        let mut usage: Vec<Usage> = reading
            .holds
            .models
            .iter()
            .map(|h| Usage {
                model: h.name.clone(),
                in_flight: self.usage.in_flight(&h.name),
                per_s: self.usage.rate(&h.name, now) as f32,
                prefill_fraction: self.usage.work(&h.name, now) as f32,
            })
            .filter(|u| u.in_flight > 0 || u.per_s > MIN_REPORTED_PER_S)
            .collect();
        usage.sort_by(|a, b| a.model.cmp(&b.model));
        Load {
            alive: self.alive,
            queued: reading.queued,
            running: reading.running,
            backlog: Duration::ZERO,
            used_tokens: reading.used_tokens,
            total_tokens: reading.total_tokens,
            loading,
            fetched: self.fetched(now),
            queued_load_time: self.queued_load_time(),
            unloading: unloading.is_some(),
            draining,
            free_adapters: self.free_adapters(),
            usage,
            unserved: self.unserved(now),
            estimate: None,
        }
    }

    fn unserved(&self, now: Duration) -> Vec<Demand> {
        let rates = self.unserved.rates(now).map(|(model, per_s)| Demand {
            model: model.into(),
            per_s: per_s as f32,
        });
        rates.filter(|d| d.per_s > MIN_REPORTED_PER_S).collect()
    }

    fn fetched(&self, now: Duration) -> Option<Fetched> {
        let fresh = |at: Duration| now.saturating_sub(at) < FETCHED_TTL;
        self.fetched.filter(|(_, at)| fresh(*at)).map(|(f, _)| f)
    }

    /// Adapter slots that are free or whose adapter has no requests in flight.
    fn free_adapters(&self) -> u32 {
        let (Some(decl), Some(reading)) = (&self.decl, &self.reading) else {
            return 0;
        };
        let in_use = |model: &str, adapter: &str| {
            let name = key(model, Some(adapter));
            self.usage.in_flight(&name) > 0
        };
        let loaded = reading.holds.models.iter();
        let used: usize = loaded
            .map(|h| h.adapters.iter().filter(|a| in_use(&h.name, a)).count())
            .sum();
        let used = u32::try_from(used + reading.pending.len()).unwrap_or(u32::MAX);
        decl.adapter_slots.saturating_sub(used)
    }
}
