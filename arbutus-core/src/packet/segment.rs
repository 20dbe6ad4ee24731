use super::{FlowId, SegmentFlags};

/// The fields of a flow's packet on which forwarding decisions depend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// The flow, regardless of the direction of the packet.
    pub flow: FlowId,
    /// The control flags.
    pub flags: SegmentFlags,
    /// The position of the segment's first byte in the sender's stream.
    pub sequence: u32,
    /// The position of the next byte that the sender expects, if the ACK flag is set. In a caller's
    /// opening segment, the number of earlier transmissions.
    pub acknowledged: u32,
    /// The length of the payload, in bytes.
    pub payload_len: u16,
}

impl Segment {
    /// Creates an empty segment without flags.
    #[must_use]
    pub const fn new(flow: FlowId) -> Self {
        Self {
            flow,
            flags: SegmentFlags::NONE,
            sequence: 0,
            acknowledged: 0,
            payload_len: 0,
        }
    }

    /// Sets further flags.
    #[must_use]
    pub const fn with_flags(mut self, flags: SegmentFlags) -> Self {
        self.flags = self.flags.union(flags);
        self
    }

    const fn has_syn(&self) -> bool {
        self.flags.contains(SegmentFlags::SYN)
    }

    /// Returns whether the acknowledgement number is valid.
    #[must_use]
    pub const fn has_ack(&self) -> bool {
        self.flags.contains(SegmentFlags::ACK)
    }

    /// Returns whether the sender has no more data.
    #[must_use]
    pub const fn has_fin(&self) -> bool {
        self.flags.contains(SegmentFlags::FIN)
    }

    /// Returns whether the segment resets the flow.
    #[must_use]
    pub const fn has_rst(&self) -> bool {
        self.flags.contains(SegmentFlags::RST)
    }

    /// Returns whether the segment opens a new flow (SYN without ACK).
    #[must_use]
    pub const fn is_opening(&self) -> bool {
        self.has_syn() && !self.has_ack()
    }

    /// Returns whether the segment requires a response from the other end.
    #[must_use]
    pub const fn expects_answer(&self) -> bool {
        !self.has_rst() && (self.payload_len > 0 || self.has_fin())
    }

    /// Returns whether the segment is a backend server's acceptance of a new flow (SYN with ACK).
    #[must_use]
    pub const fn is_accepting(&self) -> bool {
        self.has_syn() && self.has_ack()
    }
}
