//! Logs, metrics and the HTTP listeners for operators.
//!
//! - [`log`]: free-text logs with a prefix per component, by spdlog-rs to standard error.
//! - [`event`]: structured log lines to standard output, rate-limited and never blocking.
//! - [`explain`]: the timeline of one request, from the lines of [`event`].
//! - [`losses`]: late and failed requests by route and reason, from the lines of [`event`].
//! - [`metrics`]: counters, gauges and timers, by cadence to statsd.
//! - [`page`]: counters, gauges and histograms as text for a collector.
//! - [`observe`]: a read-only HTTP listener with metrics and state dump.
//! - [`operator`]: the operator's HTTP listener with status, state dump and drain.
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
