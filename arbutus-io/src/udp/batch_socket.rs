use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::Arc,
};

use quinn_udp::{Transmit, UdpSocketState};
use tokio::io::Interest;

/// A UDP socket together with the batching features that the kernel supports for it.
///
/// Clones share the socket.
#[derive(Debug, Clone)]
pub struct BatchSocket {
    io: Arc<tokio::net::UdpSocket>,
    state: Arc<UdpSocketState>,
}

impl BatchSocket {
    /// Registers a bound, non-blocking socket with the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket's options cannot be set or it cannot be registered.
    pub fn new(socket: UdpSocket) -> io::Result<Self> {
        let state = UdpSocketState::new((&socket).into())?;
        Ok(Self {
            io: Arc::new(tokio::net::UdpSocket::from_std(socket)?),
            state: Arc::new(state),
        })
    }

    /// Returns the underlying socket.
    #[must_use]
    pub const fn io(&self) -> &Arc<tokio::net::UdpSocket> {
        &self.io
    }

    /// Returns the batching features that the kernel supports for the socket.
    #[must_use]
    pub fn state(&self) -> &UdpSocketState {
        &self.state
    }

    /// Waits until the socket may be readable.
    ///
    /// # Errors
    ///
    /// Returns the socket's error.
    pub async fn readable(&self) -> io::Result<()> {
        self.io.readable().await
    }

    /// Receives with `receive`, which must return [`io::ErrorKind::WouldBlock`] if no datagram is
    /// available.
    ///
    /// # Errors
    ///
    /// Returns the error of `receive`, or [`io::ErrorKind::WouldBlock`] if the socket is not
    /// readable.
    pub fn try_receive<T>(&self, receive: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
        self.io.try_io(Interest::READABLE, receive)
    }

    /// Sends one transmit, segmented or not.
    ///
    /// # Errors
    ///
    /// Returns the socket's error. It is [`io::ErrorKind::WouldBlock`] if the socket's buffer is
    /// full; the socket becomes writable again when there is space.
    pub fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        self.io.try_io(Interest::WRITABLE, || {
            self.state.send((&*self.io).into(), transmit)
        })
    }

    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// Returns the socket's error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }
}
