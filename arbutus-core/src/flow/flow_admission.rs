use std::net::SocketAddrV4;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{
    Action, Admission, Event, FirstPacket, FlowCounters, FlowKey, FlowLimits, FlowPolicy, Load,
    LoadReport, flow_table::FlowTable, pass_memory::PassMemory, peer_table::PeerTable, ramp::Ramp,
    recent_sheds::RecentSheds, report_schedule::ReportSchedule,
};
use crate::{
    ident::{Incarnation, ServiceTag},
    roster::AgentRecord,
    route,
    time::Timestamp,
};

/// Whether new flows may be admitted at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
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
    pub(super) tunnel: SocketAddrV4,
    pub(super) tag: ServiceTag,
    pub(super) incarnation: Incarnation,
    pub(super) limits: FlowLimits,
    pub(super) policy: FlowPolicy,
    pub(super) phase: Phase,
    /// Whether [`Action::Drained`] has been given for the present drain or stop.
    pub(super) drained_told: bool,
    pub(super) ramp: Ramp,
    /// Never grows past `limits.connections`, and not at all unless `phase` is open.
    pub(super) flows: FlowTable,
    pub(super) passed: PassMemory,
    pub(super) peers: PeerTable,
    pub(super) running: u32,
    pub(super) queued: u32,
    /// As [`Event::FreeSlots`] told last.
    pub(super) free_slots: u32,
    pub(super) sheds: RecentSheds,
    pub(super) sequence: u32,
    pub(super) schedule: ReportSchedule,
    pub(super) rng: ChaCha8Rng,
    pub(super) counts: FlowCounters,
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
            counts: FlowCounters::default(),
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
    pub fn reserve_free_peer(&mut self, now: Timestamp) -> Option<SocketAddrV4> {
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
    pub const fn counters(&self) -> &FlowCounters {
        &self.counts
    }

    /// Whether new flows are admitted at all.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.phase != Phase::Open
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
    pub(super) fn has_room(&self) -> bool {
        let requests = self.limits.slots.saturating_add(self.limits.queue);
        self.phase == Phase::Open
            && self.limits.weight_percent > 0
            && self.flows.connections() < self.limits.connections
            && self.running.saturating_add(self.queued) < requests
    }

    /// Whether the request of one more flow would find a free slot, of which a new agent uses a
    /// part.
    pub(super) fn has_free_slot(&self, now: Timestamp) -> bool {
        self.has_room() && self.load(now).requests < self.ramp.scale(self.limits.slots, now)
    }

    fn weight_permille(&self, now: Timestamp) -> u32 {
        let full = u64::from(self.limits.weight_percent) * 10;
        let weight = (full * self.ramp.permille(now) / 1_000).max(1);
        u32::try_from(weight).unwrap_or(u32::MAX)
    }
}
