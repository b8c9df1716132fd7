//! A whole small deployment in one process, over loopback, with the stand-ins.
//!
//! `dandelionstair dev` runs it, and so do the benchmark and the tests that need no separate
//! processes.
//!
//! - [`deployment`]: starts and stops the parts.
//! - [`loopback`]: addresses, keys and VMs of its parts.
//! - [`sample`]: the sample catalogue and its callers' keys.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod deployment;
pub mod loopback;
pub mod sample;

pub use deployment::{
    Deployment,
    Options, //
};
