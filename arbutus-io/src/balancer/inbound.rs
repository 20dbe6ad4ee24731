use std::{fmt::Write, io, net::SocketAddrV4, sync::Arc};

use arbutus_core::{
    quic,
    route::{self, DropReason, ForwardingDecision, NextHop, RouteTable},
    tunnel::{self, TunnelError},
};
use prometheus_client::metrics::counter::Counter;

use super::DataPath;
use crate::{
    metrics::ReasonLabel,
    trace::TRACE_TARGET,
    udp::{BatchReceiver, BatchSender, BatchSocket},
};

/// A worker's forwarding of datagrams from the fabric to the agents.
pub(super) struct Inbound {
    data_path: Arc<DataPath>,
    fabric: BatchSocket,
    tunnel: BatchSocket,
    receiver: BatchReceiver,
    sender: BatchSender,
    /// Counters by [`DropReason::index`].
    drops: Vec<Counter>,
}

impl Inbound {
    /// Creates the forwarder from `fabric` to `tunnel`.
    pub(super) fn new(data_path: Arc<DataPath>, fabric: BatchSocket, tunnel: BatchSocket) -> Self {
        let drops = DropReason::ALL
            .iter()
            .map(|reason| {
                let reason = reason.name();
                let label = ReasonLabel { reason };
                data_path.metrics.dropped.get_or_create(&label).clone()
            })
            .collect();
        Self {
            receiver: BatchReceiver::new(&fabric),
            sender: BatchSender::new(),
            data_path,
            fabric,
            tunnel,
            drops,
        }
    }

    /// Forwards until the process ends.
    pub(super) async fn run(mut self) -> io::Result<()> {
        loop {
            self.fabric.readable().await?;
            match self.forward_batch() {
                Ok(()) => {}
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(err) => tracing::warn!(%err, "fabric_receive_failed"),
            }
        }
    }

    fn forward_batch(&mut self) -> io::Result<()> {
        let Self {
            data_path,
            fabric,
            tunnel,
            receiver,
            sender,
            drops,
        } = self;
        let table = data_path.table.load();
        let result = receiver.receive(fabric, |from, datagram| {
            let add = |hop: &NextHop, payload: &[u8]| {
                let write =
                    |buf: &mut Vec<u8>| tunnel::encode(&hop.header, payload, &data_path.keys, buf);
                sender.add(tunnel, hop.to, write)
            };
            forward_one(data_path, &table, drops, from, datagram, add);
        });
        sender.flush(tunnel);
        result.map(|_| ())
    }
}

fn forward_one(
    data_path: &DataPath,
    table: &RouteTable,
    drops: &[Counter],
    from: SocketAddrV4,
    datagram: &[u8],
    add: impl FnOnce(&NextHop, &[u8]) -> Result<(), TunnelError>,
) {
    if !data_path.fabric.accept(from) {
        data_path.bad_source.inc();
        return;
    }
    let (endpoints, payload) = match tunnel::decode_fabric(datagram) {
        Ok(decoded) => decoded,
        Err(TunnelError::Oversized) => {
            data_path.oversized.inc();
            return;
        }
        Err(_) => {
            data_path.bad_header.inc();
            return;
        }
    };
    let (hop, counter) = match route::forward(table, &data_path.keys, endpoints, payload) {
        ForwardingDecision::Established(hop) => (hop, &data_path.metrics.forwarded),
        ForwardingDecision::Opening(hop) => {
            trace_opening(&hop, payload);
            (hop, &data_path.metrics.opened)
        }
        ForwardingDecision::Drop(reason) => {
            drops[reason.index()].inc();
            return;
        }
    };
    match add(&hop, payload) {
        Ok(()) => counter.inc(),
        Err(_) => data_path.oversized.inc(),
    };
}

/// Logs the balancer's span of a flow's trace, under the same flow name that the agent logs.
fn trace_opening(hop: &NextHop, payload: &[u8]) {
    if !tracing::enabled!(target: TRACE_TARGET, tracing::Level::DEBUG) {
        return;
    }
    let Ok(packet_header) = quic::parse_header(payload) else {
        return;
    };
    let flow = packet_header
        .dcid()
        .iter()
        .fold(String::new(), |mut flow, byte| {
            let _ = write!(flow, "{byte:02x}");
            flow
        });
    let caller = hop.header.endpoints.source;
    tracing::debug!(target: TRACE_TARGET, hop = "balancer", %flow, %caller, agent = %hop.to, "span");
}
