use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A notice that a whole failure domain is silent, or reachable again.
///
/// A single notice replaces a suspicion of each member. The members' records are kept, and apply
/// again as soon as the notice is refuted with the next version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainNotice {
    /// The failure domain.
    pub failure_domain: Arc<str>,
    /// Version of the notice, increased with each change; the higher one wins.
    pub version: u32,
    /// Whether the failure domain is silent. At equal versions, `true` wins.
    pub silent: bool,
}

impl DomainNotice {
    /// Returns whether this notice replaces `other`.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.version, self.silent) > (other.version, other.silent)
    }
}
