//! The catalogue: everything that one apply puts in force, as checked types.
//!
//! All vectors are sorted by name (tiers by rank) without duplicates, so look-ups are binary
//! searches. A `Catalogue` is made by `TryFrom` from the operator's files only.

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::{
    AdapterName,
    CallerName,
    ModelName,
    ServiceName,
    TierName,
    TierRank, //
};

/// Everything that one apply puts in force.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalogue {
    /// Sorted by name.
    pub models: Vec<Model>,
    /// Sorted by rank; ranks are 0, 1, 2 and so on.
    pub tiers: Vec<Tier>,
    /// Sorted by key hash.
    pub callers: Vec<Caller>,
    /// Sorted by name.
    pub services: Vec<Service>,
    /// Weights of the decisions.
    pub policy: Policy,
}

impl Catalogue {
    /// Finds a model by name in O(log n).
    pub fn model(&self, name: &str) -> Option<&Model> {
        let at = self.models.binary_search_by(|m| m.name.as_str().cmp(name));
        at.ok().map(|i| &self.models[i])
    }

    /// Finds a plain service by name in O(log n).
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(name));
        at.ok().map(|i| &self.services[i])
    }

    /// Finds a caller by the SHA-256 of its key, in lower-case hexadecimal, in O(log n).
    pub fn caller(&self, key_sha256: &str) -> Option<&Caller> {
        let at = self
            .callers
            .binary_search_by(|c| (*c.key_sha256).cmp(key_sha256));
        at.ok().map(|i| &self.callers[i])
    }

    /// Finds a tier by name.
    pub fn tier(&self, name: &TierName) -> Option<&Tier> {
        self.tiers.iter().find(|t| t.name == *name)
    }
}

/// A base model and its adapters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// What callers write as `model`.
    pub name: ModelName,
    /// The checkpoint's version, as the weight store knows it.
    pub version: Box<str>,
    /// Accelerator memory of one replica, in MiB.
    pub memory_mib: u32,
    /// How many replicas may be loaded at once, at least 1.
    pub replicas: u16,
    /// Whether a request may run twice unless the caller says otherwise.
    pub repeatable: bool,
    /// Sorted by name.
    pub adapters: Vec<Adapter>,
}

impl Model {
    /// Finds an adapter by name in O(log n).
    pub fn adapter(&self, name: &str) -> Option<&Adapter> {
        let at = self
            .adapters
            .binary_search_by(|a| a.name.as_str().cmp(name));
        at.ok().map(|i| &self.adapters[i])
    }
}

/// An adapter on a base model; callers write `model/adapter`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Unique within the base model.
    pub name: AdapterName,
    /// The adapter's version, as the weight store knows it.
    pub version: Box<str>,
    /// Accelerator memory it takes beside its base model, in MiB.
    pub memory_mib: u32,
}

/// What one priority tier buys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// The tier's name.
    pub name: TierName,
    /// 0 is served first.
    pub rank: TierRank,
    /// Least share of a saturated queue that the tier keeps, in percent, so that it never starves.
    pub floor_percent: u8,
    /// Timeout of a request that names none, in milliseconds.
    pub timeout_ms: u32,
    /// Requests of this tier that may wait at one target.
    pub max_waiting: u32,
}

/// A caller and the tier it pays for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The caller's name, for logs and metrics.
    pub name: CallerName,
    /// SHA-256 of the caller's key, lower-case hexadecimal. The key itself is never declared.
    pub key_sha256: Box<str>,
    /// The caller's tier.
    pub tier: TierName,
}

/// A plain service that stands beside the engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Callers reach it under `/services/NAME/`.
    pub name: ServiceName,
    /// Calls that a target may run at once.
    pub concurrency: u16,
    /// The longest matching prefix decides; no match means not repeatable.
    pub routes: Vec<ServiceRoute>,
}

impl Service {
    /// Tells whether a call may be repeated, by the longest prefix that matches.
    pub fn repeatable(&self, method: &str, path: &str) -> bool {
        self.routes
            .iter()
            .filter(|r| *r.method == *method && path.starts_with(&*r.prefix))
            .max_by_key(|r| r.prefix.len())
            .is_some_and(|r| r.repeatable)
    }
}

/// Which calls of a service may be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRoute {
    /// The HTTP method, upper case.
    pub method: Box<str>,
    /// A path prefix after `/services/NAME`, starting with `/`.
    pub prefix: Box<str>,
    /// Whether a call may run twice.
    pub repeatable: bool,
}

/// Weights of the decisions, different for each deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// When an idle model is unloaded.
    pub keep: KeepPolicy,
    /// What the weight store allows.
    pub weight_store: WeightStore,
    /// Requests one engine runs at once; more wait in the agent.
    pub engine_concurrency: u16,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            keep: KeepPolicy::default(),
            weight_store: WeightStore::default(),
            engine_concurrency: 16,
        }
    }
}

/// How tail cold start is weighed against idle accelerator hours.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KeepPolicy {
    /// How many idle accelerator seconds one second of cold start is worth. Larger keeps longer.
    pub cold_start_weight: f64,
    /// An idle model is kept at least so long, in milliseconds.
    pub min_idle_ms: u32,
    /// An idle model is kept at most so long, in milliseconds.
    pub max_idle_ms: u32,
}

impl Default for KeepPolicy {
    fn default() -> Self {
        Self {
            cold_start_weight: 4.0,
            min_idle_ms: 5_000,
            max_idle_ms: 600_000,
        }
    }
}

/// What the weight store allows to all targets together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WeightStore {
    /// Loads that may start a second.
    pub loads_per_second: f64,
    /// Loads that run at full speed at once.
    pub full_speed_loads: u16,
}

impl Default for WeightStore {
    fn default() -> Self {
        Self {
            loads_per_second: 1.5,
            full_speed_loads: 4,
        }
    }
}
