//! The process beside each target, and the only one that orders its engine.
//!
//! The way of a request: [`links`] accepts the stream, `offers` reads the offer, `control` decides
//! when it may run, `run` runs it at the target, `responses` keeps the answer, and `resume` finds it
//! again after a link broke.
//!
//! - [`start`]: the whole agent, from the exclusive bind to the end of a graceful stop.
//! - [`dump`]: the state of the agent as the operator sees it.
//! - [`assignment`]: which grants and models are in force; versions only rise.
//! - [`items`]: keys of what requests need, and what runs and loads of it took.
//! - [`victims`]: what to unload when a load needs room.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod admit;
mod bootstrap;
mod control;
mod control_links;
mod engine;
mod incarnation;
mod links;
mod load_slot;
mod loads;
mod lock;
mod memory_pressure;
mod metrics;
mod msg;
mod offers;
mod operator;
mod options;
mod orders;
mod pending_offers;
mod reconcile;
mod refuse;
mod responses;
mod resume;
mod run;
mod slots;

pub mod assignment;
pub mod dump;
pub mod items;
pub mod start;
pub mod victims;

pub use start::{
    Agent,
    run, //
};
