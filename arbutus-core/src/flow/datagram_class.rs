use super::FlowDrop;
use crate::{
    cid::{self, FlowOwner},
    keys::KeyRing,
    quic::{self, PacketHeader},
    tunnel::TunnelHeader,
};

/// A packet that may open a flow, as received through the tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstPacket<'a> {
    /// The tunnel header of the datagram.
    pub header: TunnelHeader,
    /// The original destination connection ID.
    pub dcid: &'a [u8],
    /// Whether the datagram is long enough to open a flow by itself.
    pub full_size: bool,
}

/// The class of a tunnel datagram, as seen by the agent that received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramClass<'a> {
    /// The datagram belongs to a flow of this agent.
    Established,
    /// The datagram belongs to a flow of an earlier incarnation at the same address and service.
    /// The QUIC endpoint has no state for such a flow and may answer with a stateless reset.
    EarlierIncarnation,
    /// The datagram may open a flow.
    Opening(FirstPacket<'a>),
    /// The datagram is not for this agent.
    Drop(FlowDrop),
}

/// Classifies a tunnel datagram by the service in its header and by its connection ID.
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
    let Ok(packet_header) = quic::parse_header(payload) else {
        return DatagramClass::Drop(FlowDrop::Malformed);
    };
    match (cid::decode(packet_header.dcid(), keys), packet_header) {
        (Ok(owner), _) => classify_owner(own, &owner),
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

/// Classifies a datagram whose connection ID decodes to the flow owner `named`.
fn classify_owner(own: &FlowOwner, named: &FlowOwner) -> DatagramClass<'static> {
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
