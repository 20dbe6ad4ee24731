use std::net::SocketAddrV4;

use super::{DropReason, RouteTable, ServiceRoute, flow_hash};
use crate::{
    cid::{self, CidError, FlowOwner},
    keys::KeyRing,
    quic::{self, PacketHeader},
    tunnel::{Candidates, Endpoints, MAX_PAYLOAD_BYTES, TunnelHeader},
};

/// Bytes of a long header that carry the version.
const VERSION: std::ops::Range<usize> = 1..5;

/// Where a datagram goes, and under which header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextHop {
    /// The agent's tunnel address.
    pub to: SocketAddrV4,
    /// The header to put before the datagram.
    pub header: TunnelHeader,
}

/// What a balancer does with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardingDecision {
    /// It belongs to an established flow and goes to the flow's owner.
    Established(NextHop),
    /// It may open a flow and goes to the first candidate; the header names the others.
    Opening(NextHop),
    /// It goes nowhere.
    Drop(DropReason),
}

/// Decides on one packet of a caller.
///
/// The decision allocates nothing and takes no lock. The owner of an established flow comes from
/// the connection ID alone, so that a balancer with an empty roster forwards it rightly; the table
/// only tells which service the destination address belongs to.
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
    let shape = quic::parse_header(payload).map_err(|_| DropReason::Truncated)?;
    match (cid::decode(shape.dcid(), keys), shape) {
        (Ok(owner), _) => to_owner(service, endpoints, &owner),
        (Err(_), PacketHeader::Opening { dcid, .. }) => to_candidates(service, endpoints, dcid),
        (Err(_), PacketHeader::Long { .. }) if payload[VERSION] == [0; 4] => {
            Err(DropReason::Version)
        }
        (Err(CidError::UnknownKey), _) => Err(DropReason::UnknownKey),
        (Err(CidError::Length | CidError::Foreign), _) => Err(DropReason::ForeignId),
    }
}

fn to_owner(
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

fn to_candidates(
    service: &ServiceRoute,
    endpoints: Endpoints,
    dcid: &[u8],
) -> Result<ForwardingDecision, DropReason> {
    let best = service.candidates(flow_hash(endpoints.source, dcid));
    let (first, others) = best.as_slice().split_first().ok_or(DropReason::NoAgent)?;
    let others: Candidates = others.iter().copied().collect();
    Ok(ForwardingDecision::Opening(NextHop {
        to: *first,
        header: TunnelHeader::new(endpoints, service.tag()).candidates(others),
    }))
}
