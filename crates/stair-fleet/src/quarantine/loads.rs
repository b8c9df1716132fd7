//! Loads that crash the engine.
//!
//! Such a load takes all other models and runs of the engine down, and clients request the model
//! again. Crashes of other causes interrupt loads too, so it takes several loads in a row.

use std::time::Duration;

use serde::Serialize;

use super::QUARANTINE_DURATIONS;

/// Consecutive loads of an item during which the engine crashed, after which it is not loaded.
const MAX_CRASHES: u32 = 3;

/// The loads during which one engine crashed. `K` identifies a model or an adapter.
#[derive(Debug, Clone, Serialize)]
pub struct LoadCrashes<K> {
    list: Vec<Record<K>>,
}

/// Crashes during loads of one version of an item, without a complete load since.
#[derive(Debug, Clone, Serialize)]
struct Record<K> {
    item: K,
    version: Box<str>,
    count: u32,
    /// Number of quarantines so far.
    quarantines: usize,
    quarantined_until: Duration,
}

/// An item that is not loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantinedLoad<'a, K> {
    /// The item.
    pub item: &'a K,
    /// The version that crashed the engine.
    pub version: &'a str,
    /// The remaining time.
    pub left: Duration,
}

impl<K> Default for LoadCrashes<K> {
    fn default() -> Self {
        Self { list: Vec::new() }
    }
}

impl<K> LoadCrashes<K>
where
    K: Clone + PartialEq,
{
    /// Records that the engine crashed during a load. Returns the duration of the quarantine if the
    /// item is not to be loaded from now on.
    pub fn crashed(&mut self, item: &K, version: &str, now: Duration) -> Option<Duration> {
        let same = |r: &Record<K>| r.item == *item && *r.version == *version;
        let i = self.list.iter().position(same).unwrap_or_else(|| {
            self.list.retain(|r| r.item != *item);
            self.list.push(Record {
                item: item.clone(),
                version: version.into(),
                count: 0,
                quarantines: 0,
                quarantined_until: Duration::ZERO,
            });
            self.list.len() - 1
        });
        let record = &mut self.list[i];
        record.count += 1;
        if record.count < MAX_CRASHES {
            return None;
        }
        let last = QUARANTINE_DURATIONS.len() - 1;
        let duration = QUARANTINE_DURATIONS[record.quarantines.min(last)];
        record.quarantined_until = now + duration;
        record.quarantines += 1;
        Some(duration)
    }

    /// Records a complete load.
    pub fn loaded(&mut self, item: &K) {
        self.list.retain(|r| r.item != *item);
    }

    /// The items that are not to be loaded now.
    pub fn quarantined(&self, now: Duration) -> impl Iterator<Item = QuarantinedLoad<'_, K>> {
        let all = self.list.iter().filter(move |r| r.quarantined_until > now);
        all.map(move |r| QuarantinedLoad {
            item: &r.item,
            version: &r.version,
            left: r.quarantined_until - now,
        })
    }
}
