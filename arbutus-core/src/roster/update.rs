use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::{AgentRecord, BalancerRecord, DomainNotice, MemberKey, Rank};

/// One record as it travels between balancers.
///
/// Ages tell how long ago the member was last held to be live, so that a record of a member that
/// is gone expires at the same time everywhere.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// An agent's whole record.
    Agent {
        /// The record.
        record: AgentRecord,
        /// Seconds since the agent was held to be live.
        age_s: u16,
    },
    /// Only what changes of an agent whose record the receiver has at the same incarnation.
    AgentRank {
        /// The agent's tunnel address.
        tunnel: SocketAddrV4,
        /// Its rank.
        rank: Rank,
        /// Its share of new flows, in percent of an equal one.
        weight_percent: u32,
        /// Seconds since the agent was held to be live.
        age_s: u16,
    },
    /// A balancer's whole record.
    Balancer {
        /// The record.
        record: BalancerRecord,
        /// Seconds since the balancer was held to be live.
        age_s: u16,
    },
    /// Only the rank of a balancer whose record the receiver has at the same incarnation.
    BalancerRank {
        /// The balancer's control address.
        control: SocketAddrV4,
        /// Its rank.
        rank: Rank,
        /// Seconds since the balancer was held to be live.
        age_s: u16,
    },
    /// Word on a whole failure domain.
    Domain(DomainNotice),
}

impl Update {
    /// What the record is about.
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
