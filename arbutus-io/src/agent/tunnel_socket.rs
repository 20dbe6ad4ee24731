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
    flow_desk::{FlowDesk, Verdict},
    return_path::ReturnPath,
};
use crate::{
    clock,
    metrics::{AgentMetrics, ReasonLabel},
    udp::{self, BatchReceiver, BatchSocket, WritablePoller},
};

/// The UDP socket that the agent's QUIC endpoint sees: callers' datagrams, out of the tunnel.
///
/// Lock order: `receiver`, then the flow desk's, then `path`.
#[derive(Debug)]
pub(super) struct TunnelSocket {
    port: BatchSocket,
    owner: FlowOwner,
    keys: KeyRing,
    desk: Arc<FlowDesk>,
    metrics: Arc<AgentMetrics>,
    receiver: Mutex<Receiver>,
    path: Mutex<ReturnPath>,
}

/// Only the endpoint's driver receives, so that this lock is never contended.
#[derive(Debug)]
struct Receiver {
    batch: BatchReceiver,
    /// Datagrams for the endpoint that did not fit its buffers at the last call.
    ready: VecDeque<Delivery>,
}

#[derive(Debug)]
struct Delivery {
    caller: SocketAddrV4,
    payload: Vec<u8>,
}

/// What was found in one datagram.
enum Received<'a> {
    Deliver(&'a [u8]),
    PassOn(SocketAddrV4, TunnelHeader, &'a [u8]),
    Drop(&'static str),
}

impl TunnelSocket {
    /// Binds the agent's tunnel address.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
    pub(super) fn bind(
        owner: FlowOwner,
        keys: KeyRing,
        desk: Arc<FlowDesk>,
        metrics: Arc<AgentMetrics>,
    ) -> io::Result<Self> {
        let port = BatchSocket::new(udp::bind(owner.agent)?)?;
        let receiver = Receiver {
            batch: BatchReceiver::new(&port),
            ready: VecDeque::new(),
        };
        Ok(Self {
            port,
            owner,
            keys,
            desk,
            metrics,
            receiver: Mutex::new(receiver),
            path: Mutex::default(),
        })
    }

    /// The generator of connection IDs that lead here.
    pub(super) fn cid_generator(&self) -> CidGenerator {
        CidGenerator::new(self.owner, self.keys.clone())
    }

    /// The system's keys.
    pub(super) const fn keys(&self) -> &KeyRing {
        &self.keys
    }

    /// Receives one batch and sorts it.
    fn receive(&self, receiver: &mut Receiver) -> io::Result<()> {
        let Receiver { batch, ready } = receiver;
        batch.receive(&self.port, |from, datagram| {
            if let Some(delivery) = self.take(from, datagram) {
                ready.push_back(delivery);
            }
        })?;
        Ok(())
    }

    /// Takes in one datagram of the tunnel.
    fn take(&self, from: SocketAddrV4, datagram: &[u8]) -> Option<Delivery> {
        let (header, payload) = match tunnel::decode(datagram, &self.keys) {
            Ok(decoded) => decoded,
            Err(err) => {
                self.count_drop(tunnel_reason(err));
                return None;
            }
        };
        let balancer = header.via.unwrap_or(from);
        match self.sort(header, payload) {
            Received::Deliver(payload) => {
                let Endpoints {
                    source,
                    destination,
                } = header.endpoints;
                let mut path = self.path.lock();
                path.heard(balancer, source, destination, clock::now());
                Some(Delivery {
                    caller: source,
                    payload: payload.to_vec(),
                })
            }
            Received::PassOn(to, header, payload) => {
                self.pass_on(to, &header.via(balancer), payload);
                None
            }
            Received::Drop(reason) => {
                self.count_drop(reason);
                None
            }
        }
    }

    fn sort<'a>(&self, header: TunnelHeader, payload: &'a [u8]) -> Received<'a> {
        match flow::classify(&self.owner, &self.keys, header, payload) {
            // The endpoint answers a former incarnation's flow by a stateless reset.
            DatagramClass::Established | DatagramClass::EarlierIncarnation => {
                Received::Deliver(payload)
            }
            DatagramClass::Opening(packet) => match self.desk.first_packet(&packet) {
                Verdict::Deliver => Received::Deliver(payload),
                Verdict::PassOn(hop) => Received::PassOn(hop.to, hop.header, payload),
                Verdict::Drop => Received::Drop("flow"),
            },
            DatagramClass::Drop(reason) => Received::Drop(drop_reason(reason)),
        }
    }

    fn pass_on(&self, to: SocketAddrV4, header: &TunnelHeader, payload: &[u8]) {
        let mut buf = Vec::with_capacity(payload.len() + 128);
        if tunnel::encode(header, payload, &self.keys, &mut buf).is_err() {
            self.count_drop("oversized");
            return;
        }
        if let Err(err) = self.port.io().try_send_to(&buf, SocketAddr::V4(to)) {
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
        Box::pin(WritablePoller::new(self.port.io().clone()))
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let SocketAddr::V4(caller) = transmit.destination else {
            return Ok(());
        };
        let path = {
            let path = self.path.lock();
            path.service(caller)
                .zip(path.balancer(caller, clock::now()))
        };
        // A caller that was never heard cannot be answered; the datagram is lost.
        let Some((service, balancer)) = path else {
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
        self.port.try_send(&tunnelled)
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        metas: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut receiver = self.receiver.lock();
        while receiver.ready.is_empty() {
            ready!(self.port.io().poll_recv_ready(cx))?;
            match self.receive(&mut receiver) {
                Err(err) if err.kind() != io::ErrorKind::WouldBlock => {
                    return Poll::Ready(Err(err));
                }
                Ok(()) | Err(_) => {}
            }
        }
        let mut count = 0;
        for (buf, meta) in bufs.iter_mut().zip(metas) {
            let Some(delivery) = receiver.ready.pop_front() else {
                break;
            };
            let bytes = delivery.payload.len().min(buf.len());
            buf[..bytes].copy_from_slice(&delivery.payload[..bytes]);
            *meta = RecvMeta::default();
            meta.addr = SocketAddr::V4(delivery.caller);
            meta.len = bytes;
            meta.stride = bytes;
            count += 1;
        }
        Poll::Ready(Ok(count))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.port.local_addr()
    }

    fn max_transmit_segments(&self) -> usize {
        self.port.state().max_gso_segments()
    }

    fn may_fragment(&self) -> bool {
        self.port.state().may_fragment()
    }
}

const fn tunnel_reason(err: tunnel::TunnelError) -> &'static str {
    match err {
        tunnel::TunnelError::Header => "header",
        tunnel::TunnelError::Family => "family",
        tunnel::TunnelError::Field => "field",
        tunnel::TunnelError::Mac => "mac",
        tunnel::TunnelError::Oversized => "oversized",
    }
}

const fn drop_reason(reason: FlowDrop) -> &'static str {
    match reason {
        FlowDrop::WrongService => "wrong-service",
        FlowDrop::OtherAgent => "other-agent",
        FlowDrop::ForeignId => "foreign-id",
        FlowDrop::Malformed => "malformed",
        FlowDrop::NotFirst => "not-first",
    }
}
