use std::{
    io,
    net::{SocketAddr, SocketAddrV4},
};

use tokio::net::UdpSocket;

use crate::udp;

/// A UDP socket of a packet loop.
#[derive(Debug)]
pub struct PacketSocket {
    socket: UdpSocket,
}

impl PacketSocket {
    /// Longest datagram that is read, in bytes: a packet, and what goes ahead of it.
    pub(super) const MAX_DATAGRAM_BYTES: usize = 2_048;

    /// Datagrams that are read in a row before other sockets have their turn.
    pub(super) const MAX_RECEIVE_BATCH: usize = 64;

    /// Binds a socket; must be called within a runtime.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
    pub fn bind(address: SocketAddrV4) -> io::Result<Self> {
        let socket = UdpSocket::from_std(udp::bind(address)?)?;
        Ok(Self { socket })
    }

    pub(super) async fn readable(&self) {
        if let Err(err) = self.socket.readable().await {
            tracing::warn!(%err, "socket_wait_failed");
        }
    }

    /// Reads a datagram, where one is there.
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

    /// Sends a datagram; gives `false` where the kernel did not take it.
    pub(super) fn send(&self, bytes: &[u8], to: SocketAddrV4) -> bool {
        self.socket.try_send_to(bytes, SocketAddr::V4(to)).is_ok()
    }
}
