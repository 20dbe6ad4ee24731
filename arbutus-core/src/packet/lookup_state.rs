use std::net::SocketAddrV4;

/// The state of a lookup after an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum LookupState {
    /// Answers are outstanding.
    Pending,
    /// These agents are queried next.
    Query(Vec<SocketAddrV4>),
    /// This agent owns the flow.
    Found(SocketAddrV4),
    /// These agents do not have a complete flow table. Their backend servers get the trial packet.
    Try(Vec<SocketAddrV4>),
    /// No queried agent owns the flow.
    NotFound,
}

/// What happens to a lookup whose answers are late.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum LookupTimeout {
    /// Datagrams are sent again, because the earlier ones may be lost.
    Retry {
        /// The agents that are queried, for the first time or again.
        query: Vec<SocketAddrV4>,
        /// The agents that get the trial packet again.
        retry: Vec<SocketAddrV4>,
    },
    /// The lookup ends without a result.
    Abandon,
}
