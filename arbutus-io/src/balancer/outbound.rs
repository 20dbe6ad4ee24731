use std::{io, sync::Arc};

use arbutus_core::tunnel::{self, TunnelError};

use super::DataPath;
use crate::udp::{BatchReceiver, BatchSender, BatchSocket};

/// One worker's way from the agents back to the fabric.
pub(super) struct Outbound {
    shared: Arc<DataPath>,
    fabric: BatchSocket,
    tunnel: BatchSocket,
    receiver: BatchReceiver,
    sender: BatchSender,
}

impl Outbound {
    /// Makes the way from `tunnel` to `fabric`.
    pub(super) fn new(shared: Arc<DataPath>, fabric: BatchSocket, tunnel: BatchSocket) -> Self {
        Self {
            receiver: BatchReceiver::new(&tunnel),
            sender: BatchSender::new(),
            shared,
            fabric,
            tunnel,
        }
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
            tunnel,
            receiver,
            sender,
        } = self;
        let back = shared.fabric.back();
        let result = receiver.receive(tunnel, |_, datagram| {
            let decoded = tunnel::decode(datagram, &shared.keys);
            let (header, payload) = match decoded {
                Ok(decoded) => decoded,
                Err(err) => return count_drop(shared, err),
            };
            let Some(back) = back else {
                return;
            };
            let write = |buf: &mut Vec<u8>| tunnel::encode_fabric(&header.endpoints, payload, buf);
            match sender.add(fabric, back, write) {
                Ok(()) => {
                    shared.metrics.returned.inc();
                }
                Err(err) => count_drop(shared, err),
            }
        });
        sender.flush(fabric);
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
