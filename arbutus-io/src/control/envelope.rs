use bytes::{BufMut, Bytes, BytesMut};

const KIND_MEMBERSHIP: u8 = 1;
const KIND_LOAD_REPORT: u8 = 2;

/// A control message with its kind.
///
/// Encoded as one byte for the kind, followed by the encoded message.
#[derive(Debug, Clone)]
pub enum Envelope {
    /// A membership or configuration message.
    Membership(Bytes),
    /// A load report from a peer agent.
    LoadReport(Bytes),
}

impl Envelope {
    /// Encodes the envelope.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let (kind, body) = match self {
            Self::Membership(body) => (KIND_MEMBERSHIP, body),
            Self::LoadReport(body) => (KIND_LOAD_REPORT, body),
        };
        let mut buf = BytesMut::with_capacity(1 + body.len());
        buf.put_u8(kind);
        buf.extend_from_slice(body);
        buf.freeze()
    }

    /// Decodes an envelope; returns `None` if it is empty or of an unknown kind.
    #[must_use]
    pub fn decode(bytes: &Bytes) -> Option<Self> {
        let kind = *bytes.first()?;
        let body = bytes.slice(1..);
        match kind {
            KIND_MEMBERSHIP => Some(Self::Membership(body)),
            KIND_LOAD_REPORT => Some(Self::LoadReport(body)),
            _ => None,
        }
    }
}
