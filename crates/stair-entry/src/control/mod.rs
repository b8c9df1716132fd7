//! The control half of an entry, on a dedicated thread.
//!
//! - [`state`]: the entry's copy of the platform's objects; `derive` makes the view from it, and
//!   `restored` says what a copy that the platform has come back from changes.
//! - [`propose`]: proposes changes of grants, as a pure function of the state.
//! - [`assignment`]: derives an agent's assignment from the state.
//! - [`msg`]: the messages to the actor.
//! - [`actor`]: the actor that owns the state and publishes the view. Its methods are also in
//!   `agents`, `memory_pressure`, `writes` and `report`; `migration` tracks grants that migrate.
//! - [`feed`]: lists and watches the platform, or queries `peers` while it is down.
//! - [`shards`]: conditional updates of the shards of grants.
//! - [`links`]: serves the links that agents and other entries open.
//! - [`load_slots`]: schedules loads at the weight store.
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
mod restored;
pub mod shards;
pub mod state;
pub mod thread;
mod writes;

pub use thread::{
    Control,
    Options, //
};
