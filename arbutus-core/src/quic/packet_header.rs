use crate::cid::CID_BYTES;

/// Minimum size of a datagram with a client's first packet, in bytes (RFC 9000, section 14.1).
const MIN_INITIAL_BYTES: usize = 1_200;
const LONG_HEADER_BIT: u8 = 0x80;
const LONG_TYPE_MASK: u8 = 0x30;
const CID_LENGTH_OFFSET: usize = 5;
const CID_OFFSET: usize = 6;

/// The part of a packet header that is readable without keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketHeader<'a> {
    /// A long header that may open a flow: an Initial or 0-RTT packet.
    Opening {
        /// Destination connection ID, with a length chosen by the caller.
        dcid: &'a [u8],
        /// Whether the datagram has at least the size required of a first datagram.
        full_size: bool,
    },
    /// Any other long header.
    Long {
        /// Destination connection ID.
        dcid: &'a [u8],
    },
    /// A short header.
    Short {
        /// Destination connection ID, with the length of the IDs that this system issues.
        dcid: &'a [u8],
    },
}

/// Reason why a datagram is not a QUIC packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeaderError {
    /// The datagram ends before its connection ID does.
    Truncated,
}

impl<'a> PacketHeader<'a> {
    /// Returns the destination connection ID.
    #[must_use]
    pub const fn dcid(&self) -> &'a [u8] {
        match self {
            Self::Opening { dcid, .. } | Self::Long { dcid } | Self::Short { dcid } => dcid,
        }
    }
}

/// Parses the header of the first packet in `datagram`.
///
/// # Errors
///
/// Returns an error if the datagram is too short for its header.
pub fn parse_header(datagram: &[u8]) -> Result<PacketHeader<'_>, HeaderError> {
    let first = *datagram.first().ok_or(HeaderError::Truncated)?;
    if first & LONG_HEADER_BIT == 0 {
        let dcid = datagram.get(1..=CID_BYTES).ok_or(HeaderError::Truncated)?;
        return Ok(PacketHeader::Short { dcid });
    }
    let length = *datagram
        .get(CID_LENGTH_OFFSET)
        .ok_or(HeaderError::Truncated)?;
    let end = CID_OFFSET + usize::from(length);
    let dcid = datagram
        .get(CID_OFFSET..end)
        .ok_or(HeaderError::Truncated)?;
    if is_opening(first, &datagram[1..CID_LENGTH_OFFSET]) {
        let full_size = datagram.len() >= MIN_INITIAL_BYTES;
        return Ok(PacketHeader::Opening { dcid, full_size });
    }
    Ok(PacketHeader::Long { dcid })
}

/// Returns whether a packet with a long header may open a flow: an Initial or 0-RTT packet.
fn is_opening(first: u8, version: &[u8]) -> bool {
    let packet_type = (first & LONG_TYPE_MASK) >> 4;
    match version {
        // A version negotiation packet, which callers never send.
        [0, 0, 0, 0] => false,
        // QUIC version 2 (RFC 9369) numbers the types from 1.
        [0x6b, 0x33, 0x43, 0xcf] => packet_type == 1 || packet_type == 2,
        _ => packet_type == 0 || packet_type == 1,
    }
}
