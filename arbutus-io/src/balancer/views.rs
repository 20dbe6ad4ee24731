use std::sync::Arc;

use arbutus_core::{
    config::Snapshot,
    membership::BalancerNode,
    roster::{AgentRecord, AgentState, BalancerRecord},
};

use crate::admin::views::{AgentView, BalancerView, ConfigView, RosterView};

/// The body of a balancer's `/config`.
pub(super) fn config(name: &Arc<str>, node: &BalancerNode) -> ConfigView {
    ConfigView {
        name: name.clone(),
        role: Arc::from("balancer"),
        version: node.config().version.get(),
    }
}

/// The body of a balancer's `/roster`.
pub(super) fn roster(node: &BalancerNode) -> RosterView {
    let own = node.record();
    let others = node
        .roster()
        .balancers()
        .filter(|record| record.control != own.control);
    RosterView {
        balancers: std::iter::once(own).chain(others).map(balancer).collect(),
        agents: node
            .roster()
            .agents()
            .map(|record| agent(record, node.config()))
            .collect(),
    }
}

/// A balancer's record as `/roster` shows it.
pub(crate) fn balancer(record: &BalancerRecord) -> BalancerView {
    BalancerView {
        name: record.name.clone(),
        admin: (*record.control.ip(), record.admin_port).into(),
        control: record.control,
        failure_domain: record.failure_domain.clone(),
        state: Arc::from(state(record.state)),
    }
}

/// An agent's record as `/roster` shows it.
pub(crate) fn agent(record: &AgentRecord, config: &Snapshot) -> AgentView {
    let service = config.services.get(&record.tag);
    AgentView {
        name: record.name.clone(),
        service: service.map_or_else(
            || Arc::from(record.tag.to_string()),
            |service| service.name.clone(),
        ),
        tunnel: record.tunnel,
        control: record.control,
        admin: (*record.control.ip(), record.admin_port).into(),
        failure_domain: record.failure_domain.clone(),
        incarnation: record.incarnation.get(),
        version: record.version,
        state: Arc::from(state(record.state)),
        weight_percent: record.weight_percent,
    }
}

const fn state(state: AgentState) -> &'static str {
    match state {
        AgentState::Ready => "ready",
        AgentState::Draining => "draining",
        AgentState::Suspect => "suspect",
        AgentState::Gone => "gone",
    }
}
