use std::{io, sync::Arc};

use arbutus_core::tunnel::{self, TunnelError};

use super::DataPath;
use crate::udp::{BatchReceiver, BatchSender, BatchSocket};

/// A worker's forwarding of datagrams from the agents back to the fabric.
pub(super) struct Outbound {
    data_path: Arc<DataPath>,
    fabric: BatchSocket,
    tunnel: BatchSocket,
    receiver: BatchReceiver,
    sender: BatchSender,
}

impl Outbound {
    /// Creates the forwarder from `tunnel` to `fabric`.
    pub(super) fn new(data_path: Arc<DataPath>, fabric: BatchSocket, tunnel: BatchSocket) -> Self {
        Self {
            receiver: BatchReceiver::new(&tunnel),
            sender: BatchSender::new(),
            data_path,
            fabric,
            tunnel,
        }
    }

    /// Forwards until the process ends.
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
            data_path,
            fabric,
            tunnel,
            receiver,
            sender,
        } = self;
        let return_address = data_path.fabric.return_address();
        let result = receiver.receive(tunnel, |_, datagram| {
            let decoded = tunnel::decode(datagram, &data_path.keys);
            let (header, payload) = match decoded {
                Ok(decoded) => decoded,
                Err(err) => return count_drop(data_path, err),
            };
            let Some(return_address) = return_address else {
                return;
            };
            let write = |buf: &mut Vec<u8>| tunnel::encode_fabric(&header.endpoints, payload, buf);
            match sender.add(fabric, return_address, write) {
                Ok(()) => {
                    data_path.metrics.returned.inc();
                }
                Err(err) => count_drop(data_path, err),
            }
        });
        sender.flush(fabric);
        result.map(|_| ())
    }
}

fn count_drop(data_path: &DataPath, err: TunnelError) {
    let counter = match err {
        TunnelError::Mac => &data_path.bad_mac,
        TunnelError::Oversized => &data_path.oversized,
        TunnelError::Header | TunnelError::Family | TunnelError::Field => &data_path.bad_header,
    };
    counter.inc();
}
