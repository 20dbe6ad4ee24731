use std::net::SocketAddrV4;

use super::{RouteAgent, rendezvous};
use crate::{
    config::{DesiredState, Service},
    ident::ServiceTag,
    roster::AgentRecord,
    tunnel::Candidates,
};

/// An equal share in percent, which is the weight of a backend server without an operator setting.
const FULL_PERCENT: u32 = 100;

/// The agents of one service that accept new flows.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRoute {
    tag: ServiceTag,
    address: SocketAddrV4,
    /// Agents in order of their tunnel addresses, without duplicates.
    agents: Box<[RouteAgent]>,
    /// Whether all weights are equal.
    uniform: bool,
}

impl ServiceRoute {
    /// Builds the route of `service` from the agents of the service in `records`; other records are
    /// ignored.
    ///
    /// An agent is included only if its record is in state ready, the operator's setting for its
    /// backend server is to join, and its weight is above zero.
    #[must_use]
    pub fn build<'a>(
        service: &Service,
        records: impl IntoIterator<Item = &'a AgentRecord>,
    ) -> Self {
        let tag = service.tag();
        let mut agents: Vec<_> = records
            .into_iter()
            .filter(|record| record.tag == tag)
            .filter_map(|record| eligible_agent(service, record))
            .collect();
        agents.sort_unstable_by_key(|agent| agent.tunnel);
        agents.dedup_by_key(|agent| agent.tunnel);
        let uniform = agents
            .windows(2)
            .all(|pair| pair[0].weight_percent == pair[1].weight_percent);
        Self {
            tag,
            address: service.address,
            agents: agents.into_boxed_slice(),
            uniform,
        }
    }

    /// Returns the tag that identifies the service on the wire.
    #[must_use]
    pub const fn tag(&self) -> ServiceTag {
        self.tag
    }

    /// Returns the address that callers connect to.
    #[must_use]
    pub const fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Returns the agents that accept new flows.
    #[must_use]
    pub fn agents(&self) -> &[RouteAgent] {
        &self.agents
    }

    /// Returns the highest-ranked agents, best first, for the flow with the
    /// [`flow_hash`](super::flow_hash) `flow`.
    #[must_use]
    pub fn candidates(&self, flow: u64) -> Candidates {
        rendezvous::best_candidates(flow, &self.agents, self.uniform)
    }
}

/// Returns the entry of an agent that accepts new flows.
fn eligible_agent(service: &Service, record: &AgentRecord) -> Option<RouteAgent> {
    let operator_override = service.backend_override(&record.name);
    if !record.state.takes_new_flows() || operator_override.state != DesiredState::Join {
        return None;
    }
    let share = operator_override.weight_percent.unwrap_or(FULL_PERCENT);
    let weight = record.weight_percent.saturating_mul(share) / FULL_PERCENT;
    (weight > 0).then(|| RouteAgent::new(record.tunnel, weight))
}
