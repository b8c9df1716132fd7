//! Accounts for the accelerator memory of one engine.
//!
//! The agent is the only process that sends orders to its engine, and it records each order in the
//! ledger before sending it. The ledger counts the memory of every item that is loaded, loading,
//! unloading, or unconfirmed because the reply to an order was lost. Only the engine's own list
//! resolves an unconfirmed item.

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::{
    AdapterName,
    ModelName, //
};

/// A base model or an adapter on one: the unit that an engine loads and unloads.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Item {
    /// The base model.
    pub model: ModelName,
    /// The adapter; `None` is the base model itself, which sorts before its adapters.
    pub adapter: Option<AdapterName>,
}

/// The state of an item in the engine's memory, as the agent knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// A load was ordered and its reply is pending.
    Loading,
    /// The engine has the item loaded.
    Loaded,
    /// An unload was ordered and its reply is pending. The memory still counts as used.
    Unloading,
    /// The reply to an order was lost: the item may be loaded, absent, or changing state.
    #[serde(rename = "in-doubt")]
    Unconfirmed,
}

/// One item and the memory that it uses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The model or adapter.
    pub item: Item,
    /// The version in the weight store.
    pub version: Box<str>,
    /// The accelerator memory of the item, in MiB.
    pub memory_mib: u32,
    /// The state of the item.
    pub state: State,
}

/// Why an order must not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The free memory does not suffice for the item.
    #[error("{missing_mib} MiB are missing")]
    NoCapacity {
        /// The memory to be unloaded first, in MiB.
        missing_mib: u32,
    },
    /// The item needs more memory than the engine has in total.
    #[error("the item needs more memory than the engine has")]
    NeverFits,
    /// The ledger has an entry of the item already, in any state.
    #[error("the item is loaded already or an order for it is not resolved")]
    Present,
    /// The item is not loaded.
    #[error("the item is not loaded")]
    Absent,
    /// The base model of an adapter is not loaded.
    #[error("the adapter's base model is not loaded")]
    NoBase,
    /// The ledger still has an adapter on the base model, in any state.
    #[error("an adapter on the model is still loaded")]
    HasAdapters,
}

/// The result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The engine has carried out the order.
    Done,
    /// The engine has not carried out the order and never will.
    Refused,
    /// The reply was lost, so the result is unknown.
    Lost,
}

/// The accelerator memory of one engine and the items that use it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    total_mib: u32,
    /// Sorted by item.
    entries: Vec<Entry>,
}

impl Ledger {
    /// Creates the ledger of an engine with `total_mib` of memory from the entries that the engine
    /// lists, in any order.
    pub fn new(total_mib: u32, mut entries: Vec<Entry>) -> Self {
        entries.sort_by(|a, b| a.item.cmp(&b.item));
        Self { total_mib, entries }
    }

    /// Returns all entries, sorted by item.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the entry of an item, in O(log n).
    pub fn get(&self, item: &Item) -> Option<&Entry> {
        self.find(item).ok().map(|i| &self.entries[i])
    }

    /// Returns whether an item is loaded and can serve requests.
    pub fn is_loaded(&self, item: &Item) -> bool {
        self.get(item).is_some_and(|e| e.state == State::Loaded)
    }

    /// Returns the total memory of the engine, in MiB.
    pub fn total_mib(&self) -> u32 {
        self.total_mib
    }

    /// Returns the memory of all entries, in MiB: an upper bound of the memory in use.
    pub fn taken_mib(&self) -> u32 {
        let all: u64 = self.entries.iter().map(|e| u64::from(e.memory_mib)).sum();
        u32::try_from(all).unwrap_or(u32::MAX)
    }

    /// Returns the memory that no entry uses, in MiB: a lower bound of the free memory.
    pub fn free_mib(&self) -> u32 {
        self.total_mib.saturating_sub(self.taken_mib())
    }

    /// Returns whether an item is unconfirmed, so that the engine's list has to be requested.
    pub fn has_unconfirmed(&self) -> bool {
        self.entries.iter().any(|e| e.state == State::Unconfirmed)
    }

    /// Reserves memory for a load that is about to be ordered.
    ///
    /// # Errors
    ///
    /// See [`OrderError`]; the ledger is unchanged and the order must not be sent.
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

    /// Records the result of a load.
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

    /// Marks an item whose unload is about to be ordered. Its memory stays reserved.
    ///
    /// # Errors
    ///
    /// See [`OrderError`]; the ledger is unchanged and the order must not be sent.
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

    /// Records the result of an unload.
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

    /// Replaces all entries by the list that the engine returned. The list must have been requested
    /// after the reply to the last order was received or lost.
    ///
    /// Items that the engine is still loading or unloading become unconfirmed and keep their memory
    /// reserved, so the list has to be requested again. An order whose reply was lost may reach the
    /// engine even after the list was made. Therefore the connection that carried the order is
    /// closed before the list is requested, and orders carry the fencing token.
    pub fn reconcile(&mut self, listed: Vec<Entry>) {
        self.entries = listed;
        self.entries.sort_by(|a, b| a.item.cmp(&b.item));
        for entry in &mut self.entries {
            if entry.state != State::Loaded {
                entry.state = State::Unconfirmed;
            }
        }
    }

    /// Returns whether the ledger has an entry of a model or of an adapter on it, in any state.
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
