//! The edge to the platform's object API.
//!
//! - [`types`]: kinds of objects, their values and the errors of a call.
//! - [`apply`]: puts a catalogue in force as a whole.
//! - [`load`]: reads the configuration in force.
//! - [`store`]: the trait at the edge of a process, [`ObjectStore`].
//! - [`http`]: the store that speaks the platform's HTTP API, [`HttpStore`].
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod apply;
pub mod http;
pub mod load;
pub mod store;
pub mod types;

pub use http::HttpStore;
pub use store::ObjectStore;
pub use types::{
    ChunkRef,
    Claim,
    ClaimShard,
    Condition,
    Error,
    Event,
    IncarnationRecord,
    Kind,
    Manifest,
    Object,
    Page,
    Snapshot,
    TargetKind,
    Vm,
    VmRole,
    VmState, //
};
