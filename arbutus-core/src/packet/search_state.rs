use std::net::SocketAddrV4;

/// Where a search stands after an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum SearchState {
    /// Answers are missing.
    Waiting,
    /// These are to be asked too.
    Ask(Vec<SocketAddrV4>),
    /// This agent holds the flow.
    Found(SocketAddrV4),
    /// These cannot tell; their backend servers are to be given a packet.
    Try(Vec<SocketAddrV4>),
    /// Nobody holds the flow.
    Nobody,
}

/// What becomes of a search whose answers are late.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum LateSearch {
    /// What was sent may be lost.
    Again {
        /// These are asked, for the first time or again.
        ask: Vec<SocketAddrV4>,
        /// These get the packet again.
        retry: Vec<SocketAddrV4>,
    },
    /// It ends.
    GiveUp,
}
