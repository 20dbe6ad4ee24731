/// Why a connection ID names no owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CidError {
    /// The ID is not [`CID_BYTES`](super::CID_BYTES) long.
    Length,
    /// Its key number is not valid here.
    UnknownKey,
    /// The redundancy does not match: the ID was not made by this system.
    Foreign,
}
