use std::{io, net::SocketAddrV4, sync::Arc, thread};

use super::{BalancerError, DataPath, inbound::Inbound, outbound::Outbound};
use crate::udp::{self, BatchSocket};
use error_stack::{Report, ResultExt};

/// Starts `count` workers of the data path, each a thread with sockets of its own.
///
/// All sockets share the two addresses, and the kernel spreads the datagrams over them.
///
/// # Errors
///
/// Fails where an address cannot be bound or a thread cannot be started.
pub fn spawn_workers(
    count: usize,
    fabric: SocketAddrV4,
    tunnel: SocketAddrV4,
    shared: &Arc<DataPath>,
) -> Result<(), Report<BalancerError>> {
    for index in 0..count.max(1) {
        let fabric = udp::bind_shared(fabric).change_context(BalancerError::DataPath)?;
        let tunnel = udp::bind_shared(tunnel).change_context(BalancerError::DataPath)?;
        let shared = shared.clone();
        thread::Builder::new()
            .name(format!("data-path-{index}"))
            .spawn(move || {
                if let Err(err) = work(shared, fabric, tunnel) {
                    tracing::error!(%err, "worker_failed");
                }
            })
            .change_context(BalancerError::Worker)?;
    }
    Ok(())
}

fn work(
    shared: Arc<DataPath>,
    fabric: std::net::UdpSocket,
    tunnel: std::net::UdpSocket,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()?;
    runtime.block_on(async move {
        let fabric = BatchSocket::new(fabric)?;
        let tunnel = BatchSocket::new(tunnel)?;
        let inbound = Inbound::new(shared.clone(), fabric.clone(), tunnel.clone());
        let outbound = Outbound::new(shared, fabric, tunnel);
        tokio::try_join!(inbound.run(), outbound.run())?;
        Ok(())
    })
}
