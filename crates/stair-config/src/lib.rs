//! What operators declare, as checked types.
//!
//! - [`types`]: the catalogue of models, adapters, tiers, callers, services and policy weights.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod types;

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
