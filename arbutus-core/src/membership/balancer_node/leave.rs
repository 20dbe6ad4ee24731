use super::BalancerNode;
use crate::{
    membership::BalancerAction,
    roster::{AgentState, MemberKey, Update},
    time::Timestamp,
};

impl BalancerNode {
    /// Announces that the balancer leaves; to be called once, when the shutdown begins.
    ///
    /// Other balancers then no longer link to this one, offer it to agents or count it among the
    /// store readers of its failure domain. The balancer keeps merging records and answering
    /// messages until the process ends.
    pub fn leave(&mut self, now: Timestamp) -> Vec<BalancerAction> {
        self.record.version += 1;
        self.record.state = AgentState::Gone;
        let record = self.record.clone();
        let key = MemberKey::Balancer(record.control);
        let update = Update::Balancer { record, age_s: 0 };
        self.roster.merge(update, now);
        self.overlay.enqueue(&key, None);
        self.push_changes(now);
        std::mem::take(&mut self.actions)
    }
}
