use std::net::SocketAddrV4;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{
    Action, Admission, Event, FirstPacket, FlowCounts, FlowDrop, FlowKey, FlowLimits, FlowPolicy,
    Load, LoadReport, Refusal, flow_table::FlowTable, pass_memory::PassMemory,
    peer_table::PeerTable, ramp::Ramp, recent_sheds::RecentSheds, report_schedule::ReportSchedule,
};
use crate::{
    ident::{Incarnation, ServiceTag},
    roster::AgentRecord,
    route::{self, Hop},
    time::Timestamp,
    tunnel::TunnelHeader,
};

/// Hops from which an agent with room takes a flow even where a peer seems better, since the peer
/// may be full by now and the flow's hops are few.
const PREFERRING_HOPS: u8 = 2;

/// Whether new flows may be admitted at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Open,
    Draining,
    Stopping,
}

/// One agent's decisions on new flows.
///
/// The same inputs give the same outputs: the source of random numbers is seeded from the agent's
/// address and incarnation.
#[derive(Debug)]
pub struct FlowAdmission {
    tunnel: SocketAddrV4,
    tag: ServiceTag,
    incarnation: Incarnation,
    limits: FlowLimits,
    policy: FlowPolicy,
    phase: Phase,
    /// Whether [`Action::Drained`] has been given for the present drain or stop.
    drained_told: bool,
    ramp: Ramp,
    /// Never grows past `limits.connections`, and not at all unless `phase` is open.
    flows: FlowTable,
    passed: PassMemory,
    peers: PeerTable,
    running: u32,
    queued: u32,
    /// As [`Event::FreeSlots`] told last.
    free_slots: u32,
    sheds: RecentSheds,
    sequence: u32,
    schedule: ReportSchedule,
    rng: ChaCha8Rng,
    counts: FlowCounts,
}

impl FlowAdmission {
    /// Makes the machine of an agent that starts at `now`.
    #[must_use]
    pub fn new(
        tunnel: SocketAddrV4,
        tag: ServiceTag,
        incarnation: Incarnation,
        limits: FlowLimits,
        policy: FlowPolicy,
        now: Timestamp,
    ) -> Self {
        let seed = route::flow_hash(tunnel, &incarnation.get().to_be_bytes());
        Self {
            tunnel,
            tag,
            incarnation,
            limits,
            policy,
            phase: Phase::Open,
            drained_told: false,
            ramp: Ramp::new(now, limits.ramp_ms),
            flows: FlowTable::default(),
            passed: PassMemory::default(),
            peers: PeerTable::new(tunnel),
            running: 0,
            queued: 0,
            free_slots: limits.slots,
            sheds: RecentSheds::default(),
            sequence: 0,
            schedule: ReportSchedule::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            counts: FlowCounts::default(),
        }
    }

    /// Decides on a packet that may open a flow.
    ///
    /// Whoever knows the flow takes it; a flow that was passed on goes where it went before. A
    /// flow that is accepted is counted as open from here on, and is to be followed by
    /// [`Event::Opened`] and [`Event::Closed`].
    pub fn on_first_packet(&mut self, packet: &FirstPacket<'_>, now: Timestamp) -> Admission {
        self.expire(now);
        let admission = self.decide(packet, now);
        match admission {
            Admission::Refuse(_) => self.counts.refused += 1,
            Admission::Drop(_) => self.counts.dropped += 1,
            Admission::Accept | Admission::PassOn(_) => {}
        }
        admission
    }

    /// Takes in anything else.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now);
        match event {
            Event::Opened(flow) => self.open(flow, &mut actions, now),
            Event::Requested(flow) => self.flows.note_request(&flow),
            Event::Closed(flow) => self.close(&flow),
            Event::Requests { running, queued } => self.set_requests(running, queued),
            Event::FreeSlots(free_slots) => self.set_free_slots(free_slots),
            Event::Shed => self.note_shed(now),
            Event::Report(report) => self.hear(report, now),
            Event::Peers(records) => self.list_peers(&records, now),
            Event::Limits(limits) => self.set_limits(limits),
            Event::Policy(policy) => self.policy = policy,
            Event::Drain => self.leave_open(Phase::Draining),
            Event::Stop => self.leave_open(Phase::Stopping),
            Event::Resume => self.resume(now),
            Event::Tick => {}
        }
        self.report(&mut actions, now);
        self.tell_drained(&mut actions);
        actions
    }

    /// When the machine next wants an [`Event::Tick`], if nothing else comes before.
    #[must_use]
    pub fn next_wakeup(&self) -> Timestamp {
        let timers = [
            self.flows.next_expiry(&self.policy),
            self.passed.next_expiry(&self.policy),
            self.sheds.next_expiry(&self.policy),
        ];
        let report = self.schedule.next(&self.policy);
        timers.into_iter().flatten().fold(report, Timestamp::min)
    }

    /// What the agent has in hand at present.
    #[must_use]
    pub fn load(&self, now: Timestamp) -> Load {
        let in_hand = self.running.saturating_add(self.queued);
        let presumed = self.flows.expected_requests() + self.sheds.count();
        Load {
            requests: in_hand.saturating_add(presumed),
            connections: self.flows.connections(),
            weight_permille: if self.has_room() {
                self.weight_permille(now)
            } else {
                0
            },
        }
    }

    /// The peer with the lowest load among those whose fresh report leaves a slot free, for one
    /// request that finds none here. The request is counted there until the peer's next report.
    pub fn take_free_peer(&mut self, now: Timestamp) -> Option<SocketAddrV4> {
        let slots = self.limits.slots;
        let best = self.peers.best(&self.policy, &mut self.rng, now)?;
        let free = best.requests < slots;
        if free {
            self.peers.note_sent(best.tunnel, &self.policy, now);
        }
        free.then_some(best.tunnel)
    }

    /// What the machine has done since its start.
    #[must_use]
    pub const fn counts(&self) -> &FlowCounts {
        &self.counts
    }

    /// Whether new flows are admitted at all.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.phase != Phase::Open
    }

    fn decide(&mut self, packet: &FirstPacket<'_>, now: Timestamp) -> Admission {
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
        Admission::PassOn(Hop {
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
    fn admit(&mut self, flow: FlowKey, open: bool, now: Timestamp) -> bool {
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

    fn open(&mut self, flow: FlowKey, actions: &mut Vec<Action>, now: Timestamp) {
        if self.flows.open(&flow) {
            return;
        }
        if !self.has_room() || !self.admit(flow, true, now) {
            actions.push(Action::Close(flow));
        }
    }

    fn close(&mut self, flow: &FlowKey) {
        if self.flows.remove(flow) {
            self.schedule.note_change();
        }
    }

    fn set_requests(&mut self, running: u32, queued: u32) {
        if (self.running, self.queued) != (running, queued) {
            self.running = running;
            self.queued = queued;
            self.schedule.note_change();
        }
    }

    fn set_free_slots(&mut self, free_slots: u32) {
        if self.free_slots != free_slots {
            self.free_slots = free_slots;
            self.schedule.note_change();
        }
    }

    fn note_shed(&mut self, now: Timestamp) {
        self.sheds.record(now);
        self.schedule.note_change();
    }

    fn hear(&mut self, report: LoadReport, now: Timestamp) {
        if report.tag == self.tag && self.peers.hear(report, &self.policy, now) {
            self.counts.reports_taken += 1;
        } else {
            self.counts.reports_ignored += 1;
        }
    }

    fn list_peers(&mut self, records: &[AgentRecord], now: Timestamp) {
        let own_service = records.iter().filter(|it| it.tag == self.tag);
        let own_service: Vec<_> = own_service.cloned().collect();
        self.peers.list(&own_service, &self.policy, now);
        self.schedule.note_change();
    }

    fn set_limits(&mut self, limits: FlowLimits) {
        self.limits = limits;
        self.ramp.set_length_ms(limits.ramp_ms);
        self.schedule.note_change();
    }

    fn leave_open(&mut self, phase: Phase) {
        if self.phase != Phase::Stopping {
            self.phase = phase;
            self.schedule.note_change();
        }
    }

    fn resume(&mut self, now: Timestamp) {
        if self.phase == Phase::Draining {
            self.phase = Phase::Open;
            self.drained_told = false;
            self.ramp = Ramp::new(now, self.limits.ramp_ms);
            self.schedule.note_change();
        }
    }

    fn tell_drained(&mut self, actions: &mut Vec<Action>) {
        let drained = self.phase != Phase::Open && self.flows.is_empty();
        if drained && !self.drained_told {
            self.drained_told = true;
            actions.push(Action::Drained);
        }
    }

    fn report(&mut self, actions: &mut Vec<Action>, now: Timestamp) {
        if !self.schedule.is_due(&self.policy, now) {
            return;
        }
        self.schedule.note_sent(&self.policy, now);
        self.sequence += 1;
        let report = self.make_report(now);
        let round = now.as_millis() / self.policy.report_rotation_ms.max(1);
        for target in self.peers.targets(&self.policy, round) {
            self.counts.reports_sent += 1;
            actions.push(Action::Report {
                tunnel: target.tunnel,
                control: target.control,
                report,
            });
        }
    }

    fn make_report(&self, now: Timestamp) -> LoadReport {
        let load = self.load(now);
        LoadReport {
            from: self.tunnel,
            tag: self.tag,
            incarnation: self.incarnation,
            sequence: self.sequence,
            requests: load.requests,
            connections: load.connections,
            free_slots: self.free_slots,
            weight_permille: load.weight_permille,
        }
    }

    fn expire(&mut self, now: Timestamp) {
        self.passed.expire(&self.policy, now);
        if self.sheds.expire(&self.policy, now) {
            self.schedule.note_change();
        }
        let never_opened = self.flows.expire(&self.policy, now);
        if never_opened > 0 {
            self.counts.never_opened += never_opened;
            self.schedule.note_change();
        }
    }

    /// Whether one more flow may be admitted.
    ///
    /// A ramp does not count here: where all agents are new, their callers are still served.
    fn has_room(&self) -> bool {
        let requests = self.limits.slots.saturating_add(self.limits.queue);
        self.phase == Phase::Open
            && self.limits.weight_percent > 0
            && self.flows.connections() < self.limits.connections
            && self.running.saturating_add(self.queued) < requests
    }

    /// Whether the request of one more flow would find a free slot, of which a new agent uses a
    /// part.
    fn has_free_slot(&self, now: Timestamp) -> bool {
        self.has_room() && self.load(now).requests < self.ramp.scale(self.limits.slots, now)
    }

    fn weight_permille(&self, now: Timestamp) -> u32 {
        let full = u64::from(self.limits.weight_percent) * 10;
        let weight = (full * self.ramp.permille(now) / 1_000).max(1);
        u32::try_from(weight).unwrap_or(u32::MAX)
    }
}
