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

/// Bytes of datagrams that the kernel holds for a socket.
///
/// The kernel's default holds about a hundred datagrams. When the process does not get a core for
/// some milliseconds, more arrive and are lost; QUIC takes that for congestion, sends less, and
/// requests take seconds. This is some thousand datagrams. The system's own limit may be lower
/// (`net.core.rmem_max`); the kernel takes that then.
const BUFFER_BYTES: usize = 4 << 20;

/// Binds a socket and makes the endpoint on it; without a server configuration it takes no links.
pub(crate) fn endpoint(addr: SocketAddr, server: Option<ServerConfig>) -> io::Result<Endpoint> {
    let socket = UdpSocket::bind(addr)?;
    let options = SockRef::from(&socket);
    options.set_recv_buffer_size(BUFFER_BYTES)?;
    options.set_send_buffer_size(BUFFER_BYTES)?;
    let runtime = Arc::new(TokioRuntime);
    Endpoint::new(EndpointConfig::default(), server, socket, runtime)
}
