use super::FlowDrop;
use crate::{
    cid::{self, FlowOwner},
    keys::KeyRing,
    quic::{self, PacketHeader},
    tunnel::TunnelHeader,
};

/// A packet that may open a flow, as it came through the tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstPacket<'a> {
    /// The header it came under.
    pub header: TunnelHeader,
    /// Its original destination connection ID.
    pub dcid: &'a [u8],
    /// Whether the datagram is long enough to open a flow by itself.
    pub full_size: bool,
}

/// What a datagram of the tunnel is to the agent that got it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramClass<'a> {
    /// It belongs to a flow of this agent.
    Established,
    /// It belongs to a flow of an earlier incarnation at the same address and service. The QUIC
    /// endpoint knows no such flow and may tell the caller by a stateless reset.
    EarlierIncarnation,
    /// It may open a flow.
    Opening(FirstPacket<'a>),
    /// It is not for this agent.
    Drop(FlowDrop),
}

/// Sorts a datagram of the tunnel by its header's service and its connection ID.
#[must_use]
pub fn classify<'a>(
    own: &FlowOwner,
    keys: &KeyRing,
    header: TunnelHeader,
    payload: &'a [u8],
) -> DatagramClass<'a> {
    if header.tag != own.tag {
        return DatagramClass::Drop(FlowDrop::WrongService);
    }
    let Ok(shape) = quic::parse_header(payload) else {
        return DatagramClass::Drop(FlowDrop::Malformed);
    };
    match (cid::decode(shape.dcid(), keys), shape) {
        (Ok(owner), _) => compare(own, &owner),
        (Err(_), PacketHeader::Opening { dcid, full_size }) => {
            DatagramClass::Opening(FirstPacket {
                header,
                dcid,
                full_size,
            })
        }
        (Err(_), PacketHeader::Long { .. } | PacketHeader::Short { .. }) => {
            DatagramClass::Drop(FlowDrop::ForeignId)
        }
    }
}

fn compare(own: &FlowOwner, named: &FlowOwner) -> DatagramClass<'static> {
    if named.tag != own.tag {
        return DatagramClass::Drop(FlowDrop::WrongService);
    }
    if named.agent != own.agent {
        return DatagramClass::Drop(FlowDrop::OtherAgent);
    }
    if named.incarnation != own.incarnation {
        return DatagramClass::EarlierIncarnation;
    }
    DatagramClass::Established
}
