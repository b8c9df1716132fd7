//! What a target announces and what its agent reports.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    engine_estimate::Estimate,
    origin, //
};

/// A target as it announces itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Identifies one incarnation of the target. After a restart the id differs, or is the same
    /// with a later `started`.
    pub id: Box<str>,
    /// Start of this incarnation in milliseconds of the target's own clock, if announced.
    pub started: Option<u64>,
    /// The service that the target belongs to.
    pub service: Box<str>,
    /// The version of the target's software; `None` if whoever passed on the announcement did not state it.
    /// Messages carry it beside the announcement, which processes of earlier releases decode too.
    #[serde(skip)]
    pub version: Option<Box<str>>,
    /// The address for requests.
    pub addr: SocketAddr,
    /// The data centre of the target.
    pub data_centre: Box<str>,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub state: State,
    /// Remaining time for which the target is slow after its start.
    pub cold: Duration,
    /// Loaded models and copies, if the target is an engine.
    #[serde(rename = "holds")]
    pub inventory: Inventory,
}

/// Identifies one incarnation of a target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// The target's id.
    pub id: Box<str>,
    /// Start of the incarnation in milliseconds of the target's own clock, if known.
    pub started: Option<u64>,
}

impl Target {
    /// The incarnation that is announced.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.id.clone(),
            started: self.started,
        }
    }

    /// Whether the target runs a software version, or any if none is required.
    pub fn runs(&self, required: Option<&str>) -> bool {
        origin::allows(required, self.version.as_deref())
    }

    /// Whether two announcements differ in nothing but their inventories.
    pub fn eq_except_inventory(&self, other: &Self) -> bool {
        let Self {
            id,
            started,
            service,
            version,
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
            && *version == other.version
            && *addr == other.addr
            && *data_centre == other.data_centre
            && *slots == other.slots
            && *state == other.state
            && *cold == other.cold
    }
}

/// Whether a target accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It accepts new requests.
    Ready,
    /// It accepts none, and ends after this time whatever it runs, if the time is known.
    Draining(Option<Duration>),
}

/// Models and copies of models at an engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Inventory {
    /// Loaded models, sorted by name.
    pub models: Vec<LoadedModel>,
    /// Models with a copy in host memory, sorted.
    pub in_memory: Vec<Box<str>>,
    /// Models with a copy on disk, sorted.
    pub on_disk: Vec<Box<str>>,
}

/// A model that is loaded in an engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model's name.
    pub name: Box<str>,
    /// Its loaded adapters, sorted.
    pub adapters: Vec<Box<str>>,
}

/// Location of the fastest copy of a model, seen from an engine. Ordered from fast to slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CopyLocation {
    /// Host memory of the engine's VM.
    Memory,
    /// Disk of the engine's VM.
    Disk,
    /// The weight store.
    Store,
}

impl Inventory {
    /// Finds a loaded model.
    pub fn model(&self, name: &str) -> Option<&LoadedModel> {
        let i = self.models.binary_search_by(|m| (*m.name).cmp(name)).ok()?;
        Some(&self.models[i])
    }

    /// Returns the location of the fastest copy of a model.
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

    /// Whether the engine has the model loaded or has a copy of it.
    pub fn has_copy(&self, name: &str) -> bool {
        self.model(name).is_some() || self.copy(name) != CopyLocation::Store
    }

    /// Sorts all lists; lookups rely on the order.
    pub fn sort(&mut self) {
        self.models.sort_by(|a, b| a.name.cmp(&b.name));
        for held in &mut self.models {
            held.adapters.sort();
        }
        self.in_memory.sort();
        self.on_disk.sort();
    }
}

/// What an engine's agent has reported.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Loaded models and copies.
    #[serde(rename = "holds")]
    pub inventory: Inventory,
    /// Everything else.
    pub load: Load,
}

/// What an engine's agent reports beside the inventory.
///
/// It is kept apart from [`Inventory`], which changes seldom, because fifty agents send it to
/// thirty entries several times a second.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Whether the engine replies to its agent.
    pub alive: bool,
    /// Requests queued in the engine.
    pub queued: u32,
    /// Requests running in the engine.
    pub running: u32,
    /// Time for which the engine has prompts to prefill.
    pub backlog: Duration,
    /// Tokens of the engine's memory that cannot be freed.
    pub used_tokens: u64,
    /// Capacity of the engine's memory in tokens.
    pub total_tokens: u64,
    /// The load in progress.
    pub loading: Option<Loading>,
    /// The last load from the weight store, if it ended recently.
    pub fetched: Option<Fetched>,
    /// Expected duration of the loads that are requested and have not begun.
    #[serde(rename = "to_load")]
    pub queued_load_time: Duration,
    /// Whether a model is being unloaded.
    pub unloading: bool,
    /// Models that are being unloaded, or will be when their requests have ended. They get no new
    /// requests.
    #[serde(rename = "leaving")]
    pub draining: Vec<Box<str>>,
    /// Adapters that can be loaded now: free adapter slots, and slots of adapters without requests.
    pub free_adapters: u32,
    /// Use of the loaded models by all entries, sorted by model.
    pub usage: Vec<Usage>,
    /// Demand for models that no engine could load in time, counted by this agent.
    pub unserved: Vec<Demand>,
    /// The engine's estimated speed. Messages carry it beside the report, which processes of earlier
    /// releases decode too.
    #[serde(skip)]
    pub estimate: Option<Estimate>,
}

/// Rate of requests for a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The model.
    pub model: Box<str>,
    /// Recent requests per second.
    pub per_s: f32,
}

/// A load in progress.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Loading {
    /// The model.
    pub model: Box<str>,
    /// The location that it is loaded from.
    pub from: CopyLocation,
    /// Expected time until it is loaded, as of the report.
    #[serde(rename = "left")]
    pub remaining: Duration,
    /// Time taken so far as a multiple of the declared load time.
    #[serde(rename = "times")]
    pub slowdown: f32,
}

/// A completed load from the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Fetched {
    /// Loads in progress when it began, itself included.
    #[serde(rename = "together")]
    pub concurrent: u32,
    /// Time taken as a multiple of the declared load time.
    #[serde(rename = "times")]
    pub slowdown: f32,
}

/// Use of a model at one engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The model.
    pub model: Box<str>,
    /// Requests in flight.
    pub in_flight: u32,
    /// Recent requests per second.
    pub per_s: f32,
    /// Fraction of the engine's time that prefill of this model's prompts took recently, 0 to 1.
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

    /// Fraction of the engine's time that prefill took recently.
    pub fn prefill_fraction(&self) -> f64 {
        let all = self.usage.iter().map(|u| f64::from(u.prefill_fraction));
        all.sum()
    }
}
