use std::time::Duration;

use arbutus_core::{
    packet::{
        FlowTracker, RefusalReason, RelayHeader, ResetCause, Segment, TrackerAction,
        TrackerDropReason,
    },
    time::Timestamp,
};

use super::{PacketAgent, State, heartbeat_age_ms};
use crate::{metrics::ReasonLabel, packet::PacketCodec};

/// Logging of forwarding decisions.
impl<C: PacketCodec> PacketAgent<C> {
    /// Time to the backend server's answer from which on the answer is logged as late.
    const LATE_ANSWER_THRESHOLD: Duration = Duration::from_millis(200);

    /// Logs and counts the decision on a packet.
    pub(super) fn log_action(
        &self,
        state: &mut State,
        segment: &Segment,
        action: &TrackerAction,
        now: Timestamp,
    ) {
        let opening = segment.is_opening();
        match action {
            TrackerAction::ToBackend { admitted: true, .. } => {
                self.metrics.admitted.inc();
                if state.flow_log_limiter.allow(now) {
                    let flows = state.tracker.flow_count();
                    let heartbeat_age_ms = heartbeat_age_ms(&state.tracker, now);
                    let copy = segment.acknowledged;
                    tracing::info!(
                        flow = %segment.flow, flows, heartbeat_age_ms, copy, "flow_admitted"
                    );
                }
            }
            TrackerAction::PassOn { header, reason } => {
                let label = ReasonLabel {
                    reason: reason.name(),
                };
                self.metrics.passed_on.get_or_create(&label).inc();
                if state.flow_log_limiter.allow(now) {
                    log_passed_on(&state.tracker, segment, header, *reason, now);
                }
            }
            TrackerAction::Reset {
                flow,
                cause: ResetCause::NoRoom,
                ..
            } => {
                if state.flow_log_limiter.allow(now) {
                    let in_flight = state.tracker.requests_in_flight();
                    tracing::info!(%flow, in_flight, "flow_refused");
                }
            }
            TrackerAction::Reset { flow, cause, .. } => {
                let heartbeat_age_ms = heartbeat_age_ms(&state.tracker, now);
                tracing::info!(%flow, cause = cause.name(), heartbeat_age_ms, "flow_reset");
            }
            TrackerAction::Drop(reason) if state.flow_log_limiter.allow(now) => {
                let here = match reason {
                    TrackerDropReason::NobodyLeft(here) => here.name(),
                    TrackerDropReason::UnknownBounce => "bounced",
                };
                let heartbeat_age_ms = heartbeat_age_ms(&state.tracker, now);
                tracing::info!(
                    flow = %segment.flow,
                    opening,
                    reason = reason.name(),
                    here,
                    heartbeat_age_ms,
                    "packet_dropped"
                );
            }
            TrackerAction::ToCaller {
                response_time: Some(waited),
                ..
            } if *waited >= Self::LATE_ANSWER_THRESHOLD && state.flow_log_limiter.allow(now) => {
                let waited_ms = waited.as_millis();
                tracing::info!(flow = %segment.flow, waited_ms, "answer_late");
            }
            TrackerAction::Drop(_)
            | TrackerAction::ToBackend {
                admitted: false, ..
            }
            | TrackerAction::NotOwned { .. }
            | TrackerAction::ToCaller { .. } => {}
        }
    }

    /// Logs the id of the request that starts in `packet`, so that an operator can find the
    /// request's flow.
    pub(super) fn log_request(
        &self,
        state: &mut State,
        segment: &Segment,
        packet: &[u8],
        now: Timestamp,
    ) {
        if segment.payload_len == 0 {
            return;
        }
        let Some(request) = self.codec.request_id(packet) else {
            return;
        };
        if state.request_log_limiter.allow(now) {
            let flows = state.tracker.flow_count();
            tracing::info!(request, flow = %segment.flow, flows, "request_given");
        }
    }
}

fn log_passed_on(
    tracker: &FlowTracker,
    segment: &Segment,
    header: &RelayHeader,
    reason: RefusalReason,
    now: Timestamp,
) {
    let (opening, next) = (segment.is_opening(), header.target());
    let heartbeat_age_ms = heartbeat_age_ms(tracker, now);
    let backend = tracker.backend().state(now);
    let (flow, hops) = (segment.flow, header.hops());
    tracing::info!(
        %flow, opening, reason = reason.name(), ?next, hops, ?backend, heartbeat_age_ms,
        "packet_passed_on"
    );
}
