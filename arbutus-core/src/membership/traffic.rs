use super::MessageClass;

/// Messages and bytes of control, counted since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tally {
    /// Messages.
    pub messages: u64,
    /// Bytes, without what the transport adds.
    pub bytes: u64,
}

impl Tally {
    const fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

/// What a node has sent and received, by class of message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Traffic {
    sent: [Tally; MessageClass::ALL.len()],
    received: [Tally; MessageClass::ALL.len()],
}

impl Traffic {
    /// What was sent of a class.
    #[must_use]
    pub const fn sent(&self, class: MessageClass) -> Tally {
        self.sent[class as usize]
    }

    /// What was received of a class.
    #[must_use]
    pub const fn received(&self, class: MessageClass) -> Tally {
        self.received[class as usize]
    }

    /// All that was sent and received.
    #[must_use]
    pub fn total(&self) -> Tally {
        let mut total = Tally::default();
        for tally in self.sent.iter().chain(&self.received) {
            total.messages += tally.messages;
            total.bytes += tally.bytes;
        }
        total
    }

    pub(super) const fn count_sent(&mut self, class: MessageClass, bytes: usize) {
        self.sent[class as usize].add(bytes);
    }

    pub(super) const fn count_received(&mut self, class: MessageClass, bytes: usize) {
        self.received[class as usize].add(bytes);
    }
}
