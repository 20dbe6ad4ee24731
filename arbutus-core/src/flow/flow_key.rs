use std::net::SocketAddrV4;

/// Maximum length of a connection ID in QUIC versions 1 and 2, in bytes.
const MAX_DCID_BYTES: usize = 20;

/// The identity of a flow until its owner assigns a connection ID of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FlowKey {
    caller: SocketAddrV4,
    /// The original destination connection ID, padded with zeros from `dcid_bytes` on.
    dcid: [u8; MAX_DCID_BYTES],
    /// Length of the connection ID, at most [`MAX_DCID_BYTES`].
    dcid_bytes: u8,
}

impl FlowKey {
    /// Creates the key of the flow that `caller` opens with the original destination connection ID
    /// `dcid`.
    ///
    /// Returns `None` if `dcid` is longer than QUIC allows.
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

    /// Returns the caller's address.
    #[must_use]
    pub const fn caller(&self) -> SocketAddrV4 {
        self.caller
    }

    /// Returns the original destination connection ID.
    #[must_use]
    pub fn dcid(&self) -> &[u8] {
        &self.dcid[..usize::from(self.dcid_bytes)]
    }
}
