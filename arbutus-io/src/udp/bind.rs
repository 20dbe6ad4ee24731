use std::{
    io,
    net::{SocketAddr, SocketAddrV4, UdpSocket},
};

use socket2::{Domain, Protocol, Socket, Type};

/// Receive and send buffer asked of the kernel, in bytes.
const BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Binds a UDP socket of its own.
///
/// # Errors
///
/// Fails where the address cannot be bound.
pub fn bind(address: SocketAddrV4) -> io::Result<UdpSocket> {
    bind_with(address, false)
}

/// Binds a UDP socket that shares its address with others of this process.
///
/// The kernel spreads what arrives over them.
///
/// # Errors
///
/// Fails where the address cannot be bound.
pub fn bind_shared(address: SocketAddrV4) -> io::Result<UdpSocket> {
    bind_with(address, true)
}

fn bind_with(address: SocketAddrV4, shared: bool) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    // The kernel may grant less; that costs packets under a burst and nothing else.
    let _ = socket.set_recv_buffer_size(BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(BUFFER_BYTES);
    socket.set_reuse_port(shared)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::V4(address).into())?;
    Ok(socket.into())
}
