use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::{AgentRecord, BalancerRecord, DomainNotice, MemberKey, Rank};

/// A record as sent between balancers.
///
/// Ages are relative to when the member was last considered live, so that the record of a member
/// that is gone expires at about the same time on all nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The full record of an agent.
    Agent {
        /// The record.
        record: AgentRecord,
        /// Seconds since the agent was last considered live.
        age_s: u16,
    },
    /// The changed fields of an agent whose record the receiver has in the same incarnation.
    AgentRank {
        /// The agent's tunnel address.
        tunnel: SocketAddrV4,
        /// The rank of the agent's record.
        rank: Rank,
        /// The agent's share of new flows, in percent of an equal share.
        weight_percent: u32,
        /// Seconds since the agent was last considered live.
        age_s: u16,
    },
    /// The full record of a balancer.
    Balancer {
        /// The record.
        record: BalancerRecord,
        /// Seconds since the balancer was last considered live.
        age_s: u16,
    },
    /// The rank of a balancer whose record the receiver has in the same incarnation.
    BalancerRank {
        /// The balancer's control address.
        control: SocketAddrV4,
        /// The rank of the balancer's record.
        rank: Rank,
        /// Seconds since the balancer was last considered live.
        age_s: u16,
    },
    /// A notice about a whole failure domain.
    Domain(DomainNotice),
}

impl Update {
    /// Returns the key of the record.
    #[must_use]
    pub fn key(&self) -> MemberKey {
        match self {
            Self::Agent { record, .. } => MemberKey::Agent(record.tunnel),
            Self::AgentRank { tunnel, .. } => MemberKey::Agent(*tunnel),
            Self::Balancer { record, .. } => MemberKey::Balancer(record.control),
            Self::BalancerRank { control, .. } => MemberKey::Balancer(*control),
            Self::Domain(notice) => MemberKey::Domain(notice.failure_domain.clone()),
        }
    }
}
