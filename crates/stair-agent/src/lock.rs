//! A lock that admits one agent at a time for each engine or plain service.
//!
//! If a replacement started while the old process still exists, running or paused, both would send
//! orders to one engine from two ledgers of its memory, and together overfill it. The lock is the
//! exclusive bind of an abstract socket name, which the kernel frees exactly when the process ends,
//! by whatever cause. The socket carries no data and leaves no file behind.

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

/// The lock, which is released on drop or at the end of the process.
#[derive(Debug)]
pub(crate) struct Lock {
    _socket: UnixListener,
}

/// Acquires the lock of the engine or plain service at an address.
///
/// # Errors
///
/// Fails when another agent of the same target runs on this VM.
pub(crate) fn take(target: SocketAddr) -> io::Result<Lock> {
    let name = format!("dandelionstair-agent-{target}");
    let addr = UnixAddr::from_abstract_name(name)?;
    Ok(Lock {
        _socket: UnixListener::bind_addr(&addr)?,
    })
}
