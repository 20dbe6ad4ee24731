use std::{
    io,
    net::{SocketAddr, SocketAddrV4},
};

use tokio::net::UdpSocket;

use crate::udp;

/// A non-blocking UDP socket of a packet loop.
#[derive(Debug)]
pub struct PacketSocket {
    socket: UdpSocket,
}

impl PacketSocket {
    /// Maximum size of a received datagram, in bytes: a packet and the message header before it.
    pub(super) const MAX_DATAGRAM_BYTES: usize = 2_048;

    /// Maximum number of datagrams read from one socket before the other sockets are polled.
    pub(super) const MAX_RECEIVE_BATCH: usize = 64;

    /// Binds a socket. Must be called from within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(address: SocketAddrV4) -> io::Result<Self> {
        let socket = UdpSocket::from_std(udp::bind(address)?)?;
        Ok(Self { socket })
    }

    /// Waits until the socket is readable.
    pub(super) async fn readable(&self) {
        if let Err(err) = self.socket.readable().await {
            tracing::warn!(%err, "socket_wait_failed");
        }
    }

    /// Receives a datagram if one is available.
    pub(super) fn try_receive<'a>(&self, buf: &'a mut [u8]) -> Option<&'a mut [u8]> {
        match self.socket.try_recv(buf) {
            Ok(length) => buf.get_mut(..length),
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => None,
            Err(err) => {
                tracing::warn!(%err, "receive_failed");
                None
            }
        }
    }

    /// Sends a datagram. Returns `false` if the kernel did not accept it.
    pub(super) fn send(&self, bytes: &[u8], to: SocketAddrV4) -> bool {
        self.socket.try_send_to(bytes, SocketAddr::V4(to)).is_ok()
    }
}
