use std::net::SocketAddrV4;

/// Longest connection ID of QUIC versions 1 and 2, in bytes.
const MAX_DCID_BYTES: usize = 20;

/// What names a flow before its owner has given it an ID of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FlowKey {
    caller: SocketAddrV4,
    /// Zero past `dcid_bytes`.
    dcid: [u8; MAX_DCID_BYTES],
    /// Never above [`MAX_DCID_BYTES`].
    dcid_bytes: u8,
}

impl FlowKey {
    /// Names the flow that `caller` opens with the original destination connection ID `dcid`.
    ///
    /// Gives `None` where `dcid` is longer than QUIC allows.
    #[must_use]
    pub fn new(caller: SocketAddrV4, dcid: &[u8]) -> Option<Self> {
        let mut padded = [0; MAX_DCID_BYTES];
        padded.get_mut(..dcid.len())?.copy_from_slice(dcid);
        Some(Self {
            caller,
            dcid: padded,
            dcid_bytes: u8::try_from(dcid.len()).ok()?,
        })
    }

    /// The caller's address.
    #[must_use]
    pub const fn caller(&self) -> SocketAddrV4 {
        self.caller
    }

    /// The original destination connection ID.
    #[must_use]
    pub fn dcid(&self) -> &[u8] {
        &self.dcid[..usize::from(self.dcid_bytes)]
    }
}
