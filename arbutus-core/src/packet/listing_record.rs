use serde::{Deserialize, Serialize};

use super::{AgentListing, BackendProcess};

/// The value of an agent's entry in the platform's store.
///
/// Balancers read the listing only. The agent's next process at the same address reads which
/// process of the backend server this one has served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListingRecord {
    /// The listing.
    #[serde(flatten)]
    pub listing: AgentListing,
    /// The process of the backend server, which entries of earlier versions do not name.
    #[serde(default)]
    pub backend: Option<BackendProcess>,
}

/// What the store says about the agent's process before this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EarlierListing {
    /// The store has not answered yet.
    Unknown,
    /// The store had no entry of another process at this address.
    Absent,
    /// The store had an entry. Its process served this process of the backend server, if the entry
    /// could be read.
    Served(Option<BackendProcess>),
}

impl EarlierListing {
    /// Returns whether the agent's earlier process did not serve `process`.
    #[must_use]
    pub fn excludes(&self, process: &BackendProcess) -> bool {
        match self {
            Self::Absent => true,
            Self::Served(Some(served)) => served != process,
            Self::Unknown | Self::Served(None) => false,
        }
    }
}
