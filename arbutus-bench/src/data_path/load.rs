use std::{
    io,
    net::{SocketAddr, SocketAddrV4, UdpSocket},
    time::Instant,
};

use arbutus_core::{
    cid::{self, FlowOwner},
    ident::{Incarnation, ServiceTag},
    keys::KeyRing,
    tunnel::{self, Endpoints},
};
use quinn_udp::{Transmit, UdpSocketState};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

use super::options::Options;

/// Number of datagrams in one segmented send.
const SEGMENTS_PER_SEND: usize = 32;
/// Number of distinct flows among the datagrams.
const FLOW_COUNT: usize = 256;

/// Encoded datagrams of established flows.
pub(super) struct Load {
    sends: Vec<Vec<u8>>,
    datagram_bytes: usize,
}

impl Load {
    /// Encodes datagrams of flows that are owned by `agents` in turn.
    pub(super) fn new(
        options: &Options,
        tag: ServiceTag,
        service: SocketAddrV4,
        caller: SocketAddrV4,
        agents: &[SocketAddrV4],
        keys: &KeyRing,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let endpoints = Endpoints {
            source: caller,
            destination: service,
        };
        let mut datagrams = (0..FLOW_COUNT).map(|flow| {
            let agent = agents[flow % agents.len()];
            let owner = FlowOwner::new(agent, tag, Incarnation::new(1));
            let mut payload = vec![0x40];
            payload.extend_from_slice(&cid::encode(&owner, keys, &mut rng));
            payload.resize(options.bytes, 0xa5);
            let mut datagram = Vec::new();
            let _ = tunnel::encode_fabric(&endpoints, &payload, &mut datagram);
            datagram
        });
        let mut sends = Vec::new();
        let mut datagram_bytes = 0;
        loop {
            let send: Vec<Vec<u8>> = datagrams.by_ref().take(SEGMENTS_PER_SEND).collect();
            let Some(first) = send.first() else {
                break;
            };
            datagram_bytes = first.len();
            sends.push(send.concat());
        }
        Self {
            sends,
            datagram_bytes,
        }
    }

    /// Sends the datagrams to `to` repeatedly, as fast as `socket` accepts them, until `deadline`.
    ///
    /// Errors of single sends are ignored.
    pub(super) fn send_until(
        &self,
        socket: &UdpSocket,
        to: SocketAddrV4,
        deadline: Instant,
    ) -> io::Result<()> {
        let state = UdpSocketState::new(socket.into())?;
        while Instant::now() < deadline {
            for send in &self.sends {
                let transmit = Transmit {
                    destination: SocketAddr::V4(to),
                    ecn: None,
                    contents: send,
                    segment_size: Some(self.datagram_bytes),
                    src_ip: None,
                };
                let _ = state.send(socket.into(), &transmit);
            }
        }
        Ok(())
    }
}
