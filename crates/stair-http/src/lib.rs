//! HTTP on both sides by hyper, with the bounds that every part needs.
//!
//! - [`client`]: a pool of connections to one address that never reuses a doubtful connection.
//! - [`server`]: a bounded listener with a graceful stop.
//! - [`body`]: bodies made of channels, and bounded reading.
//! - [`error`]: the API's error JSON, with verdict and time to come back.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod body;
pub mod client;
pub mod error;
pub mod server;

pub use body::Body;
pub use client::Client;
