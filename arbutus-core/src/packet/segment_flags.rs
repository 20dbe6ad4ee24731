use serde::{Deserialize, Serialize};

/// The control flags of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SegmentFlags(u8);

impl SegmentFlags {
    /// No flag.
    pub const NONE: Self = Self(0);
    /// The segment opens the flow.
    pub const SYN: Self = Self(1);
    /// The segment's acknowledgement number is valid.
    pub const ACK: Self = Self(2);
    /// The sender has no more data.
    pub const FIN: Self = Self(4);
    /// The segment resets the flow.
    pub const RST: Self = Self(8);

    /// Returns the flags that are set in `self` or in `other`.
    #[must_use]
    pub const fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Returns whether all flags of `other` are set.
    #[must_use]
    pub const fn contains(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }
}
