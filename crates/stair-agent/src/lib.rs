//! The agent: the process beside each target, and the only one that sends orders to its engine.
//!
//! A request passes through these modules: `links` accepts its stream, `offers` reads the offer,
//! `control` decides when it runs, `run` runs it at the target, `responses` buffers the response,
//! and `resume` serves the buffered response after a link broke. `limit` spaces the runs if the
//! target names a limit, `availability` withholds them while it shuts down or asks for a backoff, `version`
//! refuses what another software version began, `crash` finds out whether the target crashed during a run, and
//! `quarantine` keeps a ledger of crashes for all entries.
//!
//! - [`start`]: start, operation and graceful stop of an agent.
//! - [`dump`]: the state of an agent for the operator.
//! - [`assignment`]: the grants and the configuration in force, whose versions only rise.
//! - [`items`]: keys of models and adapters, and estimates of their run and load times.
//! - [`victims`]: the choice of models to unload when a load needs memory.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod admit;
mod availability;
mod bootstrap;
mod control;
mod control_links;
mod crash;
mod engine;
mod incarnation;
mod limit;
mod links;
mod load_quarantine;
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
mod quarantine;
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
mod version;
pub mod victims;

pub use start::{
    Agent,
    run, //
};
