//! HTTP/1.1 client and server on hyper, with limits on time, size and connections.
//!
//! - [`client`]: a connection pool for one address; it never reuses a connection whose state is
//!   unknown.
//! - [`server`]: a listener with a connection limit and graceful shutdown.
//! - [`connections`]: the open connections of a listener, and which give way; [`throttle`]: how many
//!   new ones the processor can serve.
//! - [`counted`]: a client's connection that counts what passes, and bounds the heads of responses.
//! - [`probe`]: whether a server has ended.
//! - [`body`]: channel-fed bodies, and reading with limits on size and time.
//! - [`error`]: error responses of the API, with the verdict and the time after which to retry.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod body;
pub mod client;
pub mod connections;
pub mod counted;
pub mod error;
pub mod probe;
pub mod server;
pub mod throttle;

pub use body::Body;
pub use client::Client;
