//! Keys of what requests need, and what runs and loads of it took.

use std::time::Duration;

use stair_state::ledger::Item;
use stair_types::ModelKey;

/// A run that nothing is known about. Too long would refuse the first callers for nothing.
const DEFAULT_RUN: Duration = Duration::from_millis(200);

/// A load that nothing is known about.
const DEFAULT_LOAD: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Default)]
struct Estimates {
    run: Option<Duration>,
    /// Time for each token that a caller asked for at most.
    per_token: Option<Duration>,
    load: Option<Duration>,
}

/// Everything that requests needed since the start; the number of declared names bounds it.
#[derive(Debug, Clone, Default)]
pub struct Items {
    /// By key; none is the plain service.
    items: Vec<Option<Item>>,
    /// Keys, sorted by item.
    sorted: Vec<ModelKey>,
    /// By key.
    estimates: Vec<Estimates>,
    mean_run: Option<Duration>,
    mean_load: Option<Duration>,
}

impl Items {
    /// Returns the key of an item, a new one for a new item.
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

    /// Returns how long a run is expected to take, by the tokens asked for if they are known.
    pub fn expected_run(&self, key: ModelKey, max_tokens: u32) -> Duration {
        let estimates = &self.estimates[key.0 as usize];
        let by_tokens = estimates.per_token.filter(|_| max_tokens > 0);
        let by_tokens = by_tokens.map(|t| t * max_tokens);
        by_tokens
            .or(estimates.run)
            .or(self.mean_run)
            .unwrap_or(DEFAULT_RUN)
    }

    /// Notes how long a whole run took.
    pub fn observe_run(&mut self, key: ModelKey, max_tokens: u32, took: Duration) {
        let estimates = &mut self.estimates[key.0 as usize];
        if max_tokens > 0 {
            update_mean(&mut estimates.per_token, took / max_tokens);
        }
        update_mean(&mut estimates.run, took);
        update_mean(&mut self.mean_run, took);
    }

    /// Returns how long a load is expected to take.
    pub fn expected_load(&self, item: &Item) -> Duration {
        let known = self.find(Some(item)).ok().map(|i| self.sorted[i]);
        let estimates = known.and_then(|k| self.estimates[k.0 as usize].load);
        estimates.or(self.mean_load).unwrap_or(DEFAULT_LOAD)
    }

    /// Notes how long a load took.
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

/// The last few count most; one odd one does not decide.
fn update_mean(mean: &mut Option<Duration>, new: Duration) {
    *mean = Some(match *mean {
        Some(old) => (old * 3 + new) / 4,
        None => new,
    });
}
