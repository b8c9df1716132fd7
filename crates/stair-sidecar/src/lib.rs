//! The agent beside a model engine that announces itself in the store.
//!
//! Only the agent sends orders to its engine. Clients' requests do not pass through it: entries send
//! them to the engine directly, so a failed agent does not take a healthy engine out of service.
//!
//! - [`process`]: start, main loop, stop.
//! - [`controller`]: the engine's loaded models, the load requests and the next order; no I/O.
//! - [`usage`]: the use of each model and adapter by all entries.
//! - [`engine`]: readings of the engine and orders to it.
//! - [`fence`]: raises the fencing token in the store.
//! - [`links`]: the connections of entries.
//! - [`availability`]: whether the engine drains or wants no requests for some time.
//! - [`limits`]: counts the limits that targets name, for all entries.
//! - `origins`: keeps what began each stream, for all entries.
//! - [`quotas`]: counts the quotas of workspaces for all entries.
//! - [`quarantine`]: the ledger of requests that crash targets, for all entries.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod availability;
pub mod controller;
pub mod engine;
pub mod fence;
pub mod limits;
pub mod links;
mod origins;
pub mod process;
pub mod quarantine;
pub mod quotas;
pub mod usage;
