//! Reads and checks the files of operators: declarations and the settings of processes.
//!
//! - [`settings`]: the settings of one entry or agent; [`read_settings`] reads and checks them.
//! - [`fleet_settings`]: the settings of one relay or sidecar, with their checks.
//! - [`types`]: the catalogue of models, adapters, tiers, callers, services and policy weights.
//! - [`declarations`]: reads a directory of YAML files into a catalogue.
//! - [`chunks`]: splits a catalogue into values for the platform, and joins them again.
//! - [`diff`]: the difference between two catalogues.
//! - [`problem`]: errors in a file, each with its place, the value found and the values allowed.
//! - [`yaml`]: YAML text as a tree with line numbers.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod check;
pub mod chunks;
pub mod declarations;
pub mod diff;
mod fields;
pub mod fleet_settings;
pub mod problem;
pub mod read_settings;
pub mod settings;
pub mod types;
pub mod yaml;

pub use declarations::Declarations;
pub use problem::{
    Place,
    Problem,
    Problems, //
};

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
pub use yaml::Document;
