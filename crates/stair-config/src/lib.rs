//! What operators declare, as checked types.
//!
//! - [`settings`]: one process's own settings.
//! - [`types`]: the catalogue of models, adapters, tiers, callers, services and policy weights.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod settings;
pub mod types;

pub use settings::{
    AgentLimits,
    AgentSettings,
    EntryLimits,
    EntrySettings,
    LogLevel,
    TargetSettings,
    TelemetrySettings,
    TlsSettings, //
};
pub use types::{
    Adapter,
    Caller,
    Catalogue,
    KeepPolicy,
    Model,
    Policy,
    Service,
    ServiceRoute,
    Tier,
    WeightStore, //
};
