//! The client of the platform's object API.
//!
//! - [`apply`]: puts a catalogue in force atomically.
//! - [`eras`]: the newest era that a process knows.
//! - [`http`]: [`HttpStore`], the client of the platform's HTTP API.
//! - [`load`]: reads the configuration in force.
//! - [`store`]: [`ObjectStore`], the trait of the object API.
//! - [`types`]: the kinds of objects, their values and the errors of a call.
//! - [`wire`]: the JSON of objects and pages in replies.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod apply;
pub mod eras;
pub mod http;
pub mod load;
pub mod store;
pub mod types;
pub mod wire;

pub use eras::Eras;
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
