use std::net::SocketAddrV4;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{
    Action, Admission, Event, FirstPacket, FlowCounters, FlowKey, FlowLimits, FlowPolicy, Load,
    LoadReport, flow_table::FlowTable, passed_flows::PassedFlows, peer_table::PeerTable,
    ramp::Ramp, recent_sheds::RecentSheds, report_schedule::ReportSchedule,
};
use crate::{
    ident::{Incarnation, ServiceTag},
    roster::AgentRecord,
    route,
    time::Timestamp,
};

/// Whether the agent admits new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    Open,
    Draining,
    Stopping,
}

/// The state machine that decides on the new flows of one agent.
///
/// It is deterministic: its random number generator is seeded from the agent's tunnel address and
/// incarnation, so the same inputs give the same outputs.
#[derive(Debug)]
pub struct FlowAdmission {
    pub(super) tunnel: SocketAddrV4,
    pub(super) tag: ServiceTag,
    pub(super) incarnation: Incarnation,
    pub(super) limits: FlowLimits,
    pub(super) policy: FlowPolicy,
    pub(super) phase: Phase,
    /// Whether [`Action::Drained`] has been emitted since new flows were last admitted.
    pub(super) drained_reported: bool,
    pub(super) ramp: Ramp,
    /// Admitted flows. Never grows past `limits.connections`, and grows only while `phase` is
    /// [`Phase::Open`].
    pub(super) flows: FlowTable,
    pub(super) passed_flows: PassedFlows,
    pub(super) peers: PeerTable,
    /// Requests that run at the backend server.
    pub(super) running: u32,
    /// Requests that wait for a slot.
    pub(super) queued: u32,
    /// The value of the latest [`Event::FreeSlots`].
    pub(super) free_slots: u32,
    pub(super) sheds: RecentSheds,
    /// Sequence number of the latest load report.
    pub(super) sequence: u32,
    pub(super) schedule: ReportSchedule,
    pub(super) rng: ChaCha8Rng,
    pub(super) counters: FlowCounters,
}

impl FlowAdmission {
    /// Creates the state machine of an agent that starts at `now`.
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
            drained_reported: false,
            ramp: Ramp::new(now, limits.ramp_ms),
            flows: FlowTable::default(),
            passed_flows: PassedFlows::default(),
            peers: PeerTable::new(tunnel),
            running: 0,
            queued: 0,
            free_slots: limits.slots,
            sheds: RecentSheds::default(),
            sequence: 0,
            schedule: ReportSchedule::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            counters: FlowCounters::default(),
        }
    }

    /// Decides on a packet that may open a flow.
    ///
    /// A packet of an admitted flow is accepted; a packet of a flow that was passed on goes to the
    /// same agent as before. An accepted flow counts towards the limits immediately, and the caller
    /// must follow up with [`Event::Opened`] and [`Event::Closed`].
    pub fn on_first_packet(&mut self, packet: &FirstPacket<'_>, now: Timestamp) -> Admission {
        self.expire(now);
        let admission = self.decide(packet, now);
        match admission {
            Admission::Refuse(_) => self.counters.refused += 1,
            Admission::Drop(_) => self.counters.dropped += 1,
            Admission::Accept | Admission::PassOn(_) => {}
        }
        admission
    }

    /// Processes an event and returns the actions to carry out.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now);
        match event {
            Event::Opened(flow) => self.on_opened(flow, &mut actions, now),
            Event::Requested(flow) => self.flows.record_request(&flow),
            Event::Closed(flow) => self.on_closed(&flow),
            Event::Requests { running, queued } => self.set_requests(running, queued),
            Event::FreeSlots(free_slots) => self.set_free_slots(free_slots),
            Event::Shed => self.on_shed(now),
            Event::Report(report) => self.on_report(report, now),
            Event::Peers(records) => self.on_peers_listed(&records, now),
            Event::Limits(limits) => self.set_limits(limits),
            Event::Policy(policy) => self.policy = policy,
            Event::Drain => self.stop_admitting(Phase::Draining),
            Event::Stop => self.stop_admitting(Phase::Stopping),
            Event::Resume => self.on_resume(now),
            Event::Tick => {}
        }
        self.send_due_reports(&mut actions, now);
        self.report_drained(&mut actions);
        actions
    }

    /// Returns the time at which the state machine needs an [`Event::Tick`] if no other event comes
    /// before.
    #[must_use]
    pub fn next_wakeup(&self) -> Timestamp {
        let timers = [
            self.flows.next_expiry(&self.policy),
            self.passed_flows.next_expiry(&self.policy),
            self.sheds.next_expiry(&self.policy),
        ];
        let report = self.schedule.next_due(&self.policy);
        timers.into_iter().flatten().fold(report, Timestamp::min)
    }

    /// Returns the agent's current load.
    #[must_use]
    pub fn load(&self, now: Timestamp) -> Load {
        let in_flight = self.running.saturating_add(self.queued);
        let presumed_requests = self.flows.expected_requests() + self.sheds.count();
        Load {
            requests: in_flight.saturating_add(presumed_requests),
            connections: self.flows.connections(),
            weight_permille: if self.has_capacity() {
                self.weight_permille(now)
            } else {
                0
            },
        }
    }

    /// Returns a peer with a free slot for one request that finds none here.
    ///
    /// Considers the peer with the lowest score among those with a fresh report. The request counts
    /// towards that peer's load until one of its next reports includes it.
    pub fn reserve_free_peer(&mut self, now: Timestamp) -> Option<SocketAddrV4> {
        let slots = self.limits.slots;
        let best = self.peers.best(&self.policy, &mut self.rng, now)?;
        let free = best.requests < slots;
        if free {
            self.peers.record_sent_flow(best.tunnel, &self.policy, now);
        }
        free.then_some(best.tunnel)
    }

    /// Returns the counters since the start.
    #[must_use]
    pub const fn counters(&self) -> &FlowCounters {
        &self.counters
    }

    /// Returns whether the agent drains or stops, so that it admits no new flows.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.phase != Phase::Open
    }

    /// Marks an admitted flow as open. A flow that was not admitted here, or whose admission has
    /// expired, is admitted late or its connection closed.
    fn on_opened(&mut self, flow: FlowKey, actions: &mut Vec<Action>, now: Timestamp) {
        if self.flows.mark_open(&flow) {
            return;
        }
        if !self.has_capacity() || !self.admit(flow, true, now) {
            actions.push(Action::Close(flow));
        }
    }

    fn on_closed(&mut self, flow: &FlowKey) {
        if self.flows.remove(flow) {
            self.schedule.record_change();
        }
    }

    fn set_requests(&mut self, running: u32, queued: u32) {
        if (self.running, self.queued) != (running, queued) {
            self.running = running;
            self.queued = queued;
            self.schedule.record_change();
        }
    }

    fn set_free_slots(&mut self, free_slots: u32) {
        if self.free_slots != free_slots {
            self.free_slots = free_slots;
            self.schedule.record_change();
        }
    }

    fn on_shed(&mut self, now: Timestamp) {
        self.sheds.record(now);
        self.schedule.record_change();
    }

    fn on_report(&mut self, report: LoadReport, now: Timestamp) {
        if report.tag == self.tag && self.peers.record_report(report, &self.policy, now) {
            self.counters.reports_accepted += 1;
        } else {
            self.counters.reports_ignored += 1;
        }
    }

    fn on_peers_listed(&mut self, records: &[AgentRecord], now: Timestamp) {
        let own_service = records.iter().filter(|record| record.tag == self.tag);
        let own_service: Vec<_> = own_service.cloned().collect();
        self.peers.set_listed(&own_service, &self.policy, now);
        self.schedule.record_change();
    }

    fn set_limits(&mut self, limits: FlowLimits) {
        self.limits = limits;
        self.ramp.set_duration_ms(limits.ramp_ms);
        self.schedule.record_change();
    }

    /// Enters `phase`, unless the agent already stops: a stop is final.
    fn stop_admitting(&mut self, phase: Phase) {
        if self.phase != Phase::Stopping {
            self.phase = phase;
            self.schedule.record_change();
        }
    }

    fn on_resume(&mut self, now: Timestamp) {
        if self.phase == Phase::Draining {
            self.phase = Phase::Open;
            self.drained_reported = false;
            self.ramp = Ramp::new(now, self.limits.ramp_ms);
            self.schedule.record_change();
        }
    }

    fn report_drained(&mut self, actions: &mut Vec<Action>) {
        let drained = self.phase != Phase::Open && self.flows.is_empty();
        if drained && !self.drained_reported {
            self.drained_reported = true;
            actions.push(Action::Drained);
        }
    }

    fn send_due_reports(&mut self, actions: &mut Vec<Action>, now: Timestamp) {
        if !self.schedule.is_due(&self.policy, now) {
            return;
        }
        self.schedule.record_sent(&self.policy, now);
        self.sequence += 1;
        let report = self.make_report(now);
        let round = now.as_millis() / self.policy.report_rotation_ms.max(1);
        for target in self.peers.report_targets(&self.policy, round) {
            self.counters.reports_sent += 1;
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
        self.passed_flows.expire(&self.policy, now);
        if self.sheds.expire(&self.policy, now) {
            self.schedule.record_change();
        }
        let never_opened = self.flows.expire(&self.policy, now);
        if never_opened > 0 {
            self.counters.never_opened += never_opened;
            self.schedule.record_change();
        }
    }

    /// Returns whether one more flow may be admitted.
    ///
    /// The ramp does not apply here: if all agents are new, their callers must still be served.
    pub(super) fn has_capacity(&self) -> bool {
        let max_requests = self.limits.slots.saturating_add(self.limits.queue);
        self.phase == Phase::Open
            && self.limits.weight_percent > 0
            && self.flows.connections() < self.limits.connections
            && self.running.saturating_add(self.queued) < max_requests
    }

    /// Returns whether the request of one more flow would find a free slot.
    ///
    /// During the ramp, only part of the slots count as available.
    pub(super) fn has_free_slot(&self, now: Timestamp) -> bool {
        self.has_capacity() && self.load(now).requests < self.ramp.scale(self.limits.slots, now)
    }

    /// Returns the share of new flows, in thousandths of an equal share; at least 1.
    fn weight_permille(&self, now: Timestamp) -> u32 {
        let full = u64::from(self.limits.weight_percent) * 10;
        let weight = (full * self.ramp.share_permille(now) / 1_000).max(1);
        u32::try_from(weight).unwrap_or(u32::MAX)
    }
}
