use super::{FlowId, SegmentFlags};

/// What the decisions read of one packet of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// The flow, whichever way the packet goes.
    pub flow: FlowId,
    /// What it says besides its payload.
    pub flags: SegmentFlags,
    /// Position of its first byte in the sender's stream.
    pub sequence: u32,
    /// Next byte that the sender expects of the other end, where its flags say so; in an opening segment of a caller the
    /// number of copies sent before.
    pub acknowledged: u32,
    /// Payload, in bytes.
    pub payload_len: u16,
}

impl Segment {
    /// Makes an empty segment without flags.
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

    /// Sets flags besides those that are set.
    #[must_use]
    pub const fn with_flags(mut self, flags: SegmentFlags) -> Self {
        self.flags = self.flags.union(flags);
        self
    }

    const fn has_syn(&self) -> bool {
        self.flags.contains(SegmentFlags::SYN)
    }

    /// Whether its acknowledgement has a meaning.
    #[must_use]
    pub const fn has_ack(&self) -> bool {
        self.flags.contains(SegmentFlags::ACK)
    }

    /// Whether its sender has nothing more to say.
    #[must_use]
    pub const fn has_fin(&self) -> bool {
        self.flags.contains(SegmentFlags::FIN)
    }

    /// Whether it resets the flow.
    #[must_use]
    pub const fn has_rst(&self) -> bool {
        self.flags.contains(SegmentFlags::RST)
    }

    /// Whether it asks for a new flow, as opposed to the answer that agrees to one.
    #[must_use]
    pub const fn is_opening(&self) -> bool {
        self.has_syn() && !self.has_ack()
    }

    /// Whether its sender waits for the other end.
    #[must_use]
    pub const fn expects_answer(&self) -> bool {
        !self.has_rst() && (self.payload_len > 0 || self.has_fin())
    }

    /// Whether it is the answer of a backend server that takes the flow.
    #[must_use]
    pub const fn is_accepting(&self) -> bool {
        self.has_syn() && self.has_ack()
    }
}
