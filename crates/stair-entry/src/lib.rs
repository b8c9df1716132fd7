//! The entry: the process that clients reach. It forwards callers' requests to agents and shares the
//! control work with the other entries.
//!
//! - [`control`]: the state of the deployment, and the entry's share of the control work.
//! - [`process`]: the whole entry, its start and its planned stop.
//! - [`traffic`]: callers' requests, from the socket to an agent and back.
//! - [`view`]: the picture of the deployment that control publishes and traffic reads.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod control;
mod metered;
pub mod process;
pub mod traffic;
pub mod view;

pub use process::{
    Addresses,
    Entry,
    run, //
};
pub use view::{
    TargetView,
    View, //
};
