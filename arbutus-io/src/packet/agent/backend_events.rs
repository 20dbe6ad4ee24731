use arbutus_core::packet::{EarlierListing, Heartbeat, HeartbeatOutcome, Segment, TrackerAction};

use super::PacketAgent;
use crate::{clock, metrics::ReasonLabel, packet::PacketCodec};

/// What the backend server tells its agent about itself.
impl<C: PacketCodec> PacketAgent<C> {
    /// Processes a heartbeat of the backend server.
    pub fn on_heartbeat(&self, heartbeat: Heartbeat) -> HeartbeatOutcome {
        let now = clock::now();
        let (id, sequence, born_ms) = (
            heartbeat.id.clone(),
            heartbeat.sequence,
            heartbeat.started_at_ms,
        );
        let mut state = self.state.lock();
        let outcome = state.tracker.on_heartbeat(heartbeat, now);
        let backend = state.tracker.backend().state(now);
        let knows_all_flows = state.tracker.tracks_all_flows();
        let resets = state.tracker.reset_predecessor_flows();
        drop(state);
        self.execute_resets(resets);
        let label = ReasonLabel {
            reason: outcome_name(outcome),
        };
        self.metrics.heartbeats.get_or_create(&label).inc();
        match outcome {
            HeartbeatOutcome::Changed => {
                tracing::info!(
                    %id, sequence, born_ms, ?backend, knows_all_flows, "backend_server_changed"
                );
                self.send_reports(now);
            }
            HeartbeatOutcome::Same => {}
            HeartbeatOutcome::Late | HeartbeatOutcome::NotOurs => {
                tracing::info!(%id, sequence, ?outcome, "heartbeat_ignored");
            }
        }
        outcome
    }

    /// Records that the backend server with the identifier `id` ends, and returns whether it is
    /// the agent's own backend server.
    pub fn on_backend_left(&self, id: &str) -> bool {
        let now = clock::now();
        let ours = self.state.lock().tracker.on_backend_left(id, now);
        tracing::info!(id, ours, "backend_server_left");
        self.send_reports(now);
        ours
    }

    /// Records what the store says about the agent's process before this one.
    pub fn on_earlier_listing(&self, earlier: EarlierListing) {
        tracing::info!(?earlier, "earlier_listing_read");
        let mut state = self.state.lock();
        state.tracker.on_earlier_listing(earlier);
        let knows_all_flows = state.tracker.tracks_all_flows();
        drop(state);
        tracing::info!(knows_all_flows, "flow_table_assessed");
    }

    /// Resets all open flows at their callers after the backend server has ended.
    pub fn reset_open_flows(&self) {
        let resets = self.state.lock().tracker.reset_all_flows();
        self.execute_resets(resets);
    }

    fn execute_resets(&self, actions: Vec<TrackerAction>) {
        for action in actions {
            if let TrackerAction::Reset { flow, cause, .. } = &action {
                tracing::info!(%flow, cause = cause.name(), "flow_reset");
                let segment = Segment::new(*flow);
                self.execute(action, &segment, &[]);
            }
        }
    }

    /// Stops accepting new flows and reports this to the balancers.
    pub fn stop(&self) {
        let now = clock::now();
        self.state.lock().tracker.stop(now);
        self.send_reports(now);
    }
}

const fn outcome_name(outcome: HeartbeatOutcome) -> &'static str {
    match outcome {
        HeartbeatOutcome::Changed => "changed",
        HeartbeatOutcome::Same => "same",
        HeartbeatOutcome::Late => "late",
        HeartbeatOutcome::NotOurs => "not-ours",
    }
}
