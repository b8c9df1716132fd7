//! Stand-ins for what dandelionstair talks to, with faults on command and records of their own.
//!
//! - [`platform`]: the platform's object API.
//! - [`memory`]: its objects without the network, for tests of one part.
//! - [`engine`]: a model engine.
//! - [`service`]: a plain service.
//! - [`proxy`]: TCP and UDP proxies that cut, delay and swallow.
//! - [`server`]: how engines and services reject calls.
//! - [`recorder`]: what engines and services did, for checks that do not ask the project.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod engine;
pub mod memory;
pub mod platform;
pub mod proxy;
pub mod recorder;
pub mod server;
pub mod service;

pub use engine::Engine;
pub use platform::Platform;
pub use proxy::{
    TcpProxy,
    UdpProxy, //
};
pub use recorder::Recorder;
pub use service::Service;
