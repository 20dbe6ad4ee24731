use std::net::SocketAddrV4;

use super::{DropReason, RouteTable, ServiceRoute, flow_hash};
use crate::{
    cid::{self, CidError, FlowOwner},
    keys::KeyRing,
    quic::{self, PacketHeader},
    tunnel::{Candidates, Endpoints, MAX_PAYLOAD_BYTES, TunnelHeader},
};

/// Position of the version in a long header.
const VERSION_RANGE: std::ops::Range<usize> = 1..5;

/// The agent that receives a datagram next, with the tunnel header to use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextHop {
    /// Tunnel address of the agent.
    pub to: SocketAddrV4,
    /// Header to prepend to the datagram.
    pub header: TunnelHeader,
}

/// Forwarding decision for one packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardingDecision {
    /// The packet belongs to an established flow and is forwarded to the flow's owner.
    Established(NextHop),
    /// The packet may open a flow and is forwarded to the first candidate; the header lists the
    /// other candidates.
    Opening(NextHop),
    /// The packet is dropped.
    Drop(DropReason),
}

/// Returns the forwarding decision for a packet of a caller.
///
/// The decision allocates no memory and takes no lock. The owner of an established flow comes from
/// the connection ID alone, so that a balancer with an empty roster still forwards the flow
/// correctly; the table only maps the destination address to its service.
#[must_use]
pub fn forward(
    table: &RouteTable,
    keys: &KeyRing,
    endpoints: Endpoints,
    payload: &[u8],
) -> ForwardingDecision {
    decide(table, keys, endpoints, payload).unwrap_or_else(ForwardingDecision::Drop)
}

fn decide(
    table: &RouteTable,
    keys: &KeyRing,
    endpoints: Endpoints,
    payload: &[u8],
) -> Result<ForwardingDecision, DropReason> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(DropReason::Oversized);
    }
    let service = table
        .get(endpoints.destination)
        .ok_or(DropReason::UnknownAddress)?;
    let header = quic::parse_header(payload).map_err(|_| DropReason::Truncated)?;
    match (cid::decode(header.dcid(), keys), header) {
        (Ok(owner), _) => forward_to_owner(service, endpoints, &owner),
        (Err(_), PacketHeader::Opening { dcid, .. }) => {
            forward_to_candidates(service, endpoints, dcid)
        }
        (Err(_), PacketHeader::Long { .. }) if payload[VERSION_RANGE] == [0; 4] => {
            Err(DropReason::Version)
        }
        (Err(CidError::UnknownKey), _) => Err(DropReason::UnknownKey),
        (Err(CidError::Length | CidError::Foreign), _) => Err(DropReason::ForeignId),
    }
}

fn forward_to_owner(
    service: &ServiceRoute,
    endpoints: Endpoints,
    owner: &FlowOwner,
) -> Result<ForwardingDecision, DropReason> {
    if owner.tag != service.tag() {
        return Err(DropReason::WrongService);
    }
    Ok(ForwardingDecision::Established(NextHop {
        to: owner.agent,
        header: TunnelHeader::new(endpoints, service.tag()),
    }))
}

fn forward_to_candidates(
    service: &ServiceRoute,
    endpoints: Endpoints,
    dcid: &[u8],
) -> Result<ForwardingDecision, DropReason> {
    let candidates = service.candidates(flow_hash(endpoints.source, dcid));
    let (first, others) = candidates
        .as_slice()
        .split_first()
        .ok_or(DropReason::NoAgent)?;
    let others: Candidates = others.iter().copied().collect();
    Ok(ForwardingDecision::Opening(NextHop {
        to: *first,
        header: TunnelHeader::new(endpoints, service.tag()).candidates(others),
    }))
}
