//! What a process tells its operator.
//!
//! - [`log`]: short sentences with a fixed prefix a part, by spdlog-rs to standard error.
//! - [`event`]: structured lines to standard output, bounded, never blocking.
//! - [`explain`]: one request's story out of those lines.
//! - [`losses`]: what clients did not get in time, out of those lines.
//! - [`metrics`]: counters, gauges and timers, by cadence to statsd.
//! - [`page`]: counters and histograms as text that a collector reads.
//! - [`observe`]: the listener of a process that takes no orders, with metrics and state dump.
//! - [`operator`]: the operator's HTTP listener with state dump, status and planned stop.
//!
//! # Examples
//!
//! ```
//! use stair_telemetry::{Part, info};
//!
//! info!(Part::Grants, "shard {} now has {} grants", 3, 12);
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod event;
pub mod explain;
pub mod log;
pub mod losses;
pub mod metrics;
pub mod observe;
pub mod operator;
pub mod page;

pub use log::Part;
pub use metrics::Metrics;
