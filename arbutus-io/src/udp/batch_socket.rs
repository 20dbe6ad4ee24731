use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::Arc,
};

use quinn_udp::{Transmit, UdpSocketState};
use tokio::io::Interest;

/// A UDP socket with what the kernel can do for it in batches.
///
/// Copies are one socket.
#[derive(Debug, Clone)]
pub struct BatchSocket {
    io: Arc<tokio::net::UdpSocket>,
    state: Arc<UdpSocketState>,
}

impl BatchSocket {
    /// Takes a bound, non-blocking socket into the current runtime.
    ///
    /// # Errors
    ///
    /// Fails where the socket's options cannot be set.
    pub fn new(socket: UdpSocket) -> io::Result<Self> {
        let state = UdpSocketState::new((&socket).into())?;
        Ok(Self {
            io: Arc::new(tokio::net::UdpSocket::from_std(socket)?),
            state: Arc::new(state),
        })
    }

    /// The socket itself.
    #[must_use]
    pub const fn io(&self) -> &Arc<tokio::net::UdpSocket> {
        &self.io
    }

    /// What the kernel can do for the socket.
    #[must_use]
    pub fn state(&self) -> &UdpSocketState {
        &self.state
    }

    /// Waits until there may be something to receive.
    ///
    /// # Errors
    ///
    /// Fails as the socket does.
    pub async fn readable(&self) -> io::Result<()> {
        self.io.readable().await
    }

    /// Receives with `receive`, which must give [`io::ErrorKind::WouldBlock`] where nothing is
    /// there.
    ///
    /// # Errors
    ///
    /// Fails as `receive` does.
    pub fn try_receive<T>(&self, receive: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
        self.io.try_io(Interest::READABLE, receive)
    }

    /// Sends one transmit, segmented or not.
    ///
    /// # Errors
    ///
    /// Fails with [`io::ErrorKind::WouldBlock`] where the socket's buffer is full, and is then woken
    /// through the socket's readiness.
    pub fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        self.io.try_io(Interest::WRITABLE, || {
            self.state.send((&*self.io).into(), transmit)
        })
    }

    /// The address it is bound to.
    ///
    /// # Errors
    ///
    /// Fails as the socket does.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }
}
