//! The agent beside a model engine that announces itself in the store.
//!
//! It alone orders its engine. Requests do not pass through it: entries send them straight to the
//! engine, so that a dead agent costs no sound engine.
//!
//! - [`quotas`]: counts the allowances of workspaces for all entries.
//! - [`controller`]: what the engine holds, what is asked for, and the next order; without input or output.
//! - [`engine`]: readings of the engine and orders to it.
//! - [`fence`]: raises the fencing token in the store.
//! - [`links`]: the connections of entries.
//! - [`quarantine`]: requests that end the targets that run them, for all entries.
//! - [`usage`]: how much each model and adapter is used, by all entries.
//! - [`process`]: start, main loop, stop.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod controller;
pub mod engine;
pub mod fence;
pub mod links;
pub mod process;
pub mod quarantine;
pub mod quotas;
pub mod usage;
