use std::net::SocketAddrV4;

use super::{RouteAgent, rendezvous};
use crate::{
    config::{DesiredState, Service},
    ident::ServiceTag,
    roster::AgentRecord,
    tunnel::Candidates,
};

const PERCENT: u32 = 100;

/// The agents of one service that take new flows.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRoute {
    tag: ServiceTag,
    address: SocketAddrV4,
    /// In the order of their tunnel addresses, each address once.
    agents: Box<[RouteAgent]>,
    /// Whether all weights are equal.
    uniform: bool,
}

impl ServiceRoute {
    /// Takes the agents of `service` out of `records`, whose other entries are passed over.
    ///
    /// An agent is left out unless it says that it is ready, the operator wants it to join, and
    /// its weight is above zero.
    #[must_use]
    pub fn build<'a>(
        service: &Service,
        records: impl IntoIterator<Item = &'a AgentRecord>,
    ) -> Self {
        let tag = service.tag();
        let mut agents: Vec<_> = records
            .into_iter()
            .filter(|record| record.tag == tag)
            .filter_map(|record| admit(service, record))
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

    /// The service's number on the wire.
    #[must_use]
    pub const fn tag(&self) -> ServiceTag {
        self.tag
    }

    /// The address that callers use.
    #[must_use]
    pub const fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// The agents that take new flows.
    #[must_use]
    pub fn agents(&self) -> &[RouteAgent] {
        &self.agents
    }

    /// The best agents for the flow with [`flow_hash`](super::flow_hash) `flow`, best first.
    #[must_use]
    pub fn candidates(&self, flow: u64) -> Candidates {
        rendezvous::best(flow, &self.agents, self.uniform)
    }
}

fn admit(service: &Service, record: &AgentRecord) -> Option<RouteAgent> {
    let wanted = service.backend_override(&record.name);
    if !record.state.takes_new_flows() || wanted.state != DesiredState::Join {
        return None;
    }
    let share = wanted.weight_percent.unwrap_or(PERCENT);
    let weight = record.weight_percent.saturating_mul(share) / PERCENT;
    (weight > 0).then(|| RouteAgent::new(record.tunnel, weight))
}
