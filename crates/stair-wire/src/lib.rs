//! The messages between dandelionstair's own processes, and how they are framed.
//!
//! - [`request`]: one request on one stream, entry to agent: offer, ready, start, answer.
//! - [`control`]: the control stream of an agent's link to an entry, and of one entry to another.
//! - [`frame`]: length-delimited frames on any byte stream, with a limit on every size.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod control;
pub mod frame;
pub mod request;

/// The version of these messages; a link whose ends differ is refused at the handshake.
pub const PROTOCOL: &str = "stair/1";
