/// The number of a request at one agent, chosen by the user of the state machine and never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(u64);

impl RequestId {
    /// Creates an ID from its number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// An attempt to get a request answered, at the backend server or at a peer.
///
/// Events of an attempt that has ended are recognized by its number and do not affect the caller,
/// so a late response cannot reach another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, counted from 1 for each request.
    pub number: u8,
}

impl Attempt {
    /// Creates the ID of attempt `number` of `request`.
    #[must_use]
    pub const fn new(request: RequestId, number: u8) -> Self {
        Self { request, number }
    }
}
