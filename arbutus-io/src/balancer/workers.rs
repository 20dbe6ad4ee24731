use std::{io, net::SocketAddrV4, sync::Arc, thread};

use super::{BalancerError, DataPath, inbound::Inbound, outbound::Outbound};
use crate::udp::{self, BatchSocket};
use error_stack::{Report, ResultExt};

/// Starts `count` data path workers, at least one, each a thread with its own sockets.
///
/// The workers' sockets share the two addresses; the kernel distributes datagrams among them.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a thread cannot be started.
pub fn spawn_workers(
    count: usize,
    fabric: SocketAddrV4,
    tunnel: SocketAddrV4,
    data_path: &Arc<DataPath>,
) -> Result<(), Report<BalancerError>> {
    for index in 0..count.max(1) {
        let fabric = udp::bind_shared(fabric).change_context(BalancerError::DataPath)?;
        let tunnel = udp::bind_shared(tunnel).change_context(BalancerError::DataPath)?;
        let data_path = data_path.clone();
        thread::Builder::new()
            .name(format!("data-path-{index}"))
            .spawn(move || {
                if let Err(err) = run_worker(data_path, fabric, tunnel) {
                    tracing::error!(%err, "worker_failed");
                }
            })
            .change_context(BalancerError::Worker)?;
    }
    Ok(())
}

fn run_worker(
    data_path: Arc<DataPath>,
    fabric: std::net::UdpSocket,
    tunnel: std::net::UdpSocket,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()?;
    runtime.block_on(async move {
        let fabric = BatchSocket::new(fabric)?;
        let tunnel = BatchSocket::new(tunnel)?;
        let inbound = Inbound::new(data_path.clone(), fabric.clone(), tunnel.clone());
        let outbound = Outbound::new(data_path, fabric, tunnel);
        tokio::try_join!(inbound.run(), outbound.run())?;
        Ok(())
    })
}
