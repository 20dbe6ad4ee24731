use std::net::SocketAddrV4;

use super::{
    Admission, FirstPacket, FlowAdmission, FlowDrop, FlowKey, Refusal, flow_admission::Phase,
};
use crate::{route::NextHop, time::Timestamp, tunnel::TunnelHeader};

/// Hops from which an agent with room takes a flow even where a peer seems better, since the peer
/// may be full by now and the flow's hops are few.
const PREFERRING_HOPS: u8 = 2;

/// Where a new flow goes.
impl FlowAdmission {
    pub(super) fn decide(&mut self, packet: &FirstPacket<'_>, now: Timestamp) -> Admission {
        let header = &packet.header;
        if header.tag != self.tag {
            return Admission::Drop(FlowDrop::WrongService);
        }
        let Some(flow) = FlowKey::new(header.endpoints.source, packet.dcid) else {
            return Admission::Drop(FlowDrop::Malformed);
        };
        if self.flows.contains(&flow) {
            self.counts.repeated += 1;
            return Admission::Accept;
        }
        let passed = self.passed.get(&flow);
        let came_round = passed.is_some_and(|passed| header.hops > passed.hops);
        if let Some(passed) = passed
            && !came_round
            && header.hops < self.policy.max_hops
            && !self.peers.is_lost(passed.to, &self.policy, now)
        {
            self.counts.repeated += 1;
            return self.pass_on(header, passed.to);
        }
        if !packet.full_size {
            return Admission::Drop(FlowDrop::NotFirst);
        }
        self.place(flow, header, came_round, now)
    }

    /// Finds the place of a flow that is not known here.
    fn place(
        &mut self,
        flow: FlowKey,
        header: &TunnelHeader,
        came_round: bool,
        now: Timestamp,
    ) -> Admission {
        let has_room = self.has_room();
        let may_prefer = !came_round && header.hops < PREFERRING_HOPS;
        let may_pass_on = header.hops < self.policy.max_hops && (may_prefer || !has_room);
        let target = if may_pass_on {
            self.choose_peer(header, now)
        } else {
            None
        };
        let Some(to) = target else {
            return self.accept_or_refuse(flow, now);
        };
        self.peers.note_sent(to, &self.policy, now);
        self.counts.passed_on += 1;
        self.counts.forgotten += self.passed.insert(flow, to, header.hops, &self.policy, now);
        self.pass_on(header, to)
    }

    /// The peer that should take a new flow in place of this agent.
    fn choose_peer(&mut self, header: &TunnelHeader, now: Timestamp) -> Option<SocketAddrV4> {
        let own = self.load(now).score(&self.policy);
        let best = self.peers.best(&self.policy, &mut self.rng, now);
        let margin = match header.hops {
            0 => self.policy.first_margin,
            _ => self.policy.later_margin,
        };
        match (own, best) {
            (Some(own), Some(best)) => (best.score + margin < own).then_some(best.tunnel),
            (None, Some(best)) => Some(best.tunnel),
            (Some(_), None) if self.has_free_slot(now) => None,
            (_, None) => self.next_candidate(header, now),
        }
    }

    /// The next agent that the balancer named and that is not known to take nothing.
    fn next_candidate(&self, header: &TunnelHeader, now: Timestamp) -> Option<SocketAddrV4> {
        let named = header.candidates.as_slice().iter().copied();
        named
            .filter(|agent| *agent != self.tunnel)
            .find(|agent| !self.peers.takes_none(*agent, &self.policy, now))
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
        if !self.has_room() || !self.admit(flow, false, now) {
            return Admission::Refuse(Refusal::Full);
        }
        Admission::Accept
    }

    /// Takes a flow in hand, unless that would break an invariant.
    pub(super) fn admit(&mut self, flow: FlowKey, open: bool, now: Timestamp) -> bool {
        let within_limit = self.flows.connections() < self.limits.connections;
        if self.phase != Phase::Open || !within_limit {
            self.counts.invariant_violations += 1;
            return false;
        }
        self.flows.insert(flow, open, now);
        self.passed.remove(&flow);
        self.counts.accepted += 1;
        self.schedule.note_change();
        true
    }
}
