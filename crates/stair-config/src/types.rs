//! The catalogue: the whole configuration that one apply puts in force, as checked types.
//!
//! All vectors are sorted by name (tiers by rank) without duplicates, so look-ups are binary
//! searches. `TryFrom<Declarations>` and [`chunks::join`](crate::chunks::join) establish the order.

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

/// The whole configuration that one apply puts in force.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalogue {
    /// Sorted by name.
    pub models: Vec<Model>,
    /// Sorted by rank; ranks count up from 0 without gaps.
    pub tiers: Vec<Tier>,
    /// Sorted by key hash.
    pub callers: Vec<Caller>,
    /// Sorted by name.
    pub services: Vec<Service>,
    /// Parameters of scheduling decisions.
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
    /// The value of `model` in callers' requests.
    pub name: ModelName,
    /// The checkpoint's version in the weight store.
    pub version: Box<str>,
    /// Accelerator memory of one replica, in MiB.
    pub memory_mib: u32,
    /// Maximum number of replicas loaded at once, at least 1.
    pub replicas: u16,
    /// Whether a request may run twice. A caller may override it for each request.
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

/// An adapter of a base model. Requests select it by `model/adapter`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Unique within the base model.
    pub name: AdapterName,
    /// The adapter's version in the weight store.
    pub version: Box<str>,
    /// Accelerator memory in addition to that of the base model, in MiB.
    pub memory_mib: u32,
}

/// A priority tier and its limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Unique in the catalogue; callers refer to it.
    pub name: TierName,
    /// 0 is served first.
    pub rank: TierRank,
    /// Minimum share of a saturated queue for this tier, in percent, which prevents starvation.
    pub floor_percent: u8,
    /// Timeout of a request that sets none, in milliseconds.
    pub timeout_ms: u32,
    /// Maximum number of requests of this tier that wait at one target.
    pub max_waiting: u32,
}

/// A caller, identified by its key, and its tier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The caller's name, for logs and metrics.
    pub name: CallerName,
    /// SHA-256 of the caller's key, lower-case hexadecimal. The key itself is never declared.
    pub key_sha256: Box<str>,
    /// Name of a declared tier.
    pub tier: TierName,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Requests reach the service under `/services/NAME/`.
    pub name: ServiceName,
    /// Maximum number of calls that one target runs at once.
    pub concurrency: u16,
    /// Sorted by method and prefix. The longest matching prefix decides; without a match a call is
    /// not repeatable.
    pub routes: Vec<ServiceRoute>,
}

impl Service {
    /// Returns whether a call may be repeated, by the longest matching prefix.
    pub fn repeatable(&self, method: &str, path: &str) -> bool {
        self.routes
            .iter()
            .filter(|r| *r.method == *method && path.starts_with(&*r.prefix))
            .max_by_key(|r| r.prefix.len())
            .is_some_and(|r| r.repeatable)
    }
}

/// Whether calls of one method and path prefix may be repeated.
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

/// Parameters of scheduling decisions, different for each deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Rules for unloading idle models.
    pub keep: KeepPolicy,
    /// Limits of the weight store.
    pub weight_store: WeightStore,
    /// Maximum number of requests that one engine runs at once; others wait in the agent.
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

/// Trade-off between cold starts and idle accelerator time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KeepPolicy {
    /// Idle accelerator seconds that are worth one second of cold start. A larger value keeps idle
    /// models longer.
    pub cold_start_weight: f64,
    /// Minimum time for which an idle model stays loaded, in milliseconds.
    pub min_idle_ms: u32,
    /// Maximum time for which an idle model stays loaded, in milliseconds.
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

/// Limits of the weight store for all targets together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WeightStore {
    /// Maximum number of loads that start in one second.
    pub loads_per_second: f64,
    /// Number of concurrent loads up to which each runs at full speed.
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
