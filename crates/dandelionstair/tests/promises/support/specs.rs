//! What a world is made of: its size, tiers and models, and how they are declared.

use std::time::Duration;

use serde_json::{
    Value,
    json, //
};
use stair_config::chunks::sha256_hex;
use stair_standin::engine;

/// The key of a caller of the better tier.
pub(crate) const INTERACTIVE_KEY: &str = "interactive-key";

/// The key of a caller of the lower tier.
pub(crate) const BATCH_KEY: &str = "batch-key";

/// What a world is like.
pub(crate) struct Options {
    /// Entries.
    pub(crate) entries: usize,
    /// Engines, each with an agent.
    pub(crate) engines: usize,
    /// Targets of the plain service `lookup`.
    pub(crate) services: usize,
    /// What the engines are like; names are set here.
    pub(crate) engine: engine::Options,
    /// Declared models.
    pub(crate) models: Vec<ModelSpec>,
    /// Requests one engine runs at once.
    pub(crate) concurrency: u16,
    /// Time an idle model is kept at least and at most.
    pub(crate) keep_idle: Duration,
    /// More settings of agents, as the fields of `limits`.
    pub(crate) agent_limits: Value,
    /// More settings of entries, as the fields of `limits`.
    pub(crate) entry_limits: Value,
    /// The tiers by rank, with a caller each.
    pub(crate) tiers: Vec<TierSpec>,
    /// Requests and answers pass no proxy, so that a measurement shows the processes alone.
    pub(crate) direct: bool,
}

/// A tier to declare, and its caller's key.
#[derive(Clone)]
pub(crate) struct TierSpec {
    pub(crate) name: Box<str>,
    pub(crate) key: Box<str>,
    pub(crate) floor_percent: u8,
    pub(crate) timeout: Duration,
    pub(crate) max_waiting: u32,
}

impl TierSpec {
    /// A tier with a timeout of 30 s.
    pub(crate) fn new(name: &str, key: &str, floor_percent: u8) -> Self {
        Self {
            name: name.into(),
            key: key.into(),
            floor_percent,
            timeout: Duration::from_secs(30),
            max_waiting: 1_000,
        }
    }
}

/// A model to declare.
#[derive(Clone)]
pub(crate) struct ModelSpec {
    pub(crate) name: Box<str>,
    pub(crate) memory_mib: u32,
    pub(crate) replicas: u16,
    pub(crate) repeatable: bool,
}

impl ModelSpec {
    /// A repeatable model of 10,000 MiB.
    pub(crate) fn new(name: &str, replicas: u16) -> Self {
        Self {
            name: name.into(),
            memory_mib: 10_000,
            replicas,
            repeatable: true,
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            entries: 2,
            engines: 2,
            services: 0,
            engine: engine::Options::default(),
            models: vec![ModelSpec::new("m", 1)],
            concurrency: 16,
            keep_idle: Duration::from_secs(600),
            agent_limits: json!({}),
            entry_limits: json!({ "drain_linger_ms": 0 }),
            tiers: vec![
                TierSpec::new("interactive", INTERACTIVE_KEY, 50),
                TierSpec::new("batch", BATCH_KEY, 10),
            ],
            direct: false,
        }
    }
}

pub(super) fn model(spec: &ModelSpec) -> Value {
    json!({
        "name": spec.name, "version": "1", "memory_mib": spec.memory_mib,
        "replicas": spec.replicas, "repeatable": spec.repeatable, "adapters": [],
    })
}

pub(super) fn tier(spec: &TierSpec, rank: u8) -> Value {
    json!({
        "name": spec.name, "rank": rank, "floor_percent": spec.floor_percent,
        "timeout_ms": spec.timeout.as_millis() as u64, "max_waiting": spec.max_waiting,
    })
}

pub(super) fn caller(spec: &TierSpec) -> Value {
    json!({
        "name": spec.name, "tier": spec.name, "key_sha256": sha256_hex(spec.key.as_bytes()),
    })
}
