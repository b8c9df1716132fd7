//! What entries are told of the engine.

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

/// Time for which entries are told how long a load from the weight store took. Others use the store
/// too, so that what was so for some minutes need not stay so.
const FETCHED_TTL: Duration = Duration::from_secs(120);

/// Rate below which use is not told: one request in several minutes.
const MIN_REPORTED_PER_S: f32 = 0.005;

impl Controller {
    /// Tokens that the engine's memory has room for; 0 when it has not been read.
    pub fn memory_tokens(&self) -> u64 {
        self.reading.as_ref().map_or(0, |r| r.total_tokens)
    }

    /// Returns what the engine holds.
    pub fn inventory(&self) -> Inventory {
        let reading = self.reading.as_ref();
        reading.map(|r| r.holds.clone()).unwrap_or_default()
    }

    /// Returns what entries are told beside that.
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
                slowdown: self.times(d, now),
            });
        let unloading = self
            .in_progress
            .as_ref()
            .filter(|d| !d.load)
            .map(|d| &d.model);
        let mut leaving: Vec<Box<str>> = self.evicting.clone();
        leaving.extend(unloading.cloned());
        leaving.sort();
        leaving.dedup();
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
            queued_load_time: self.to_load(),
            unloading: unloading.is_some(),
            draining: leaving,
            free_adapters: self.free_adapters(),
            usage,
            unserved: self.unserved(now),
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

    /// Places for adapters that are free or could be freed at once.
    fn free_adapters(&self) -> u32 {
        let (Some(decl), Some(reading)) = (&self.decl, &self.reading) else {
            return 0;
        };
        let in_use = |model: &str, adapter: &str| {
            let name = key(model, Some(adapter));
            self.usage.in_flight(&name) > 0
        };
        let held = reading.holds.models.iter();
        let used: usize = held
            .map(|h| h.adapters.iter().filter(|a| in_use(&h.name, a)).count())
            .sum();
        let used = u32::try_from(used + reading.pending.len()).unwrap_or(u32::MAX);
        decl.adapter_slots.saturating_sub(used)
    }
}
