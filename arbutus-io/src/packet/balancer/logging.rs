use arbutus_core::{
    packet::{FlowId, PlacementChoice, RelayHeader, Segment, SteeringDropReason},
    time::Timestamp,
};

use super::{PacketBalancer, State, age_ms};
use crate::packet::PacketCodec;

/// Logging of forwarding decisions.
impl<C: PacketCodec> PacketBalancer<C> {
    pub(super) fn log_found(&self, flow: &FlowId, headers: &[RelayHeader], now: Timestamp) {
        if !self.state.lock().lookup_log_limiter.allow(now) {
            return;
        }
        let agent = headers.first().and_then(RelayHeader::target);
        match agent {
            Some(agent) if headers.iter().all(|it| it.owner_confirmed) => {
                tracing::info!(%flow, %agent, "flow_found");
            }
            _ => tracing::info!(%flow, agents = headers.len(), "flow_tried"),
        }
    }

    pub(super) fn log_placed(
        &self,
        state: &mut State,
        segment: &Segment,
        choice: &PlacementChoice,
        now: Timestamp,
    ) {
        self.metrics.placed.inc();
        if !state.placed_log_limiter.allow(now) {
            return;
        }
        tracing::info!(
            flow = %segment.flow,
            route = %choice.route,
            service = %choice.service,
            agent = %choice.agent,
            score = choice.score,
            weighed = choice.weighed,
            report_age_ms = age_ms(choice.report_age),
            config = %state.steering.config_version(),
            copy = segment.acknowledged,
            "flow_placed"
        );
    }

    pub(super) fn log_lookup(
        &self,
        state: &mut State,
        segment: &Segment,
        queried: usize,
        now: Timestamp,
    ) {
        self.metrics.looked_up.inc();
        if state.lookup_log_limiter.allow(now) {
            let config = state.steering.config_version();
            tracing::info!(flow = %segment.flow, candidates = queried, %config, "flow_searched");
        }
    }

    pub(super) fn log_dropped(
        &self,
        state: &mut State,
        segment: &Segment,
        reason: SteeringDropReason,
        now: Timestamp,
    ) {
        self.count_drop(reason.name());
        if state.dropped_log_limiter.allow(now) {
            tracing::info!(
                flow = %segment.flow,
                reason = reason.name(),
                opening = segment.is_opening(),
                config = %state.steering.config_version(),
                agents = state.steering.member_count(),
                "packet_dropped"
            );
        }
    }
}
