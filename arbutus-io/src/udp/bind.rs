use std::{
    io,
    net::{SocketAddr, SocketAddrV4, UdpSocket},
};

use socket2::{Domain, Protocol, Socket, Type};

/// Requested size of the kernel's receive and send buffers, in bytes.
const SOCKET_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Binds a UDP socket that is the only one at its address.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn bind(address: SocketAddrV4) -> io::Result<UdpSocket> {
    bind_with(address, false)
}

/// Binds a UDP socket that shares its address with other sockets of this process.
///
/// The kernel distributes received datagrams among them.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn bind_shared(address: SocketAddrV4) -> io::Result<UdpSocket> {
    bind_with(address, true)
}

fn bind_with(address: SocketAddrV4, shared: bool) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    // The kernel may grant smaller buffers; the only effect is that bursts lose more packets.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    socket.set_reuse_port(shared)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::V4(address).into())?;
    Ok(socket.into())
}
