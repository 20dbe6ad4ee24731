use std::time::Duration;

use arbutus_core::flow::Event;
use rand::Rng;

use super::{
    RequestPlacement, Workload,
    event_queue::SimEvent,
    fleet::{self, Fleet},
    node::{self, Request},
};

impl Fleet {
    /// Handles the next request of a flow at the flow's agent.
    pub(super) fn on_request(&mut self, flow: usize) {
        let entry = self.flows[flow];
        if !entry.is_open {
            return;
        }
        self.flows[flow].remaining_requests -= 1;
        self.notify_agent(entry.node, Event::Requested(entry.key));
        let requested_at = match self.scenario.workload {
            Workload::Units { .. } => entry.opened_at,
            Workload::Sessions { .. } => self.now,
        };
        let mean_service_time = self.scenario.workload.mean_service_time();
        let request = Request {
            flow,
            requested_at,
            service_time: fleet::exponential(&mut self.request_rng(flow), mean_service_time),
            passed_on: false,
        };
        self.meter.requests += u64::from(self.is_measured());
        if let Some(peer) = self.peer_to_run(entry.node) {
            return self.pass_on(entry.node, peer, request);
        }
        self.enqueue(entry.node, request);
    }

    /// Returns the peer that should run a request, if `node` has no free slot.
    fn peer_to_run(&mut self, node: usize) -> Option<usize> {
        if self.nodes[node].in_flight() < self.scenario.slots {
            return None;
        }
        match self.request_placement() {
            RequestPlacement::Local => None,
            RequestPlacement::ByReport => {
                let admission = &mut self.nodes[node].admission;
                admission.reserve_free_peer(self.now).map(node::index_of)
            }
            RequestPlacement::ByCredit => self.nodes[node].credits.pop(),
        }
    }

    /// Passes a request on to another agent.
    fn pass_on(&mut self, from: usize, to: usize, request: Request) {
        let request = Request {
            passed_on: true,
            ..request
        };
        self.meter.passed_on += u64::from(self.is_measured());
        let at = self.after(self.delay_between(from, to));
        self.event_queue
            .push(at, SimEvent::RequestPassed { node: to, request });
    }

    pub(super) fn on_request_passed(&mut self, node: usize, request: Request) {
        if self.nodes[node].is_alive {
            self.enqueue(node, request);
        } else {
            self.finish(request, true);
        }
    }

    /// Starts, queues or sheds a request at a node.
    fn enqueue(&mut self, node: usize, request: Request) {
        if self.sheds_request(node) {
            self.notify_agent(node, Event::Shed);
            return self.finish(request, true);
        }
        if self.nodes[node].running < self.scenario.slots {
            self.nodes[node].running += 1;
            self.start_service(node, request);
        } else if self.nodes[node].queued() < self.scenario.queue_limit {
            self.nodes[node].queue.push_back(request);
        } else {
            return self.finish(request, true);
        }
        self.report_request_counts(node);
    }

    fn start_service(&mut self, node: usize, request: Request) {
        let at = self.now + self.service_time(node, &request);
        self.event_queue
            .push(at, SimEvent::RequestDone { node, request });
    }

    pub(super) fn on_request_done(&mut self, node: usize, request: Request) {
        if !self.nodes[node].is_alive {
            return;
        }
        self.finish(request, false);
        match self.nodes[node].queue.pop_front() {
            Some(next) => self.start_service(node, next),
            None => self.nodes[node].running -= 1,
        }
        self.report_request_counts(node);
        self.grant_credit(node);
    }

    /// Records the end of a request and continues its flow.
    fn finish(&mut self, request: Request, shed: bool) {
        if !self.is_flow_open(&request) {
            return;
        }
        if self.is_measured() {
            let return_delay = if request.passed_on {
                self.scenario.inter_domain_delay
            } else {
                Duration::ZERO
            };
            if shed {
                self.meter.shed += 1;
            } else {
                let latency = self.now.since(request.requested_at) + return_delay;
                let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                self.meter.record_latency(micros);
            }
        }
        self.continue_flow(request.flow);
    }

    /// Schedules the next request of a flow, or closes the flow after its last request.
    fn continue_flow(&mut self, flow: usize) {
        let entry = self.flows[flow];
        if let (Workload::Sessions { mean_pause, .. }, true) =
            (self.scenario.workload, entry.remaining_requests > 0)
        {
            let mut rng = self.request_rng(flow);
            // The first draw was the service time of the request.
            fleet::exponential(&mut rng, mean_pause);
            let pause = fleet::exponential(&mut rng, mean_pause);
            self.event_queue
                .push(self.after(pause), SimEvent::Request { flow });
            return;
        }
        self.flows[flow].is_open = false;
        self.nodes[entry.node].connections -= 1;
        self.notify_agent(entry.node, Event::Closed(entry.key));
    }

    fn report_request_counts(&mut self, node: usize) {
        let (running, queued) = (self.nodes[node].running, self.nodes[node].queued());
        self.notify_agent(node, Event::Requests { running, queued });
    }

    /// Grants a credit for one request to a random peer, if a slot is free and no peer holds a
    /// credit.
    fn grant_credit(&mut self, node: usize) {
        let has_free_slot = self.nodes[node].in_flight() < self.scenario.slots;
        if self.request_placement() != RequestPlacement::ByCredit
            || !has_free_slot
            || self.nodes[node].has_granted_credit
        {
            return;
        }
        let others = self.nodes.len() - 1;
        if others == 0 {
            return;
        }
        let to = (node + 1 + self.rng.random_range(0..others)) % self.nodes.len();
        self.nodes[node].has_granted_credit = true;
        self.count_credit_bytes(node);
        let at = self.after(self.delay_between(node, to));
        self.event_queue.push(
            at,
            SimEvent::Credit {
                node: to,
                from: node,
            },
        );
    }

    /// Uses a received credit for a queued request, or keeps it.
    pub(super) fn on_credit(&mut self, node: usize, from: usize) {
        match self.nodes[node].queue.pop_front() {
            Some(request) => {
                self.pass_on(node, from, request);
                self.report_request_counts(node);
            }
            None => self.nodes[node].credits.push(from),
        }
    }

    /// Revokes unused credits and grants new ones, so that credits do not remain with idle peers.
    pub(super) fn renew_credits(&mut self) {
        if self.request_placement() != RequestPlacement::ByCredit {
            return;
        }
        for node in &mut self.nodes {
            node.credits.clear();
            node.has_granted_credit = false;
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].is_alive {
                self.grant_credit(node);
            }
        }
    }
}
