use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::Load;
use crate::ident::{Incarnation, ServiceTag};

/// The load that an agent reports to peers of its service several times a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The reporting agent's tunnel address.
    pub from: SocketAddrV4,
    /// The agent's service.
    pub tag: ServiceTag,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// Sequence number; increases with each report of one incarnation.
    pub sequence: u32,
    /// In-flight requests, as in [`Load::requests`].
    pub requests: u32,
    /// Admitted flows.
    pub connections: u32,
    /// Requests that peers may pass on to the agent.
    pub free_slots: u32,
    /// The agent's current share of new flows, in thousandths of an equal share; 0 if the agent
    /// accepts none.
    pub weight_permille: u32,
}

/// The error returned for bytes that are not a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportError;

impl LoadReport {
    /// Maximum length of an encoded report, in bytes.
    pub const MAX_BYTES: usize = 64;

    /// Returns the reported load.
    #[must_use]
    pub const fn load(&self) -> Load {
        Load {
            requests: self.requests,
            connections: self.connections,
            weight_permille: self.weight_permille,
        }
    }

    /// Returns whether this report was made after `other`, a report of the same agent.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }

    /// Appends the encoded report to `buf`.
    ///
    /// # Panics
    ///
    /// Never: postcard encodes any report into a growing buffer.
    pub fn encode(&self, buf: &mut Vec<u8>) {
        let bytes = postcard::to_stdvec(self).expect("postcard encodes any report");
        buf.extend_from_slice(&bytes);
    }

    /// Decodes a report.
    ///
    /// # Errors
    ///
    /// Returns an error if the input is too long, too short or malformed.
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
        f.write_str("the bytes are not a load report")
    }
}

impl std::error::Error for ReportError {}
