//! Faults of the simulated fleet.

use std::time::Duration;

use arbutus_core::{
    config::{ConfigVersion, Snapshot},
    flow::{Event, FlowLimits, FlowPolicy},
    roster::AgentState,
    route::RouteTable,
};

use super::{
    super::{Fault, Strategy},
    Fleet, Node, SimEvent,
};

/// Time for which balancers and agents use the old roster after a drain or a crash.
const ROSTER_UPDATE_DELAY: Duration = Duration::from_secs(3);
/// Time after its start for which a cold backend server is slower.
const COLD_START_DURATION: Duration = Duration::from_secs(5);

impl Fleet {
    pub(super) fn inject_fault(&mut self) {
        let updated_at = self.after(ROSTER_UPDATE_DELAY);
        let first = &mut self.nodes[0];
        match self.scenario.fault {
            Fault::None | Fault::Slow | Fault::Shedding => return,
            Fault::ColdStart => {
                first.is_alive = true;
                first.listed_state = AgentState::Ready;
                first.cold_until = self.now + COLD_START_DURATION;
                let (limits, policy) = (FlowLimits::new(), self.policy());
                let limits = limits
                    .slots(self.scenario.slots)
                    .queue(self.scenario.queue_limit);
                self.nodes[0] = Node {
                    cold_until: self.now + COLD_START_DURATION,
                    ..Node::new(0, self.scenario.domains, limits, policy, self.now)
                };
                return self.update_rosters();
            }
            Fault::Drain => {
                first.is_drained = true;
                first.listed_state = AgentState::Draining;
                self.notify_agent(0, Event::Drain);
            }
            Fault::Crash => {
                first.is_alive = false;
                first.listed_state = AgentState::Gone;
                first.queue.clear();
                self.break_flows();
            }
        }
        self.event_queue.push(updated_at, SimEvent::RosterUpdate);
    }

    pub(super) fn policy(&self) -> FlowPolicy {
        match self.scenario.strategy {
            Strategy::Reports { policy, .. } => policy,
            _ => FlowPolicy::new(),
        }
    }

    /// Closes the flows of the crashed node and counts them as broken.
    fn break_flows(&mut self) {
        for flow in &mut self.flows {
            if flow.is_open && flow.node == 0 {
                flow.is_open = false;
                self.meter.broken += 1;
            }
        }
    }

    /// Updates balancers and agents with the current roster.
    pub(super) fn update_rosters(&mut self) {
        let records: Vec<_> = self.nodes.iter().map(Node::record).collect();
        let snapshot = Snapshot::new(ConfigVersion::new(1), [self.service.clone()]);
        self.table = RouteTable::build(&snapshot, &records);
        for node in 0..self.nodes.len() {
            self.notify_agent(node, Event::Peers(records.clone()));
        }
    }
}
