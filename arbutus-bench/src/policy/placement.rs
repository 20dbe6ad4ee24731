use arbutus_core::{
    flow::{Admission, Event, FirstPacket},
    route::NextHop,
    tunnel::TunnelHeader,
};
use rand::Rng;

use super::{Strategy, fleet::Fleet, node, timeline::Step};

impl Fleet {
    /// Takes a flow where the oracle puts it.
    pub(super) fn place_by_oracle(&mut self, flow: usize) {
        let ready = |it: &node::Node| it.alive && !it.drained;
        let key = |it: &node::Node| (it.work(), it.connections);
        let least = self.nodes.iter().filter(|it| ready(it)).map(key).min();
        let equals: Vec<_> = (0..self.nodes.len())
            .filter(|it| ready(&self.nodes[*it]) && Some(key(&self.nodes[*it])) == least)
            .collect();
        let node = equals[self.rng.random_range(0..equals.len())];
        self.start_flow(node, flow);
    }

    /// Lets an agent decide on the first packet of a flow.
    pub(super) fn first_packet(&mut self, node: usize, flow: usize) {
        if node == usize::MAX {
            return self.send_first(flow);
        }
        if !self.nodes[node].alive {
            return self.retry_first(flow);
        }
        let header = self.flows[flow].header;
        match self.decide(node, flow, &header) {
            Admission::Accept => {
                self.told_accepted(node, flow);
                if self.is_measured() {
                    self.meter.hops += u64::from(header.hops);
                }
                self.start_flow(node, flow);
            }
            Admission::PassOn(hop) => {
                self.plan_wake(node);
                self.flows[flow].header = hop.header;
                let to = node::index_of(hop.to);
                let at = self.after(self.between(node, to));
                self.timeline.push(at, Step::First { node: to, flow });
            }
            Admission::Refuse(_) | Admission::Drop(_) => self.shed_flow(flow),
        }
    }

    fn decide(&mut self, node: usize, flow: usize, header: &TunnelHeader) -> Admission {
        let work = f64::from(self.nodes[node].work());
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
                pass_above(work < threshold, candidates, header)
            }
            Strategy::Adaptive { candidates } => {
                self.nodes[node].note_mean();
                let below = work <= self.nodes[node].mean_work;
                pass_above(below, candidates, header)
            }
        }
    }

    fn told_accepted(&mut self, node: usize, flow: usize) {
        let key = self.flows[flow].key;
        self.tell(node, Event::Opened(key));
    }
}

/// Accepts below a threshold, and else passes on to the next of the first few candidates.
fn pass_above(below: bool, candidates: usize, header: &TunnelHeader) -> Admission {
    let asked = usize::from(header.hops) + 1;
    let next = header.candidates.as_slice().first();
    let (false, true, Some(to)) = (below, asked < candidates, next) else {
        return Admission::Accept;
    };
    Admission::PassOn(NextHop {
        to: *to,
        header: header
            .candidates(header.candidates.without(*to))
            .hops(header.hops + 1),
    })
}
