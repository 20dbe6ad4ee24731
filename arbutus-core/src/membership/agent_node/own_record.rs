//! Updates of the agent's own record, and its reconciliation with the ranks that balancers hold.

use super::AgentNode;
use crate::{
    config::DesiredState,
    membership::{AgentAction, HeartbeatAck},
    roster::{AgentState, Rank},
    time::Timestamp,
};

impl AgentNode {
    /// Advances the state requested by the agent itself; the state never goes back.
    pub(super) fn set_own_state(&mut self, state: AgentState, now: Timestamp) -> Vec<AgentAction> {
        self.own_state = self.own_state.max(state);
        self.apply_requested_state(now);
        std::mem::take(&mut self.actions)
    }

    /// Updates the record to the state and weight requested by the agent and the operator.
    pub(super) fn apply_requested_state(&mut self, now: Timestamp) {
        let operator_override = self
            .service()
            .map(|service| service.backend_override(&self.record.name))
            .unwrap_or_default();
        let operator_state = match operator_override.state {
            DesiredState::Join => AgentState::Ready,
            DesiredState::Drain | DesiredState::Leave => AgentState::Draining,
        };
        let state = self.own_state.max(operator_state);
        let weight = operator_override
            .weight_percent
            .unwrap_or(Self::DEFAULT_WEIGHT_PERCENT);
        let is_unchanged = state == self.record.state && weight == self.record.weight_percent;
        if is_unchanged {
            return;
        }
        if state != self.record.state {
            self.actions.push(AgentAction::StateChanged(state));
        }
        self.record.state = state;
        self.record.weight_percent = weight;
        self.raise_version(self.record.version, now);
    }

    const DEFAULT_WEIGHT_PERCENT: u32 = 100;

    /// Raises the agent's own rank above a higher one that a balancer holds.
    pub(super) fn reconcile_rank(&mut self, ack: &HeartbeatAck, now: Timestamp) {
        let own = self.record.rank();
        let known = ack.known_rank.filter(|known| *known > own);
        if ack.conflict {
            self.adopt_incarnation_after(own, now);
            return;
        }
        match known {
            Some(known) if known.incarnation > own.incarnation => {
                self.adopt_incarnation_after(known, now);
            }
            Some(known) => self.raise_version(known.version, now),
            None if ack.known_rank == Some(own) => self.start_serving(),
            None => {}
        }
    }

    fn adopt_incarnation_after(&mut self, known: Rank, now: Timestamp) {
        self.record.incarnation = known.incarnation.next();
        self.record.version = 0;
        self.serving = None;
        self.raise_version(0, now);
    }

    fn start_serving(&mut self) {
        let incarnation = self.record.incarnation;
        if self.serving != Some(incarnation) {
            self.serving = Some(incarnation);
            self.actions.push(AgentAction::Serve(incarnation));
        }
    }

    /// Sets the record's version to one above both `above` and the current one, and sends it to all
    /// homes at once.
    fn raise_version(&mut self, above: u32, now: Timestamp) {
        self.record.version = above.max(self.record.version) + 1;
        self.send_heartbeats(now);
    }
}
