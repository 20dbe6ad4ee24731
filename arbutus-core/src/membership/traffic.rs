use super::MessageClass;

/// Counters of control messages and bytes since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tally {
    /// Number of messages.
    pub messages: u64,
    /// Number of bytes, without the overhead of the transport.
    pub bytes: u64,
}

impl Tally {
    const fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

/// Counters of the messages that a node sent and received, by class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Traffic {
    sent: [Tally; MessageClass::ALL.len()],
    received: [Tally; MessageClass::ALL.len()],
}

impl Traffic {
    /// Returns the counters of sent messages of a class.
    #[must_use]
    pub const fn sent(&self, class: MessageClass) -> Tally {
        self.sent[class as usize]
    }

    /// Returns the counters of received messages of a class.
    #[must_use]
    pub const fn received(&self, class: MessageClass) -> Tally {
        self.received[class as usize]
    }

    /// Returns the sum of all counters.
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
