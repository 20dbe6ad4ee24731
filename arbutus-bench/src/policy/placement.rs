use arbutus_core::{
    flow::{Admission, Event, FirstPacket},
    route::NextHop,
    tunnel::TunnelHeader,
};
use rand::Rng;

use super::{Strategy, event_queue::SimEvent, fleet::Fleet, node};

impl Fleet {
    /// Starts a flow at an agent with the least load, which the oracle reads without delay.
    pub(super) fn place_by_oracle(&mut self, flow: usize) {
        let is_ready = |it: &node::Node| it.is_alive && !it.is_drained;
        let load = |it: &node::Node| (it.in_flight(), it.connections);
        let lowest_load = self.nodes.iter().filter(|it| is_ready(it)).map(load).min();
        let least_loaded: Vec<_> = (0..self.nodes.len())
            .filter(|it| is_ready(&self.nodes[*it]) && Some(load(&self.nodes[*it])) == lowest_load)
            .collect();
        let node = least_loaded[self.rng.random_range(0..least_loaded.len())];
        self.start_flow(node, flow);
    }

    /// Handles the first packet of a flow at an agent.
    pub(super) fn on_first_packet(&mut self, node: usize, flow: usize) {
        if node == usize::MAX {
            return self.send_first(flow);
        }
        if !self.nodes[node].is_alive {
            return self.retry_first(flow);
        }
        let header = self.flows[flow].header;
        match self.decide(node, flow, &header) {
            Admission::Accept => {
                self.report_accepted(node, flow);
                if self.is_measured() {
                    self.meter.hops += u64::from(header.hops);
                }
                self.start_flow(node, flow);
            }
            Admission::PassOn(hop) => {
                self.schedule_wakeup(node);
                self.flows[flow].header = hop.header;
                let to = node::index_of(hop.to);
                let at = self.after(self.delay_between(node, to));
                self.event_queue
                    .push(at, SimEvent::FirstPacket { node: to, flow });
            }
            Admission::Refuse(_) | Admission::Drop(_) => self.shed_flow(flow),
        }
    }

    /// Returns the agent's admission decision under the strategy of the run.
    fn decide(&mut self, node: usize, flow: usize, header: &TunnelHeader) -> Admission {
        let in_flight = f64::from(self.nodes[node].in_flight());
        match self.scenario.strategy {
            Strategy::Reports { .. } => {
                let key = self.flows[flow].key;
                let packet = FirstPacket {
                    header: *header,
                    dcid: key.dcid(),
                    full_size: true,
                };
                self.nodes[node]
                    .admission
                    .on_first_packet(&packet, self.now)
            }
            Strategy::Hashing | Strategy::Oracle => Admission::Accept,
            Strategy::Threshold { candidates } => {
                let threshold = f64::from(self.scenario.slots);
                accept_below(in_flight < threshold, candidates, header)
            }
            Strategy::Adaptive { candidates } => {
                self.nodes[node].update_mean_in_flight();
                let is_below = in_flight <= self.nodes[node].mean_in_flight;
                accept_below(is_below, candidates, header)
            }
        }
    }

    fn report_accepted(&mut self, node: usize, flow: usize) {
        let key = self.flows[flow].key;
        self.notify_agent(node, Event::Opened(key));
    }
}

/// Accepts a flow below a threshold, and passes it on to the next candidate otherwise.
///
/// The last of the first `candidates` candidates accepts the flow in any case.
fn accept_below(is_below: bool, candidates: usize, header: &TunnelHeader) -> Admission {
    let tried = usize::from(header.hops) + 1;
    let next = header.candidates.as_slice().first();
    let (false, true, Some(to)) = (is_below, tried < candidates, next) else {
        return Admission::Accept;
    };
    Admission::PassOn(NextHop {
        to: *to,
        header: header
            .candidates(header.candidates.without(*to))
            .hops(header.hops + 1),
    })
}
