use super::BalancerNode;
use crate::{
    membership::BalancerAction,
    roster::{AgentState, MemberKey, Update},
    time::Timestamp,
};

impl BalancerNode {
    /// Says that the balancer ends; to be called once, when its stop begins.
    ///
    /// Others no longer link to it, name it to agents or let it read the store for its failure
    /// domain. It goes on merging and answering until the process ends.
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
