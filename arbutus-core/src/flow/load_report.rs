use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::Load;
use crate::ident::{Incarnation, ServiceTag};

/// What an agent tells peers of its service several times a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The reporting agent's tunnel address.
    pub from: SocketAddrV4,
    /// Its service.
    pub tag: ServiceTag,
    /// Its life at this address.
    pub incarnation: Incarnation,
    /// Rises with each report of one incarnation.
    pub sequence: u32,
    /// Requests that run, wait, or are expected of flows just admitted.
    pub requests: u32,
    /// Open flows.
    pub connections: u32,
    /// Requests that peers may pass on to it.
    pub free_slots: u32,
    /// Its present share of new flows, in thousandths of an equal one; 0 where it takes none.
    pub weight_permille: u32,
}

/// Why bytes are not a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportError;

impl LoadReport {
    /// Longest encoded report, in bytes.
    pub const MAX_BYTES: usize = 64;

    /// The load that is reported.
    #[must_use]
    pub const fn load(&self) -> Load {
        Load {
            requests: self.requests,
            connections: self.connections,
            weight_permille: self.weight_permille,
        }
    }

    /// Whether this report was made after `other` by the same agent.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }

    /// Appends the report to `buf`.
    ///
    /// # Panics
    ///
    /// Never: a buffer in memory takes any report.
    pub fn encode(&self, buf: &mut Vec<u8>) {
        let bytes = postcard::to_stdvec(self).expect("a plain struct can be encoded");
        buf.extend_from_slice(&bytes);
    }

    /// Reads a report.
    ///
    /// # Errors
    ///
    /// Fails where the bytes are too many, too few, or malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, ReportError> {
        if bytes.len() > Self::MAX_BYTES {
            return Err(ReportError);
        }
        match postcard::take_from_bytes(bytes) {
            Ok((report, [])) => Ok(report),
            _ => Err(ReportError),
        }
    }
}

impl std::fmt::Display for ReportError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the bytes are no load report")
    }
}

impl std::error::Error for ReportError {}
