use std::{io, sync::Arc};

use arbutus_core::tunnel::{self, TunnelError};
use quinn_udp::UdpSocketState;
use tokio::{io::Interest, net::UdpSocket};

use super::DataPath;
use crate::udp::{BatchReceiver, BatchSender};

/// One worker's way from the agents back to the fabric.
pub(super) struct Outbound {
    shared: Arc<DataPath>,
    fabric: Arc<UdpSocket>,
    fabric_state: UdpSocketState,
    tunnel: Arc<UdpSocket>,
    tunnel_state: UdpSocketState,
    receiver: BatchReceiver,
    sender: BatchSender,
}

impl Outbound {
    /// Makes the way over the two sockets.
    ///
    /// # Errors
    ///
    /// Fails where a socket's options cannot be set.
    pub(super) fn new(
        shared: Arc<DataPath>,
        fabric: Arc<UdpSocket>,
        tunnel: Arc<UdpSocket>,
    ) -> io::Result<Self> {
        let tunnel_state = UdpSocketState::new((&*tunnel).into())?;
        Ok(Self {
            receiver: BatchReceiver::new(&tunnel_state),
            fabric_state: UdpSocketState::new((&*fabric).into())?,
            sender: BatchSender::new(),
            shared,
            fabric,
            tunnel,
            tunnel_state,
        })
    }

    /// Returns datagrams until the process ends.
    pub(super) async fn run(mut self) -> io::Result<()> {
        loop {
            self.tunnel.readable().await?;
            match self.return_batch() {
                Ok(()) => {}
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(err) => tracing::warn!(%err, "tunnel_receive_failed"),
            }
        }
    }

    fn return_batch(&mut self) -> io::Result<()> {
        let Self {
            shared,
            fabric,
            fabric_state,
            tunnel,
            tunnel_state,
            receiver,
            sender,
        } = self;
        let back = shared.fabric.back();
        let receive = || {
            receiver.receive(tunnel, tunnel_state, |_, datagram| {
                let decoded = tunnel::decode(datagram, &shared.keys);
                let (header, payload) = match decoded {
                    Ok(decoded) => decoded,
                    Err(err) => return count_drop(shared, err),
                };
                let Some(back) = back else {
                    return;
                };
                let write =
                    |buf: &mut Vec<u8>| tunnel::encode_fabric(&header.endpoints, payload, buf);
                match sender.add(fabric, fabric_state, back, write) {
                    Ok(()) => {
                        shared.metrics.returned.inc();
                    }
                    Err(err) => count_drop(shared, err),
                }
            })
        };
        let result = tunnel.try_io(Interest::READABLE, receive);
        sender.flush(fabric, fabric_state);
        result.map(|_| ())
    }
}

fn count_drop(shared: &DataPath, err: TunnelError) {
    let counter = match err {
        TunnelError::Mac => &shared.bad_mac,
        TunnelError::Oversized => &shared.oversized,
        TunnelError::Header | TunnelError::Family | TunnelError::Field => &shared.bad_header,
    };
    counter.inc();
}
