//! Links between dandelionstair's own processes: QUIC with mutual TLS.
//!
//! - [`keys`]: certificates of the authority that all processes trust.
//! - [`listener`]: accepts links.
//! - [`dialer`]: opens links, and switches to a new local port after one became unresponsive.
//! - [`link`](mod@link): one link, with probes while it is in use.
//! - [`pool`]: links to many addresses, opened on demand and closed when idle.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod dialer;
pub mod keys;
pub mod link;
pub mod listener;
pub mod pool;
mod socket;

pub use dialer::Dialer;
pub use keys::Keys;
pub use link::Link;
pub use listener::Listener;
pub use pool::Pool;
pub use quinn::{
    RecvStream,
    SendStream, //
};

/// The reason why a link or a stream on it failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The keys cannot be read, parsed or generated, or do not match each other.
    #[error("the keys cannot be used: {0}")]
    Keys(Box<str>),
    /// The local socket failed.
    #[error("the socket failed: {0}")]
    Io(#[from] std::io::Error),
    /// The link could not be opened.
    #[error("no link to {addr}: {cause}")]
    Connect {
        /// The address of the peer.
        addr: std::net::SocketAddr,
        /// The error text of the transport.
        cause: Box<str>,
    },
    /// The link was closed or became unresponsive.
    #[error("the link is closed: {0}")]
    Closed(#[from] quinn::ConnectionError),
}
