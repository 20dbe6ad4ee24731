use std::{io, time::Duration};

use arbutus_core::{
    packet::{EarlierListing, Heartbeat, HeartbeatOutcome, Segment, TrackerAction},
    time::Timestamp,
};
use tokio::{net::TcpStream, time};

use super::PacketAgent;
use crate::{clock, metrics::ReasonLabel, packet::PacketCodec};

/// What the backend server tells its agent about itself.
impl<C: PacketCodec> PacketAgent<C> {
    /// Time between two checks whether a backend server that has reported its end has ended.
    const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

    /// Maximum number of these checks.
    const MAX_EXIT_CHECKS: u32 = 20;

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

    /// Records that the backend server with the identifier `id` ends. Returns when it first reported
    /// that, if it is the agent's own backend server.
    pub fn on_backend_left(&self, id: &str) -> Option<Timestamp> {
        let now = clock::now();
        let mut state = self.state.lock();
        let ours = state.tracker.on_backend_left(id, now);
        let left_at = state.tracker.backend().left_at().filter(|_| ours);
        drop(state);
        tracing::info!(id, ours, "backend_server_left");
        self.send_reports(now);
        left_at
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

    /// Waits until the process of the backend server that reported its end at `left_at` has ended, and
    /// resets its open flows at their callers.
    ///
    /// A process that has ended does not listen any more. If another one listens at its address by
    /// then, its first heartbeat has the flows reset.
    pub async fn reset_flows_after_exit(&self, left_at: Timestamp) {
        for _ in 0..Self::MAX_EXIT_CHECKS {
            time::sleep(Self::EXIT_CHECK_INTERVAL).await;
            if self.is_backend_address_closed().await {
                let resets = self.state.lock().tracker.reset_flows_until(left_at);
                self.execute_resets(resets);
                return;
            }
        }
        tracing::info!("backend_server_still_listens");
    }

    /// Returns whether no process listens at the address of the backend server.
    async fn is_backend_address_closed(&self) -> bool {
        let connection = TcpStream::connect(self.settings.backend);
        match time::timeout(Self::EXIT_CHECK_INTERVAL, connection).await {
            Ok(Err(err)) => err.kind() == io::ErrorKind::ConnectionRefused,
            Ok(Ok(_)) | Err(_) => false,
        }
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
