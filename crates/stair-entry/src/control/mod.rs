//! The control half of an entry, on one thread of its own.
//!
//! - [`state`]: what is known of the platform's objects; versions in it only rise; `derive` makes the
//!   view of it.
//! - [`propose`]: which grants should change, as a pure function of the state.
//! - [`assignment`]: what one agent may hold, derived from the state.
//! - [`msg`]: what control handles.
//! - [`actor`]: the actor that owns the state and publishes the view; `agents`, `memory_pressure`,
//!   `migration`, `writes` and `report` are parts of it.
//! - [`feed`]: lists and watches the platform, or asks peers (`peers`) while it is down.
//! - [`shards`]: conditional updates of the grants.
//! - [`links`]: serves agents and other entries that open links.
//! - [`load_slots`]: turns at the weight store.
//! - [`thread`](mod@thread): runs all of these on one thread.

pub mod actor;
mod agents;
pub mod assignment;
mod derive;
pub mod feed;
pub mod links;
pub mod load_slots;
mod memory_pressure;
mod migration;
pub mod msg;
mod peers;
pub mod propose;
mod report;
pub mod shards;
pub mod state;
pub mod thread;
mod writes;

pub use thread::{
    Control,
    Options, //
};
