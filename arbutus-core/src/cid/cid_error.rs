/// Reason why a connection ID cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CidError {
    /// The ID is not [`CID_BYTES`](super::CID_BYTES) long.
    Length,
    /// The key ring has no key with the key number of the ID.
    UnknownKey,
    /// The redundancy does not match: the ID was not issued by this system.
    Foreign,
}
