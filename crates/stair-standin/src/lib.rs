//! Stand-ins for what dandelionstair talks to, with faults on command and records of their own.
//!
//! - [`platform`]: the platform's object API.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod platform;
mod server;

pub use platform::Platform;
