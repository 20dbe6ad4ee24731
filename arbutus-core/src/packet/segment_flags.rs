use serde::{Deserialize, Serialize};

/// What a segment says besides its payload.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SegmentFlags(u8);

impl SegmentFlags {
    /// Nothing.
    pub const NONE: Self = Self(0);
    /// It opens the flow (SYN).
    pub const SYN: Self = Self(1);
    /// Its acknowledgement has a meaning (ACK).
    pub const ACK: Self = Self(2);
    /// Its sender has nothing more to say (FIN).
    pub const FIN: Self = Self(4);
    /// It resets the flow (RST).
    pub const RST: Self = Self(8);

    /// Makes the flags that are set here or in `other`.
    #[must_use]
    pub const fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Whether all flags of `other` are set.
    #[must_use]
    pub const fn contains(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }
}
