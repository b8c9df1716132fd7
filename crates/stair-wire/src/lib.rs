//! The messages between dandelionstair's own processes and their framing.
//!
//! - [`request`]: one request on one stream, entry to agent: offer, ready, start, response.
//! - [`control`]: the control streams of an agent or an entry to an entry.
//! - [`frame`]: length-delimited frames on any byte stream, with a limit on every size.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod control;
pub mod frame;
pub mod request;

/// The version of these messages. The handshake refuses a link whose ends differ in it.
pub const PROTOCOL: &str = "stair/1";
