//! Admission of new flows while the backend servers of a service have more work than room.

use super::{RelayHeader, Segment, service_shares::ShareStanding};

/// The load of an agent's backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct BackendLoad {
    /// The number of requests that the backend server processes or queues, including those expected
    /// on flows that are opening.
    pub(super) in_flight: u32,
    /// The number of requests that the backend server processes concurrently; at least one.
    pub(super) slots: u32,
    /// Whether requests of callers that waited during an outage are expected.
    pub(super) has_backlog: bool,
}

/// What becomes of a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OpeningDecision {
    /// The backend server gets the flow.
    Admit,
    /// Another agent is asked.
    PassOn,
    /// The caller is told at once that the flow is not opened.
    Refuse,
    /// Nobody answers. The next transmission of the segment may find room, or an earlier one may have
    /// opened the flow.
    Ignore,
}

/// Decides which new flows a backend server gets, from the requests that it has in flight.
///
/// - Load below the capacity: a busy backend server leaves the flow to the next agent that the
///   balancer has chosen.
/// - The backlog after an outage: while the backend server warms up or the agent has just started,
///   callers that have waited come at once. When several agents are busy, the last of them has its
///   backend server queue the flow's request, which is served late.
/// - More load than capacity: a deep queue would make every request late and serve no more. The last
///   agent tells the caller at once that the service has no room, instead of leaving it to the timeout
///   of its opening segment. Limits are lower for service addresses that get a larger share than
///   others.
#[derive(Debug, Default)]
pub(super) struct OpeningAdmission;

impl OpeningAdmission {
    /// The number of requests in flight per two slots from which on a backend server is busy. A few
    /// requests are queued, so that no slot is idle between two of them.
    const MAX_PER_TWO_SLOTS: u32 = 4;

    /// The same limit for a service address that gets a larger share than another one.
    const MAX_PER_TWO_SLOTS_AHEAD: u32 = 2;

    /// The same limit for a service address that is starving, at the last agent that is asked.
    const MAX_PER_TWO_SLOTS_STARVING: u32 = 5;

    /// The same limit for the last agent during a backlog, and for a retransmitted opening segment,
    /// whose caller has already waited. Backend servers reject requests soon beyond it.
    const MAX_PER_TWO_SLOTS_LATE: u32 = 8;

    /// The number of busy agents after which a service counts as having no room.
    const MAX_BUSY_AGENTS: u8 = 4;

    /// Decides on the opening segment of a new flow.
    pub(super) fn decide(
        load: BackendLoad,
        standing: ShareStanding,
        header: &RelayHeader,
        segment: &Segment,
    ) -> OpeningDecision {
        let retransmitted = segment.acknowledged > 0;
        let is_last =
            !header.has_next() || header.hops().saturating_add(1) >= Self::MAX_BUSY_AGENTS;
        let per_two_slots = match standing {
            _ if retransmitted || (is_last && load.has_backlog) => Self::MAX_PER_TWO_SLOTS_LATE,
            ShareStanding::Starving if is_last => Self::MAX_PER_TWO_SLOTS_STARVING,
            ShareStanding::Starving | ShareStanding::Even => Self::MAX_PER_TWO_SLOTS,
            ShareStanding::Ahead => Self::MAX_PER_TWO_SLOTS_AHEAD,
        };
        let limit = load.slots.saturating_mul(per_two_slots) / 2;
        if load.in_flight < limit {
            return OpeningDecision::Admit;
        }
        if !is_last {
            return OpeningDecision::PassOn;
        }
        if retransmitted || load.has_backlog {
            OpeningDecision::Ignore
        } else {
            OpeningDecision::Refuse
        }
    }
}
