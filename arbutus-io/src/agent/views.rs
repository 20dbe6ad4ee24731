use std::sync::Arc;

use arbutus_core::{
    config::{Service, Snapshot},
    membership::AgentNode,
};

use crate::admin::views::{AgentView, ConfigView, RosterView};

/// Returns the body of an agent's `/config`.
pub(super) fn config(name: &Arc<str>, node: &AgentNode) -> ConfigView {
    ConfigView {
        name: name.clone(),
        role: Arc::from("agent"),
        version: node.config_version().get(),
    }
}

/// Returns the body of an agent's `/roster`: the agent itself and its peers.
///
/// Agents keep no list of balancers.
pub(super) fn roster(node: &AgentNode) -> RosterView {
    let service = node.service().map(|service| Service::clone(service));
    let snapshot = Snapshot::new(node.config_version(), service);
    let records = std::iter::once(node.record()).chain(node.peers());
    RosterView {
        balancers: Vec::new(),
        agents: records
            .map(|record| AgentView::from_record(record, &snapshot))
            .collect(),
    }
}
