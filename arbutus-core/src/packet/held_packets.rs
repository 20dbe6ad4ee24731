use super::Segment;

/// Packets that wait for a search.
#[derive(Debug, Default)]
pub(super) struct HeldPackets {
    /// In the order of their arrival; at most [`HeldPackets::MAX`].
    packets: Vec<Vec<u8>>,
    /// The one that tells whether a backend server holds the flow: the smallest that has to be
    /// answered, as an index into `packets`.
    telling: Option<usize>,
}

impl HeldPackets {
    /// Packets that wait; a caller has few under way before it hears anything.
    const MAX: usize = 4;

    pub(super) fn push(&mut self, segment: &Segment, packet: &[u8]) {
        if self.packets.len() >= Self::MAX {
            return;
        }
        let smaller = self.telling().is_none_or(|it| packet.len() < it.len());
        if segment.expects_answer() && smaller {
            self.telling = Some(self.packets.len());
        }
        self.packets.push(packet.to_vec());
    }

    /// The packet that tells whether a backend server holds the flow.
    pub(super) fn telling(&self) -> Option<&Vec<u8>> {
        self.packets.get(self.telling?)
    }

    /// All packets, without the telling one if the holder was given it.
    pub(super) fn all_but_telling_if(mut self, given: bool) -> Vec<Vec<u8>> {
        if let Some(index) = self.telling.filter(|_| given) {
            self.packets.remove(index);
        }
        self.packets
    }
}
