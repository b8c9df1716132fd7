//! UDP sockets of links.

use std::{
    io,
    net::{
        SocketAddr,
        UdpSocket, //
    },
    sync::Arc,
};

use quinn::{
    Endpoint,
    EndpointConfig,
    ServerConfig,
    TokioRuntime, //
};
use socket2::SockRef;

/// Size of the kernel's send and receive buffers of a socket in bytes, for some thousand datagrams.
///
/// The kernel's default holds about a hundred datagrams. When the process is not scheduled for some
/// milliseconds, more arrive and are dropped. QUIC treats the loss as congestion and reduces its
/// rate, and requests take seconds. If the system's limit (`net.core.rmem_max`) is lower, the
/// kernel uses that limit.
const BUFFER_BYTES: usize = 4 << 20;

/// Binds a socket and returns an endpoint on it, which accepts links only with a `server`
/// configuration.
pub(crate) fn endpoint(addr: SocketAddr, server: Option<ServerConfig>) -> io::Result<Endpoint> {
    let socket = UdpSocket::bind(addr)?;
    let options = SockRef::from(&socket);
    options.set_recv_buffer_size(BUFFER_BYTES)?;
    options.set_send_buffer_size(BUFFER_BYTES)?;
    let runtime = Arc::new(TokioRuntime);
    Endpoint::new(EndpointConfig::default(), server, socket, runtime)
}
