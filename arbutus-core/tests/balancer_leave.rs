//! The announcement of a balancer that stops.

use std::{net::SocketAddrV4, time::Duration};

use arbutus_core::{
    ident::Incarnation,
    membership::{BalancerAction, BalancerEvent, BalancerIdentity, BalancerNode, Settings},
    roster::AgentState,
    time::Timestamp,
};

const STEP: Duration = Duration::from_millis(50);

/// A few balancers whose messages are delivered immediately.
struct Fleet {
    nodes: Vec<BalancerNode>,
    addresses: Vec<SocketAddrV4>,
    now: Timestamp,
}

impl Fleet {
    fn start(count: u16) -> Self {
        let addresses: Vec<SocketAddrV4> = (1..=count)
            .map(|number| SocketAddrV4::new([10, 0, 0, 1].into(), 7_000 + number))
            .collect();
        let now = Timestamp::from_millis(1_000);
        let nodes = addresses
            .iter()
            .zip(1_u64..)
            .map(|(control, seed)| {
                let identity = BalancerIdentity {
                    name: format!("balancer-{seed}").into(),
                    failure_domain: "mvd-a".into(),
                    control: *control,
                    tunnel: *control,
                    admin_port: 1,
                    incarnation: Incarnation::new(1),
                    peers: addresses
                        .iter()
                        .copied()
                        .filter(|it| it != control)
                        .collect(),
                };
                BalancerNode::new(Settings::new(), &identity, seed, now)
            })
            .collect();
        Self {
            nodes,
            addresses,
            now,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            for index in 0..self.nodes.len() {
                let actions = self.nodes[index].handle(BalancerEvent::Tick, self.now);
                self.deliver(index, actions);
            }
        }
    }

    fn deliver(&mut self, sender: usize, actions: Vec<BalancerAction>) {
        let from = self.addresses[sender];
        for action in actions {
            let BalancerAction::Send { to, payload } = action else {
                continue;
            };
            let Some(index) = self.addresses.iter().position(|it| *it == to) else {
                continue;
            };
            let event = BalancerEvent::Received { from, payload };
            let answers = self.nodes[index].handle(event, self.now);
            self.deliver(index, answers);
        }
    }

    fn state_of_first_at(&self, index: usize) -> Option<AgentState> {
        let record = self.nodes[index].roster().balancer(self.addresses[0])?;
        Some(record.state)
    }
}

#[test]
fn a_balancer_that_leaves_stays_gone_at_all_other_balancers() {
    let mut fleet = Fleet::start(4);
    fleet.run(Duration::from_secs(5));
    for index in 1..4 {
        assert_eq!(fleet.state_of_first_at(index), Some(AgentState::Ready));
    }
    let actions = fleet.nodes[0].leave(fleet.now);
    fleet.deliver(0, actions);
    // A stopping process keeps running and sending messages for a while.
    fleet.run(Duration::from_secs(10));
    for index in 1..4 {
        assert_eq!(fleet.state_of_first_at(index), Some(AgentState::Gone));
    }
}
