/// The number of one request at one agent, chosen by the caller of the machine and never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(u64);

impl RequestId {
    /// Makes an ID from its number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number itself.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// One try at getting a request answered, at the backend server or at a peer.
///
/// Events of an attempt that is over are recognized by its number and change nothing for the
/// caller, so that a late answer cannot reach another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// Counts up from 1 for each request.
    pub number: u8,
}

impl Attempt {
    /// Makes the attempt `number` of `request`.
    #[must_use]
    pub const fn new(request: RequestId, number: u8) -> Self {
        Self { request, number }
    }
}
