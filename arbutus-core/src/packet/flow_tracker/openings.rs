use std::time::Duration;

use super::{FlowTracker, balancer_to_notify, pass_on};
use crate::{
    packet::{
        BackendState, RefusalReason, RelayHeader, ResetCause, Segment, TrackerAction,
        TrackerDropReason,
        opening_admission::{BackendLoad, OpeningAdmission, OpeningDecision},
        tracked_flow::{Phase, TrackedFlow},
    },
    time::Timestamp,
};

/// Admission of new flows.
impl FlowTracker {
    /// How long after the start of the agent callers come that waited while it was down.
    const BACKLOG_PERIOD: Duration = Duration::from_secs(3);

    pub(super) fn on_opening(
        &mut self,
        header: RelayHeader,
        segment: &Segment,
        now: Timestamp,
    ) -> TrackerAction {
        let tracked = self.flows.get(&segment.flow).copied();
        // A process that ends gets no copy either: the next one at its address would take it.
        let has_left = self.backend.left_at().is_some();
        let retransmitted = tracked.filter(|it| it.ended_at.is_none() && !has_left);
        if retransmitted.is_none() {
            if let Some(reason) = self.refusal_reason(&header, now) {
                return pass_on(header, segment, reason);
            }
            let address = segment.flow.service;
            if header.hops() == 0 && segment.acknowledged == 0 {
                self.shares.on_new_flow(address, now);
            }
            let standing = self.shares.standing(address);
            let load = self.load(now);
            let decision = OpeningAdmission::decide(load, standing, &header, segment);
            match decision {
                OpeningDecision::Admit => {}
                OpeningDecision::PassOn => return pass_on(header, segment, RefusalReason::Busy),
                OpeningDecision::Refuse => return refuse(segment),
                OpeningDecision::Ignore => {
                    let reason = TrackerDropReason::NobodyLeft(RefusalReason::Busy);
                    return TrackerAction::Drop(reason);
                }
            }
            self.evict_if_full();
            let flow = TrackedFlow::new(Phase::Opening, now);
            self.flows.insert(segment.flow, flow);
        }
        self.backend.record_opening(now);
        let notify_balancer = balancer_to_notify(&header);
        self.record_delivery(header, segment.flow, now);
        TrackerAction::ToBackend {
            notify_balancer,
            admitted: retransmitted.is_none(),
        }
    }

    /// Returns why the backend server may not get a new flow whatever its load, or `None` if it may.
    fn refusal_reason(&self, header: &RelayHeader, now: Timestamp) -> Option<RefusalReason> {
        if header.service != self.tag {
            return Some(RefusalReason::OtherService);
        }
        if self.stopping {
            return Some(RefusalReason::Stopping);
        }
        if self.backend.state(now) != BackendState::Ready {
            return Some(RefusalReason::NotReady);
        }
        // The last candidate is tried even so: the others may be in no better state.
        if header.has_next() && !self.backend.accepts_new_flows(now) {
            return Some(RefusalReason::Unresponsive);
        }
        None
    }

    fn load(&self, now: Timestamp) -> BackendLoad {
        let just_started = now.since(self.started_at) < Self::BACKLOG_PERIOD;
        BackendLoad {
            in_flight: self.requests_in_flight(),
            slots: self.slots(),
            has_backlog: just_started || !self.backend.warmup_remaining(now).is_zero(),
        }
    }

    /// Returns the number of requests that the backend server processes or queues, including those
    /// expected on flows that are opening.
    #[must_use]
    pub fn requests_in_flight(&self) -> u32 {
        self.flows.in_flight()
    }

    pub(super) fn slots(&self) -> u32 {
        self.backend
            .last_heartbeat()
            .map_or(1, |it| it.slots.max(1))
    }
}

/// Tells the caller that its flow is not opened.
const fn refuse(segment: &Segment) -> TrackerAction {
    TrackerAction::Reset {
        flow: segment.flow,
        acknowledged: segment.acknowledged,
        cause: ResetCause::NoRoom,
    }
}
