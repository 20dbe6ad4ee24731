use std::{
    collections::VecDeque,
    io::{self, IoSliceMut},
    net::{SocketAddr, SocketAddrV4},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use arbutus_core::{
    cid::FlowOwner,
    flow::{self, DatagramClass, FlowDrop},
    keys::KeyRing,
    tunnel::{self, Endpoints, TunnelHeader},
};
use parking_lot::Mutex;
use quinn::{AsyncUdpSocket, UdpPoller};
use quinn_udp::{RecvMeta, Transmit};

use super::{
    cid_generator::CidGenerator,
    flow_driver::{FirstPacketDecision, FlowDriver},
    return_path::ReturnPath,
};
use crate::{
    clock,
    metrics::{AgentMetrics, ReasonLabel},
    udp::{self, BatchReceiver, BatchSocket, WritablePoller},
};

/// The UDP socket of the agent's QUIC endpoint, which exchanges callers' datagrams through the
/// tunnel.
///
/// Lock order: `receiver`, then the locks of the flow driver, then `return_path`.
#[derive(Debug)]
pub(super) struct TunnelSocket {
    socket: BatchSocket,
    owner: FlowOwner,
    keys: KeyRing,
    flows: Arc<FlowDriver>,
    metrics: Arc<AgentMetrics>,
    receiver: Mutex<Receiver>,
    return_path: Mutex<ReturnPath>,
}

/// The receiving half. Only the endpoint's driver receives, so its lock is never contended.
#[derive(Debug)]
struct Receiver {
    batch: BatchReceiver,
    /// Datagrams for the endpoint that did not fit into its buffers at the last call.
    ready: VecDeque<ReceivedDatagram>,
}

/// A datagram for the QUIC endpoint.
#[derive(Debug)]
struct ReceivedDatagram {
    caller: SocketAddrV4,
    payload: Vec<u8>,
}

/// The action for a received datagram.
enum DatagramAction<'a> {
    /// Deliver the payload to the QUIC endpoint.
    Deliver(&'a [u8]),
    /// Forward the payload to the agent at the address.
    PassOn(SocketAddrV4, TunnelHeader, &'a [u8]),
    /// Drop the datagram and count it under the reason.
    Drop(&'static str),
}

impl TunnelSocket {
    /// Binds the agent's tunnel address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub(super) fn bind(
        owner: FlowOwner,
        keys: KeyRing,
        flows: Arc<FlowDriver>,
        metrics: Arc<AgentMetrics>,
    ) -> io::Result<Self> {
        let socket = BatchSocket::new(udp::bind(owner.agent)?)?;
        let receiver = Receiver {
            batch: BatchReceiver::new(&socket),
            ready: VecDeque::new(),
        };
        Ok(Self {
            socket,
            owner,
            keys,
            flows,
            metrics,
            receiver: Mutex::new(receiver),
            return_path: Mutex::default(),
        })
    }

    /// Returns a generator of connection IDs that name this agent as the owner.
    pub(super) fn cid_generator(&self) -> CidGenerator {
        CidGenerator::new(self.owner, self.keys.clone())
    }

    /// Returns the system's keys.
    pub(super) const fn keys(&self) -> &KeyRing {
        &self.keys
    }

    /// Receives one batch of datagrams and queues those for the endpoint.
    fn receive(&self, receiver: &mut Receiver) -> io::Result<()> {
        let Receiver { batch, ready } = receiver;
        batch.receive(&self.socket, |from, datagram| {
            if let Some(received) = self.process_datagram(from, datagram) {
                ready.push_back(received);
            }
        })?;
        Ok(())
    }

    /// Processes one datagram from the tunnel; returns it if it is for the endpoint.
    fn process_datagram(&self, from: SocketAddrV4, datagram: &[u8]) -> Option<ReceivedDatagram> {
        let (header, payload) = match tunnel::decode(datagram, &self.keys) {
            Ok(decoded) => decoded,
            Err(err) => {
                self.count_drop(tunnel_drop_reason(err));
                return None;
            }
        };
        let balancer = header.via.unwrap_or(from);
        match self.decide(header, payload) {
            DatagramAction::Deliver(payload) => {
                let Endpoints {
                    source,
                    destination,
                } = header.endpoints;
                let mut return_path = self.return_path.lock();
                return_path.record_datagram(balancer, source, destination, clock::now());
                Some(ReceivedDatagram {
                    caller: source,
                    payload: payload.to_vec(),
                })
            }
            DatagramAction::PassOn(to, header, payload) => {
                self.pass_on(to, &header.via(balancer), payload);
                None
            }
            DatagramAction::Drop(reason) => {
                self.count_drop(reason);
                None
            }
        }
    }

    /// Decides what to do with an authentic datagram.
    fn decide<'a>(&self, header: TunnelHeader, payload: &'a [u8]) -> DatagramAction<'a> {
        match flow::classify(&self.owner, &self.keys, header, payload) {
            // The endpoint answers a flow of an earlier incarnation with a stateless reset.
            DatagramClass::Established | DatagramClass::EarlierIncarnation => {
                DatagramAction::Deliver(payload)
            }
            DatagramClass::Opening(packet) => match self.flows.on_first_packet(&packet) {
                FirstPacketDecision::Deliver => DatagramAction::Deliver(payload),
                FirstPacketDecision::PassOn(hop) => {
                    DatagramAction::PassOn(hop.to, hop.header, payload)
                }
                FirstPacketDecision::Drop => DatagramAction::Drop("flow"),
            },
            DatagramClass::Drop(reason) => DatagramAction::Drop(flow_drop_reason(reason)),
        }
    }

    /// Forwards a datagram to the agent at `to`.
    fn pass_on(&self, to: SocketAddrV4, header: &TunnelHeader, payload: &[u8]) {
        let mut buf = Vec::with_capacity(payload.len() + 128);
        if tunnel::encode(header, payload, &self.keys, &mut buf).is_err() {
            self.count_drop("oversized");
            return;
        }
        if let Err(err) = self.socket.io().try_send_to(&buf, SocketAddr::V4(to)) {
            tracing::debug!(%err, %to, "pass_on_failed");
        }
    }

    fn count_drop(&self, reason: &'static str) {
        self.metrics
            .dropped
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }
}

impl AsyncUdpSocket for TunnelSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(WritablePoller::new(self.socket.io().clone()))
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let SocketAddr::V4(caller) = transmit.destination else {
            return Ok(());
        };
        let return_path = {
            let return_path = self.return_path.lock();
            return_path
                .service_address(caller)
                .zip(return_path.balancer_for(caller, clock::now()))
        };
        // Until a first datagram has been received there is no return path, and this one is lost.
        let Some((service, balancer)) = return_path else {
            return Ok(());
        };
        let endpoints = Endpoints {
            source: service,
            destination: caller,
        };
        let header = TunnelHeader::new(endpoints, self.owner.tag);
        let segment_bytes = transmit.segment_size.unwrap_or(transmit.contents.len());
        let mut buf = Vec::with_capacity(transmit.contents.len() * 2);
        let mut tunnel_bytes = 0;
        for segment in transmit.contents.chunks(segment_bytes.max(1)) {
            if tunnel::encode(&header, segment, &self.keys, &mut buf).is_err() {
                self.count_drop("oversized");
                return Ok(());
            }
            if tunnel_bytes == 0 {
                tunnel_bytes = buf.len();
            }
        }
        let tunnelled = Transmit {
            destination: SocketAddr::V4(balancer),
            ecn: None,
            contents: &buf,
            segment_size: transmit.segment_size.map(|_| tunnel_bytes),
            src_ip: None,
        };
        self.socket.try_send(&tunnelled)
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        metas: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut receiver = self.receiver.lock();
        while receiver.ready.is_empty() {
            ready!(self.socket.io().poll_recv_ready(cx))?;
            match self.receive(&mut receiver) {
                Err(err) if err.kind() != io::ErrorKind::WouldBlock => {
                    return Poll::Ready(Err(err));
                }
                Ok(()) | Err(_) => {}
            }
        }
        let mut count = 0;
        for (buf, meta) in bufs.iter_mut().zip(metas) {
            let Some(datagram) = receiver.ready.pop_front() else {
                break;
            };
            let bytes = datagram.payload.len().min(buf.len());
            buf[..bytes].copy_from_slice(&datagram.payload[..bytes]);
            *meta = RecvMeta::default();
            meta.addr = SocketAddr::V4(datagram.caller);
            meta.len = bytes;
            meta.stride = bytes;
            count += 1;
        }
        Poll::Ready(Ok(count))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    fn max_transmit_segments(&self) -> usize {
        self.socket.state().max_gso_segments()
    }

    fn may_fragment(&self) -> bool {
        self.socket.state().may_fragment()
    }
}

const fn tunnel_drop_reason(err: tunnel::TunnelError) -> &'static str {
    match err {
        tunnel::TunnelError::Header => "header",
        tunnel::TunnelError::Family => "family",
        tunnel::TunnelError::Field => "field",
        tunnel::TunnelError::Mac => "mac",
        tunnel::TunnelError::Oversized => "oversized",
    }
}

const fn flow_drop_reason(reason: FlowDrop) -> &'static str {
    match reason {
        FlowDrop::WrongService => "wrong-service",
        FlowDrop::OtherAgent => "other-agent",
        FlowDrop::ForeignId => "foreign-id",
        FlowDrop::Malformed => "malformed",
        FlowDrop::NotFirst => "not-first",
    }
}
