use std::time::Duration;

use arbutus_core::flow::Event;
use rand::Rng;

use super::{
    Spread, Workload,
    fleet::{self, Fleet},
    node::{self, Work},
    timeline::Step,
};

impl Fleet {
    /// Takes the next request of a flow at the flow's agent.
    pub(super) fn request(&mut self, flow: usize) {
        let entry = self.flows[flow];
        if !entry.held {
            return;
        }
        self.flows[flow].left -= 1;
        self.tell(entry.node, Event::Requested(entry.key));
        let asked = match self.scenario.workload {
            Workload::Units { .. } => entry.opened,
            Workload::Sessions { .. } => self.now,
        };
        let service = self.scenario.workload.service();
        let work = Work {
            flow,
            asked,
            demand: fleet::exponential(&mut self.demand(flow), service),
            handed: false,
        };
        self.meter.requests += u64::from(self.is_measured());
        if let Some(peer) = self.peer_for(entry.node) {
            return self.hand(entry.node, peer, work);
        }
        self.enqueue(entry.node, work);
    }

    /// The peer that should run a request for which `node` has no free slot.
    fn peer_for(&mut self, node: usize) -> Option<usize> {
        if self.nodes[node].work() < self.scenario.slots {
            return None;
        }
        match self.spread() {
            Spread::Stay => None,
            Spread::ByReport => {
                let admission = &mut self.nodes[node].admission;
                admission.reserve_free_peer(self.now).map(node::index_of)
            }
            Spread::ByCredit => self.nodes[node].credits.pop(),
        }
    }

    fn hand(&mut self, from: usize, to: usize, work: Work) {
        let work = Work {
            handed: true,
            ..work
        };
        self.meter.spread += u64::from(self.is_measured());
        let at = self.after(self.between(from, to));
        self.timeline.push(at, Step::Hand { node: to, work });
    }

    pub(super) fn take_handed(&mut self, node: usize, work: Work) {
        if self.nodes[node].alive {
            self.enqueue(node, work);
        } else {
            self.finish(work, true);
        }
    }

    fn enqueue(&mut self, node: usize, work: Work) {
        if self.sheds_at_once(node) {
            self.tell(node, Event::Shed);
            return self.finish(work, true);
        }
        if self.nodes[node].running < self.scenario.slots {
            self.nodes[node].running += 1;
            self.run_work(node, work);
        } else if self.nodes[node].queued() < self.scenario.queue {
            self.nodes[node].waiting.push_back(work);
        } else {
            return self.finish(work, true);
        }
        self.tell_requests(node);
    }

    fn run_work(&mut self, node: usize, work: Work) {
        let at = self.now + self.service_time(node, &work);
        self.timeline.push(at, Step::Done { node, work });
    }

    pub(super) fn done(&mut self, node: usize, work: Work) {
        if !self.nodes[node].alive {
            return;
        }
        self.finish(work, false);
        match self.nodes[node].waiting.pop_front() {
            Some(next) => self.run_work(node, next),
            None => self.nodes[node].running -= 1,
        }
        self.tell_requests(node);
        self.grant_credit(node);
    }

    /// Ends a request, and its flow where it was the last.
    fn finish(&mut self, work: Work, shed: bool) {
        if !self.holds(&work) {
            return;
        }
        if self.is_measured() {
            let way_back = if work.handed {
                self.scenario.between_domains
            } else {
                Duration::ZERO
            };
            if shed {
                self.meter.shed += 1;
            } else {
                let latency = self.now.since(work.asked) + way_back;
                let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                self.meter.latency(micros);
            }
        }
        self.go_on(work.flow);
    }

    fn go_on(&mut self, flow: usize) {
        let entry = self.flows[flow];
        if let (Workload::Sessions { pause, .. }, true) = (self.scenario.workload, entry.left > 0) {
            let mut demand = self.demand(flow);
            // The first draw was the length of the request.
            fleet::exponential(&mut demand, pause);
            let pause = fleet::exponential(&mut demand, pause);
            self.timeline
                .push(self.after(pause), Step::Request { flow });
            return;
        }
        self.flows[flow].held = false;
        self.nodes[entry.node].connections -= 1;
        self.tell(entry.node, Event::Closed(entry.key));
    }

    fn tell_requests(&mut self, node: usize) {
        let (running, queued) = (self.nodes[node].running, self.nodes[node].queued());
        self.tell(node, Event::Requests { running, queued });
    }

    /// Grants one request ahead to some peer, where a slot is free and no peer holds a grant.
    fn grant_credit(&mut self, node: usize) {
        let idle = self.nodes[node].work() < self.scenario.slots;
        if self.spread() != Spread::ByCredit || !idle || self.nodes[node].granted {
            return;
        }
        let others = self.nodes.len() - 1;
        if others == 0 {
            return;
        }
        let to = (node + 1 + self.rng.random_range(0..others)) % self.nodes.len();
        self.nodes[node].granted = true;
        self.count_credit_bytes(node);
        let at = self.after(self.between(node, to));
        self.timeline.push(
            at,
            Step::Credit {
                node: to,
                from: node,
            },
        );
    }

    pub(super) fn take_credit(&mut self, node: usize, from: usize) {
        match self.nodes[node].waiting.pop_front() {
            Some(work) => {
                self.hand(node, from, work);
                self.tell_requests(node);
            }
            None => self.nodes[node].credits.push(from),
        }
    }

    /// Takes unused grants back and grants anew, so that they do not stay with idle peers.
    pub(super) fn renew_credits(&mut self) {
        if self.spread() != Spread::ByCredit {
            return;
        }
        for node in &mut self.nodes {
            node.credits.clear();
            node.granted = false;
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].alive {
                self.grant_credit(node);
            }
        }
    }
}
