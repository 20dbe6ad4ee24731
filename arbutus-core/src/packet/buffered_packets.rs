use super::Segment;

/// The packets of a flow that are buffered during the lookup of its owner.
#[derive(Debug, Default)]
pub(super) struct BufferedPackets {
    /// The packets in the order of their arrival; at most [`BufferedPackets::MAX_PACKETS`].
    packets: Vec<Vec<u8>>,
    /// The index of the trial packet in `packets`: the smallest one that requires a response, so
    /// that the response shows whether a backend server holds the flow.
    trial_index: Option<usize>,
}

impl BufferedPackets {
    /// The maximum number of buffered packets. A caller has only a few in flight before it gets a
    /// response.
    const MAX_PACKETS: usize = 4;

    pub(super) fn push(&mut self, segment: &Segment, packet: &[u8]) {
        if self.packets.len() >= Self::MAX_PACKETS {
            return;
        }
        let smaller = self.trial_packet().is_none_or(|it| packet.len() < it.len());
        if segment.expects_answer() && smaller {
            self.trial_index = Some(self.packets.len());
        }
        self.packets.push(packet.to_vec());
    }

    /// Returns the packet whose response shows whether a backend server holds the flow.
    pub(super) fn trial_packet(&self) -> Option<&Vec<u8>> {
        self.packets.get(self.trial_index?)
    }

    /// Returns all packets, without the trial packet if the owner has already received it.
    pub(super) fn into_packets(mut self, trial_delivered: bool) -> Vec<Vec<u8>> {
        if let Some(index) = self.trial_index.filter(|_| trial_delivered) {
            self.packets.remove(index);
        }
        self.packets
    }
}
