//! What a target announces, and what its agent reports of it.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// A target as it announces itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Names the target. A restart has another one, or the same with a later start.
    pub id: Box<str>,
    /// When this life of it started, in milliseconds of its own clock, where it says so.
    pub started: Option<u64>,
    /// The service that it belongs to.
    pub service: Box<str>,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: State,
    /// How much longer it is slow after its start.
    pub cold: Duration,
    /// What it holds, if it is a model engine.
    #[serde(rename = "holds")]
    pub inventory: Inventory,
}

impl Target {
    /// Whether two words of a target differ in nothing but what it holds.
    pub fn eq_except_inventory(&self, other: &Self) -> bool {
        let Self {
            id,
            started,
            service,
            addr,
            data_centre,
            slots,
            state,
            cold,
            inventory: _,
        } = self;
        *id == other.id
            && *started == other.started
            && *service == other.service
            && *addr == other.addr
            && *data_centre == other.data_centre
            && *slots == other.slots
            && *state == other.state
            && *cold == other.cold
    }
}

/// Whether a target takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It does.
    Ready,
    /// It leaves; with the time after which it is gone whatever it runs, where that is known.
    Draining(Option<Duration>),
}

/// The models of an engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Inventory {
    /// Ready to run, sorted by name.
    pub models: Vec<LoadedModel>,
    /// Copies in host memory, sorted.
    pub in_memory: Vec<Box<str>>,
    /// Copies on disk, sorted.
    pub on_disk: Vec<Box<str>>,
}

/// One model in an engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub name: Box<str>,
    /// Its adapters there, sorted.
    pub adapters: Vec<Box<str>>,
}

/// Where the fastest copy of a model lies for an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CopyLocation {
    /// In host memory.
    Memory,
    /// On the engine's disk.
    Disk,
    /// Only in the weight store.
    Store,
}

impl Inventory {
    /// Finds a model that is ready to run.
    pub fn model(&self, name: &str) -> Option<&LoadedModel> {
        let i = self.models.binary_search_by(|m| (*m.name).cmp(name)).ok()?;
        Some(&self.models[i])
    }

    /// Tells where the fastest copy of a model lies.
    pub fn copy(&self, name: &str) -> CopyLocation {
        let has = |list: &[Box<str>]| list.binary_search_by(|m| (**m).cmp(name)).is_ok();
        if has(&self.in_memory) {
            CopyLocation::Memory
        } else if has(&self.on_disk) {
            CopyLocation::Disk
        } else {
            CopyLocation::Store
        }
    }

    /// Whether a model is there, ready to run or as a copy.
    pub fn has_copy(&self, name: &str) -> bool {
        self.model(name).is_some() || self.copy(name) != CopyLocation::Store
    }

    /// Puts all lists in the order that lookups rely on.
    pub fn sort(&mut self) {
        self.models.sort_by(|a, b| a.name.cmp(&b.name));
        for held in &mut self.models {
            held.adapters.sort();
        }
        self.in_memory.sort();
        self.on_disk.sort();
    }
}

/// What an engine's agent has told of it.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// What it holds.
    #[serde(rename = "holds")]
    pub inventory: Inventory,
    /// The rest.
    pub load: Load,
}

/// What an engine's agent has read from it beside what it holds, and what it is doing to it.
///
/// Apart from the lists in [`Inventory`], which change seldom: fifty agents tell this to thirty entries
/// several times a second.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Whether the engine answers its agent.
    pub alive: bool,
    /// Requests waiting in it.
    pub queued: u32,
    /// Requests running in it.
    pub running: u32,
    /// Time for which it has prompts to read.
    pub backlog: Duration,
    /// Tokens of its memory that cannot be freed.
    pub used_tokens: u64,
    /// Tokens that its memory has room for.
    pub total_tokens: u64,
    /// The load that is under way, if any.
    pub loading: Option<Loading>,
    /// What became of the last load from the weight store, for some time.
    pub fetched: Option<Fetched>,
    /// Time that the loads which are asked for and have not begun will take.
    #[serde(rename = "to_load")]
    pub queued_load_time: Duration,
    /// Whether a model is being unloaded.
    pub unloading: bool,
    /// Models that are unloaded, or will be once their requests have ended; they get no new ones.
    #[serde(rename = "leaving")]
    pub draining: Vec<Box<str>>,
    /// Adapters that it could take now: free places and those that nothing uses.
    pub free_adapters: u32,
    /// Use of what it holds, by all entries, sorted by model.
    pub usage: Vec<Usage>,
    /// Demand for models that no engine could load in time, of those that this agent counts.
    pub unserved: Vec<Demand>,
}

/// Requests for a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The model.
    pub model: Box<str>,
    /// Requests a second lately.
    pub per_s: f32,
}

/// A load under way.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Loading {
    /// The model.
    pub model: Box<str>,
    /// Where it comes from.
    pub from: CopyLocation,
    /// Time until it is expected to be ready, when the report was made.
    #[serde(rename = "left")]
    pub remaining: Duration,
    /// How many times the declared time it had taken by then.
    #[serde(rename = "times")]
    pub slowdown: f32,
}

/// A load from the weight store that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Fetched {
    /// Loads that were under way when it began, itself among them.
    #[serde(rename = "together")]
    pub concurrent: u32,
    /// How many times the declared time it took.
    #[serde(rename = "times")]
    pub slowdown: f32,
}

/// How much a model is used at one engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The model.
    pub model: Box<str>,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests a second lately.
    pub per_s: f32,
    /// Part of the engine's time that reading their prompts took lately; 1 is all of it.
    #[serde(rename = "work")]
    pub prefill_fraction: f32,
}

impl Load {
    /// Returns the use of a model.
    pub fn usage(&self, model: &str) -> Option<&Usage> {
        let i = self
            .usage
            .binary_search_by(|u| (*u.model).cmp(model))
            .ok()?;
        Some(&self.usage[i])
    }
}
