use std::net::SocketAddrV4;

use super::{
    Admission, FirstPacket, FlowAdmission, FlowDrop, FlowKey, Refusal, flow_admission::Phase,
};
use crate::{route::NextHop, time::Timestamp, tunnel::TunnelHeader};

/// Hop count from which an agent with capacity accepts a flow even if a peer has a better score.
///
/// The peer may be full by the time the flow arrives, and the number of hops is limited by
/// [`FlowPolicy::max_hops`](super::FlowPolicy::max_hops).
const LOCAL_PREFERENCE_HOPS: u8 = 2;

/// The placement of new flows.
impl FlowAdmission {
    /// Decides on a packet that may open a flow, without counting refusals and drops.
    pub(super) fn decide(&mut self, packet: &FirstPacket<'_>, now: Timestamp) -> Admission {
        let header = &packet.header;
        if header.tag != self.tag {
            return Admission::Drop(FlowDrop::WrongService);
        }
        let Some(flow) = FlowKey::new(header.endpoints.source, packet.dcid) else {
            return Admission::Drop(FlowDrop::Malformed);
        };
        if self.flows.contains(&flow) {
            self.counters.known_flow_datagrams += 1;
            return Admission::Accept;
        }
        let passed = self.passed_flows.get(&flow);
        let has_looped = passed.is_some_and(|passed| header.hops > passed.hops);
        if let Some(passed) = passed
            && !has_looped
            && header.hops < self.policy.max_hops
            && !self.peers.is_presumed_lost(passed.to, &self.policy, now)
        {
            self.counters.known_flow_datagrams += 1;
            return self.pass_on(header, passed.to);
        }
        if !packet.full_size {
            return Admission::Drop(FlowDrop::NotFirst);
        }
        self.place(flow, header, has_looped, now)
    }

    /// Places a flow that this agent has not admitted or passed on, or whose previous target is no
    /// longer usable.
    fn place(
        &mut self,
        flow: FlowKey,
        header: &TunnelHeader,
        has_looped: bool,
        now: Timestamp,
    ) -> Admission {
        let has_capacity = self.has_capacity();
        let may_choose_better = !has_looped && header.hops < LOCAL_PREFERENCE_HOPS;
        let may_pass_on =
            header.hops < self.policy.max_hops && (may_choose_better || !has_capacity);
        let target = if may_pass_on {
            self.choose_peer(header, now)
        } else {
            None
        };
        let Some(to) = target else {
            return self.accept_or_refuse(flow, now);
        };
        self.peers.record_sent_flow(to, &self.policy, now);
        self.counters.passed_on += 1;
        self.counters.evicted_passed_flows +=
            self.passed_flows
                .insert(flow, to, header.hops, &self.policy, now);
        self.pass_on(header, to)
    }

    /// Returns the peer that should receive a new flow in place of this agent.
    fn choose_peer(&mut self, header: &TunnelHeader, now: Timestamp) -> Option<SocketAddrV4> {
        let own_score = self.load(now).score(&self.policy);
        let best = self.peers.best(&self.policy, &mut self.rng, now);
        let margin = match header.hops {
            0 => self.policy.first_hop_margin,
            _ => self.policy.later_hop_margin,
        };
        match (own_score, best) {
            (Some(own_score), Some(best)) => {
                (best.score + margin < own_score).then_some(best.tunnel)
            }
            (None, Some(best)) => Some(best.tunnel),
            (Some(_), None) if self.has_free_slot(now) => None,
            (_, None) => self.next_candidate(header, now),
        }
    }

    /// Returns the balancer's first other candidate that is not known to refuse new flows.
    fn next_candidate(&self, header: &TunnelHeader, now: Timestamp) -> Option<SocketAddrV4> {
        let candidates = header.candidates.as_slice().iter().copied();
        candidates
            .filter(|agent| *agent != self.tunnel)
            .find(|agent| !self.peers.refuses_new_flows(*agent, &self.policy, now))
    }

    fn pass_on(&self, header: &TunnelHeader, to: SocketAddrV4) -> Admission {
        let candidates = header.candidates.without(self.tunnel).without(to);
        Admission::PassOn(NextHop {
            to,
            header: header
                .candidates(candidates)
                .hops(header.hops.saturating_add(1)),
        })
    }

    fn accept_or_refuse(&mut self, flow: FlowKey, now: Timestamp) -> Admission {
        if self.phase != Phase::Open {
            return Admission::Refuse(Refusal::Draining);
        }
        if !self.has_capacity() || !self.admit(flow, false, now) {
            return Admission::Refuse(Refusal::Full);
        }
        Admission::Accept
    }

    /// Admits a flow. Returns `false` if that would break an invariant.
    pub(super) fn admit(&mut self, flow: FlowKey, open: bool, now: Timestamp) -> bool {
        let within_limit = self.flows.connections() < self.limits.connections;
        if self.phase != Phase::Open || !within_limit {
            self.counters.invariant_violations += 1;
            return false;
        }
        self.flows.insert(flow, open, now);
        self.passed_flows.remove(&flow);
        self.counters.accepted += 1;
        self.schedule.record_change();
        true
    }
}
