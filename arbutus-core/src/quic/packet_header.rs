use crate::cid::CID_BYTES;

/// Smallest datagram that may carry a client's first packet (RFC 9000, section 14.1).
const MIN_INITIAL_BYTES: usize = 1_200;
const LONG_HEADER_BIT: u8 = 0x80;
const LONG_TYPE_MASK: u8 = 0x30;
const CID_LENGTH_AT: usize = 5;
const CID_AT: usize = 6;

/// What a balancer can tell of a datagram without keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketHeader<'a> {
    /// A long header that may open a flow: an Initial or 0-RTT packet.
    Opening {
        /// Destination connection ID, of a length that the caller chose.
        dcid: &'a [u8],
        /// Whether the datagram is long enough to be a first one.
        full_size: bool,
    },
    /// Any other long header.
    Long {
        /// Destination connection ID.
        dcid: &'a [u8],
    },
    /// A short header.
    Short {
        /// Destination connection ID, of the length that this system issues.
        dcid: &'a [u8],
    },
}

/// Why a datagram is no QUIC packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeaderError {
    /// It ends before its connection ID does.
    Truncated,
}

impl<'a> PacketHeader<'a> {
    /// The destination connection ID.
    #[must_use]
    pub const fn dcid(&self) -> &'a [u8] {
        match self {
            Self::Opening { dcid, .. } | Self::Long { dcid } | Self::Short { dcid } => dcid,
        }
    }
}

/// Reads the shape of the first packet in `datagram`.
///
/// # Errors
///
/// Fails where the datagram is too short for the header it begins.
pub fn parse_header(datagram: &[u8]) -> Result<PacketHeader<'_>, HeaderError> {
    let first = *datagram.first().ok_or(HeaderError::Truncated)?;
    if first & LONG_HEADER_BIT == 0 {
        let dcid = datagram.get(1..=CID_BYTES).ok_or(HeaderError::Truncated)?;
        return Ok(PacketHeader::Short { dcid });
    }
    let length = *datagram.get(CID_LENGTH_AT).ok_or(HeaderError::Truncated)?;
    let end = CID_AT + usize::from(length);
    let dcid = datagram.get(CID_AT..end).ok_or(HeaderError::Truncated)?;
    // Types 0 and 1 of QUIC versions 1 and 2 that may come first; a version negotiation packet
    // never comes from a caller.
    if is_opening(first, &datagram[1..CID_LENGTH_AT]) {
        let full_size = datagram.len() >= MIN_INITIAL_BYTES;
        return Ok(PacketHeader::Opening { dcid, full_size });
    }
    Ok(PacketHeader::Long { dcid })
}

fn is_opening(first: u8, version: &[u8]) -> bool {
    let kind = (first & LONG_TYPE_MASK) >> 4;
    match version {
        [0, 0, 0, 0] => false,
        // QUIC version 2 (RFC 9369) numbers the types from 1.
        [0x6b, 0x33, 0x43, 0xcf] => kind == 1 || kind == 2,
        _ => kind == 0 || kind == 1,
    }
}
