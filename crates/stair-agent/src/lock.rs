//! One agent at a time for each engine or plain service.
//!
//! A replacement that starts while the old process lives, paused or not, would order the same
//! engine: two processes would keep two ledgers of one memory, and the old one, once it wakes up,
//! would load beyond both. The lock is the exclusive bind of an abstract socket name, which the
//! kernel frees when the process has ended and not before, whatever ended it. Nothing is ever sent
//! on the socket, and no file is left behind.

use std::{
    io,
    net::SocketAddr,
    os::{
        linux::net::SocketAddrExt,
        unix::net::{
            SocketAddr as UnixAddr,
            UnixListener, //
        },
    },
};

/// Held for the agent's life.
#[derive(Debug)]
pub(crate) struct Lock {
    _socket: UnixListener,
}

/// Takes the lock of the engine or service at an address.
///
/// # Errors
///
/// When another agent of it lives on this VM.
pub(crate) fn take(target: SocketAddr) -> io::Result<Lock> {
    let name = format!("dandelionstair-agent-{target}");
    let addr = UnixAddr::from_abstract_name(name)?;
    Ok(Lock {
        _socket: UnixListener::bind_addr(&addr)?,
    })
}
