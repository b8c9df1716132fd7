//! What to unload when a load needs room.

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

/// What is known about the use of a loaded item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Use {
    /// Requests run on it or are about to.
    pub busy: bool,
    /// The best tier that waits for it.
    pub waiting: Option<TierRank>,
    /// When it was last used, as time since the agent's start.
    pub last_used: Duration,
}

/// Chooses items to unload so that `missing_mib` come free, least recently used first; none when
/// that cannot be reached.
///
/// Under more demand than memory, unloading what others of the same tier wait for would make two
/// models take turns at loading and nothing run, so only work of a better tier takes the memory of
/// waiting work. Adapters go before their base; the base follows once they are gone.
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
    let free = |e: &Entry| {
        let u = usage(&e.item);
        e.state == State::Loaded
            && e.item.model != to_load.model
            && !u.busy
            && u.waiting.is_none_or(|waiting| waiting > rank)
    };
    // A group is a base model with its adapters; it goes as a whole or its adapters go alone.
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
        if group.iter().all(|e| free(e)) {
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
