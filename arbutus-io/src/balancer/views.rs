use std::sync::Arc;

use arbutus_core::membership::BalancerNode;

use crate::admin::views::{AgentView, BalancerView, ConfigView, RosterView};

/// Returns the body of a balancer's `/config`.
pub(super) fn config(name: &Arc<str>, node: &BalancerNode) -> ConfigView {
    ConfigView {
        name: name.clone(),
        role: Arc::from("balancer"),
        version: node.config().version.get(),
    }
}

/// Returns the body of a balancer's `/roster`.
pub(super) fn roster(node: &BalancerNode) -> RosterView {
    let own = node.record();
    let others = node
        .roster()
        .balancers()
        .filter(|record| record.control != own.control);
    RosterView {
        balancers: std::iter::once(own)
            .chain(others)
            .map(BalancerView::from_record)
            .collect(),
        agents: node
            .roster()
            .agents()
            .map(|record| AgentView::from_record(record, node.config()))
            .collect(),
    }
}
