use super::FlowId;

/// What the decisions read of one packet of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// The flow, whichever way the packet goes.
    pub flow: FlowId,
    /// Whether it opens the flow (SYN).
    pub opens: bool,
    /// Whether `acknowledged` has a meaning (ACK).
    pub acknowledges: bool,
    /// Whether its sender has nothing more to say (FIN).
    pub finishes: bool,
    /// Whether it resets the flow (RST).
    pub resets: bool,
    /// Position of its first byte in the sender's stream.
    pub sequence: u32,
    /// Next byte that the sender expects of the other end; in an opening segment of a caller the
    /// number of copies sent before.
    pub acknowledged: u32,
    /// Payload, in bytes.
    pub payload: u16,
}

impl Segment {
    /// Makes an empty segment without flags.
    #[must_use]
    pub const fn new(flow: FlowId) -> Self {
        Self {
            flow,
            opens: false,
            acknowledges: false,
            finishes: false,
            resets: false,
            sequence: 0,
            acknowledged: 0,
            payload: 0,
        }
    }

    /// Whether it asks for a new flow, as opposed to the answer that agrees to one.
    #[must_use]
    pub const fn is_opening(&self) -> bool {
        self.opens && !self.acknowledges
    }

    /// Whether its sender waits for the other end.
    #[must_use]
    pub const fn expects_answer(&self) -> bool {
        !self.resets && (self.payload > 0 || self.finishes)
    }

    /// Whether it is the answer of a backend server that takes the flow.
    #[must_use]
    pub const fn is_accepting(&self) -> bool {
        self.opens && self.acknowledges
    }
}
