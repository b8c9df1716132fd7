//! The choice of victims: items to unload when a load needs memory.

use std::time::Duration;

use stair_state::{
    Ledger,
    ledger::{
        Entry,
        Item,
        State, //
    }, //
};
use stair_types::TierRank;

/// The use of a loaded item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Use {
    /// Whether requests run on the item or have a slot assigned to run on it.
    pub busy: bool,
    /// The highest-ranking tier of the requests that wait for the item.
    pub waiting: Option<TierRank>,
    /// When the item was last used, as time since the agent's start.
    pub last_used: Duration,
}

/// Chooses items to unload that free at least `missing_mib`, the least recently used first. Returns
/// none when that cannot be reached.
///
/// An item for which requests wait is chosen only for a load of a higher tier. Otherwise, when
/// demand exceeds memory, two models of one tier would evict each other repeatedly and serve no
/// request. Adapters are unloaded before their base model.
pub fn choose<F>(
    ledger: &Ledger,
    to_load: &Item,
    rank: TierRank,
    missing_mib: u32,
    usage: F,
) -> Vec<Item>
where
    F: Fn(&Item) -> Use,
{
    let evictable = |e: &Entry| {
        let u = usage(&e.item);
        e.state == State::Loaded
            && e.item.model != to_load.model
            && !u.busy
            && u.waiting.is_none_or(|waiting| waiting > rank)
    };
    // A group is a base model with all its adapters, or a single adapter.
    let mut groups: Vec<(Duration, Vec<&Entry>)> = Vec::new();
    for entry in ledger.entries() {
        let all = ledger
            .entries()
            .iter()
            .filter(|e| e.item.model == entry.item.model);
        let group: Vec<&Entry> = match entry.item.adapter {
            None => all.collect(),
            Some(_) => vec![entry],
        };
        if group.iter().all(|e| evictable(e)) {
            let last = group.iter().map(|e| usage(&e.item).last_used).max();
            groups.push((last.unwrap_or_default(), group));
        }
    }
    groups.sort_by_key(|(last, group)| (*last, group.len()));
    let mut chosen: Vec<&Entry> = Vec::new();
    let mut freed = 0;
    for (_, group) in groups {
        if freed >= missing_mib {
            break;
        }
        for entry in group {
            if !chosen.iter().any(|c| c.item == entry.item) {
                chosen.push(entry);
                freed += entry.memory_mib;
            }
        }
    }
    if freed < missing_mib {
        return Vec::new();
    }
    chosen.into_iter().map(|e| e.item.clone()).collect()
}
