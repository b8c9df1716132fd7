//! The accelerator memory of one engine and what is in it.
//!
//! The agent is the only one that orders its engine, and asks the ledger before each order. The
//! ledger counts the memory of everything that is loaded, loading, unloading, or in doubt because
//! an order's answer was lost. Doubt ends only when the engine's own list settles it.

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::{
    AdapterName,
    ModelName, //
};

/// What an engine can hold: a base model, or an adapter on one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Item {
    /// The base model.
    pub model: ModelName,
    /// The adapter; none is the base model itself. Sorts before its adapters.
    pub adapter: Option<AdapterName>,
}

/// What is known of an item in the engine's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// A load was ordered and its answer is awaited.
    Loading,
    /// The engine holds it.
    Loaded,
    /// An unload was ordered and its answer is awaited. The memory is not free yet.
    Unloading,
    /// An order's answer was lost: the engine may hold it, or load it still.
    #[serde(rename = "in-doubt")]
    Unconfirmed,
}

/// One item and the memory it takes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// What it is.
    pub item: Item,
    /// The version, as the weight store knows it.
    pub version: Box<str>,
    /// What it takes, in MiB.
    pub memory_mib: u32,
    /// What is known of it.
    pub state: State,
}

/// Why an order must not be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// So many MiB are missing.
    #[error("{missing_mib} MiB are missing")]
    NoCapacity {
        /// What has to be unloaded first.
        missing_mib: u32,
    },
    /// The item takes more than the engine has.
    #[error("the item takes more memory than the engine has")]
    NeverFits,
    /// The item is there already, in some state.
    #[error("the engine holds the item or has an order for it")]
    Present,
    /// The item is not loaded.
    #[error("the engine does not hold the item")]
    Absent,
    /// The base model of an adapter is not loaded.
    #[error("the adapter's base model is not loaded")]
    NoBase,
    /// An adapter on the base model is still there.
    #[error("an adapter on the model is still loaded")]
    HasAdapters,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The engine has done it.
    Done,
    /// The engine has surely not done it and will not.
    Refused,
    /// The answer was lost.
    Lost,
}

/// The accelerator memory of one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    total_mib: u32,
    /// Sorted by item.
    entries: Vec<Entry>,
}

impl Ledger {
    /// Makes the ledger of an engine that holds `entries`, as the engine itself lists them.
    pub fn new(total_mib: u32, mut entries: Vec<Entry>) -> Self {
        entries.sort_by(|a, b| a.item.cmp(&b.item));
        Self { total_mib, entries }
    }

    /// Returns all entries, sorted by item.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Finds an item in O(log n).
    pub fn get(&self, item: &Item) -> Option<&Entry> {
        self.find(item).ok().map(|i| &self.entries[i])
    }

    /// Tells whether the engine holds an item, ready to serve.
    pub fn is_loaded(&self, item: &Item) -> bool {
        self.get(item).is_some_and(|e| e.state == State::Loaded)
    }

    /// Returns the engine's memory, in MiB.
    pub fn total_mib(&self) -> u32 {
        self.total_mib
    }

    /// Returns the memory that is or may be taken, in MiB.
    pub fn taken_mib(&self) -> u32 {
        let all: u64 = self.entries.iter().map(|e| u64::from(e.memory_mib)).sum();
        u32::try_from(all).unwrap_or(u32::MAX)
    }

    /// Returns the memory that is surely free, in MiB.
    pub fn free_mib(&self) -> u32 {
        self.total_mib.saturating_sub(self.taken_mib())
    }

    /// Tells whether an order's answer was lost and the engine's list has not settled it.
    pub fn has_unconfirmed(&self) -> bool {
        self.entries.iter().any(|e| e.state == State::Unconfirmed)
    }

    /// Sets memory aside for a load that is about to be ordered.
    ///
    /// # Errors
    ///
    /// See [`OrderError`]; the ledger is unchanged and the order must not be given.
    pub fn begin_load(
        &mut self,
        item: Item,
        version: &str,
        memory_mib: u32,
    ) -> Result<(), OrderError> {
        let Err(at) = self.find(&item) else {
            return Err(OrderError::Present);
        };
        if item.adapter.is_some() {
            let base = Item {
                model: item.model.clone(),
                adapter: None,
            };
            if !self.is_loaded(&base) {
                return Err(OrderError::NoBase);
            }
        }
        if memory_mib > self.total_mib {
            return Err(OrderError::NeverFits);
        }
        if memory_mib > self.free_mib() {
            let missing_mib = memory_mib - self.free_mib();
            return Err(OrderError::NoCapacity { missing_mib });
        }
        let entry = Entry {
            item,
            version: version.into(),
            memory_mib,
            state: State::Loading,
        };
        self.entries.insert(at, entry);
        Ok(())
    }

    /// Notes how a load ended.
    pub fn end_load(&mut self, item: &Item, answer: Answer) {
        let Ok(i) = self.find(item) else {
            return;
        };
        match answer {
            Answer::Done => self.entries[i].state = State::Loaded,
            Answer::Refused => drop(self.entries.remove(i)),
            Answer::Lost => self.entries[i].state = State::Unconfirmed,
        }
    }

    /// Marks an item whose unload is about to be ordered. Its memory stays taken.
    ///
    /// # Errors
    ///
    /// See [`OrderError`]; the ledger is unchanged and the order must not be given.
    pub fn begin_unload(&mut self, item: &Item) -> Result<(), OrderError> {
        let Ok(i) = self.find(item) else {
            return Err(OrderError::Absent);
        };
        if self.entries[i].state != State::Loaded {
            return Err(OrderError::Absent);
        }
        if item.adapter.is_none() && self.has_adapters(&item.model) {
            return Err(OrderError::HasAdapters);
        }
        self.entries[i].state = State::Unloading;
        Ok(())
    }

    /// Notes how an unload ended.
    pub fn end_unload(&mut self, item: &Item, answer: Answer) {
        let Ok(i) = self.find(item) else {
            return;
        };
        match answer {
            Answer::Done => drop(self.entries.remove(i)),
            Answer::Refused => self.entries[i].state = State::Loaded,
            Answer::Lost => self.entries[i].state = State::Unconfirmed,
        }
    }

    /// Takes over what the engine itself lists. The list must have been asked for after the last
    /// order's answer came or was lost.
    ///
    /// Items that the engine is still loading or unloading stay taken and in doubt, so the caller
    /// asks again. An order that was lost on its way may arrive at the engine even after this list
    /// was made; that is why an engine's connection on which an order was lost is closed before
    /// the list is asked for, and why orders carry the fencing token.
    pub fn reconcile(&mut self, listed: Vec<Entry>) {
        self.entries = listed;
        self.entries.sort_by(|a, b| a.item.cmp(&b.item));
        for entry in &mut self.entries {
            if entry.state != State::Loaded {
                entry.state = State::Unconfirmed;
            }
        }
    }

    /// Tells whether the engine may hold a model or an adapter on it, in any state.
    pub fn may_hold(&self, model: &ModelName) -> bool {
        self.entries.iter().any(|e| e.item.model == *model)
    }

    fn has_adapters(&self, model: &ModelName) -> bool {
        self.entries
            .iter()
            .any(|e| e.item.model == *model && e.item.adapter.is_some())
    }

    fn find(&self, item: &Item) -> Result<usize, usize> {
        self.entries.binary_search_by(|e| e.item.cmp(item))
    }
}
