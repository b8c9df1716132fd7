//! Keys of the items (models and adapters) that requests need, and estimates of their run and load
//! times.

use std::time::Duration;

use stair_state::ledger::Item;
use stair_types::ModelKey;

/// Expected run time before the first observation. A longer one would refuse the first requests
/// needlessly.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(200);

/// Expected load time before the first observation.
const DEFAULT_LOAD_TIME: Duration = Duration::from_secs(2);

/// Moving averages of the observations of one key.
#[derive(Debug, Clone, Default)]
struct Estimates {
    run: Option<Duration>,
    /// Run time divided by the caller's limit on generated tokens.
    per_token: Option<Duration>,
    load: Option<Duration>,
}

/// All items that requests have needed since the start. The number of declared models and adapters
/// bounds them.
#[derive(Debug, Clone, Default)]
pub struct Items {
    /// Items by key; none stands for the plain service.
    items: Vec<Option<Item>>,
    /// Keys, sorted by item.
    sorted: Vec<ModelKey>,
    /// Estimates by key.
    estimates: Vec<Estimates>,
    mean_run: Option<Duration>,
    mean_load: Option<Duration>,
}

impl Items {
    /// Returns the key of an item, and assigns one to a new item. None is the plain service.
    pub fn key(&mut self, item: Option<&Item>) -> ModelKey {
        match self.find(item) {
            Ok(i) => self.sorted[i],
            Err(at) => {
                let key = ModelKey(u32::try_from(self.items.len()).unwrap_or(u32::MAX));
                self.items.push(item.cloned());
                self.estimates.push(Estimates::default());
                self.sorted.insert(at, key);
                key
            }
        }
    }

    /// Returns the item of a key; none for the plain service.
    pub fn get(&self, key: ModelKey) -> Option<&Item> {
        self.items.get(key.0 as usize)?.as_ref()
    }

    /// Returns the expected time of a run, by its token limit if that is known (not 0).
    pub fn expected_run(&self, key: ModelKey, max_tokens: u32) -> Duration {
        let estimates = &self.estimates[key.0 as usize];
        let by_tokens = estimates.per_token.filter(|_| max_tokens > 0);
        let by_tokens = by_tokens.map(|t| t * max_tokens);
        by_tokens
            .or(estimates.run)
            .or(self.mean_run)
            .unwrap_or(DEFAULT_RUN_TIME)
    }

    /// Records the time of a complete run.
    pub fn observe_run(&mut self, key: ModelKey, max_tokens: u32, took: Duration) {
        let estimates = &mut self.estimates[key.0 as usize];
        if max_tokens > 0 {
            update_mean(&mut estimates.per_token, took / max_tokens);
        }
        update_mean(&mut estimates.run, took);
        update_mean(&mut self.mean_run, took);
    }

    /// Returns the expected time of a load.
    pub fn expected_load(&self, item: &Item) -> Duration {
        let known = self.find(Some(item)).ok().map(|i| self.sorted[i]);
        let estimates = known.and_then(|k| self.estimates[k.0 as usize].load);
        estimates.or(self.mean_load).unwrap_or(DEFAULT_LOAD_TIME)
    }

    /// Records the time of a load.
    pub fn observe_load(&mut self, item: &Item, took: Duration) {
        let key = self.key(Some(item));
        update_mean(&mut self.estimates[key.0 as usize].load, took);
        update_mean(&mut self.mean_load, took);
    }

    fn find(&self, item: Option<&Item>) -> Result<usize, usize> {
        let item_of = |key: &ModelKey| self.items[key.0 as usize].as_ref();
        self.sorted.binary_search_by(|key| item_of(key).cmp(&item))
    }
}

/// Updates an exponential moving average. With a weight of 1/4 for the new value, recent values
/// dominate and a single outlier does not.
fn update_mean(mean: &mut Option<Duration>, new: Duration) {
    *mean = Some(match *mean {
        Some(old) => (old * 3 + new) / 4,
        None => new,
    });
}
