use std::{
    io::{self, IoSliceMut},
    net::{SocketAddr, UdpSocket},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use prometheus_client::metrics::counter::Counter;
use quinn::{AsyncUdpSocket, Runtime, UdpPoller};
use quinn_udp::{RecvMeta, Transmit};

use crate::metrics::{ControlMetrics, DirectionLabel};

/// A UDP socket that counts the bytes it sends and receives.
#[derive(Debug)]
pub(super) struct CountingSocket {
    inner: Arc<dyn AsyncUdpSocket>,
    sent: Counter,
    received: Counter,
}

impl CountingSocket {
    /// Wraps `socket` and adds its bytes to the counters in `metrics`.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be registered with the runtime.
    pub(super) fn wrap(
        socket: UdpSocket,
        runtime: &dyn Runtime,
        metrics: &ControlMetrics,
    ) -> io::Result<Self> {
        let counter = |direction| {
            let label = DirectionLabel { direction };
            metrics.bytes.get_or_create(&label).clone()
        };
        Ok(Self {
            inner: runtime.wrap_udp_socket(socket)?,
            sent: counter("sent"),
            received: counter("received"),
        })
    }
}

impl AsyncUdpSocket for CountingSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        self.inner.clone().create_io_poller()
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        self.inner.try_send(transmit)?;
        self.sent.inc_by(transmit.contents.len() as u64);
        Ok(())
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        metas: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(self.inner.poll_recv(cx, bufs, metas))?;
        let bytes: usize = metas.iter().take(count).map(|meta| meta.len).sum();
        self.received.inc_by(bytes as u64);
        Poll::Ready(Ok(count))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }

    fn max_transmit_segments(&self) -> usize {
        self.inner.max_transmit_segments()
    }

    fn max_receive_segments(&self) -> usize {
        self.inner.max_receive_segments()
    }

    fn may_fragment(&self) -> bool {
        self.inner.may_fragment()
    }
}
