//! The entry: takes callers' requests and brings them to the agents, and shares the control work
//! with the other entries.
//!
//! - [`control`]: what this entry knows, and the control work that it shares with others.
//! - [`process`]: the whole entry, its start and its planned stop.
//! - [`traffic`]: callers' requests, from the socket to an agent and back.
//! - [`view`]: what control publishes and traffic reads.
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
