use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Word that a whole failure domain is silent, or that it is heard again.
///
/// One notice takes the place of a suspicion of each member. Members keep their records, and
/// count again as soon as the notice is refuted with the next version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainNotice {
    /// The failure domain.
    pub failure_domain: Arc<str>,
    /// Rises with each notice; the higher one wins.
    pub version: u32,
    /// Whether the domain is silent; wins over the contrary at one version.
    pub silent: bool,
}

impl DomainNotice {
    /// Whether this notice replaces `other`.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.version, self.silent) > (other.version, other.silent)
    }
}
