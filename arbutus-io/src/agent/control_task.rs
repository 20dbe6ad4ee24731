use std::{future::Future, pin::pin, sync::Arc, time::Duration};

use arbutus_core::{
    flow::LoadReport,
    ident::Incarnation,
    membership::{AgentAction, AgentEvent, AgentNode},
    roster::AgentState,
};
use arbutus_settings::agent::AgentSettings;
use bytes::Bytes;
use error_stack::Report;
use parking_lot::Mutex;
use tokio::sync::mpsc;

use super::{AgentError, server::Server};
use crate::{
    clock,
    control::{ControlEndpoint, ControlEvent, Envelope},
    metrics::AgentMetrics,
};

/// Minimum time between two ticks; keeps the task from spinning.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum number of attempts to bind the tunnel address.
///
/// The previous server may take a moment to release it.
const MAX_BIND_ATTEMPTS: u32 = 40;
/// Delay between two attempts to bind the tunnel address.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time that a stopped agent waits for balancers to acknowledge its departure, and then
/// for its control connections to close.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a leaving agent checks whether its departure has been acknowledged.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Drives the agent's membership state machine and performs the actions that it returns.
pub(super) struct ControlTask {
    settings: AgentSettings,
    /// Shared with the admin port, which only reads it; only this task changes it.
    node: Arc<Mutex<AgentNode>>,
    control: ControlEndpoint,
    metrics: Arc<AgentMetrics>,
    /// `None` until a balancer has accepted the agent's first incarnation.
    server: Option<Server>,
    stopping: bool,
    /// Number of invariant violations already added to the metrics.
    counted_violations: u64,
}

impl ControlTask {
    /// Creates the task that drives `node`.
    pub(super) const fn new(
        settings: AgentSettings,
        node: Arc<Mutex<AgentNode>>,
        control: ControlEndpoint,
        metrics: Arc<AgentMetrics>,
    ) -> Self {
        Self {
            settings,
            node,
            control,
            metrics,
            server: None,
            stopping: false,
            counted_violations: 0,
        }
    }

    /// Runs until `stop` completes, then drains the agent and leaves the roster.
    ///
    /// # Errors
    ///
    /// Returns an error if the server for callers cannot be started.
    pub(super) async fn run(
        mut self,
        mut events: mpsc::Receiver<ControlEvent>,
        stop: impl Future<Output = ()>,
    ) -> Result<(), Report<AgentError>> {
        let mut stop = pin!(stop);
        while !self.stopping {
            tokio::select! {
                result = self.step(&mut events) => result?,
                () = &mut stop => self.stopping = true,
            }
        }
        tracing::info!(name = %self.settings.name, "agent_stopping");
        let actions = self.node.lock().drain(clock::now());
        self.perform_all(actions).await?;
        self.finish_requests(&mut events).await?;
        self.leave_roster(&mut events).await
    }

    /// Waits for one event or the next tick and handles it.
    async fn step(
        &mut self,
        events: &mut mpsc::Receiver<ControlEvent>,
    ) -> Result<(), Report<AgentError>> {
        let wait = self.node.lock().next_wakeup().since(clock::now());
        let event = tokio::select! {
            event = events.recv() => match event {
                Some(event) => self.dispatch(event),
                None => std::future::pending().await,
            },
            () = tokio::time::sleep(wait.max(MIN_TICK_INTERVAL)) => Some(AgentEvent::Tick),
        };
        if let Some(event) = event {
            let actions = self.node.lock().handle(event, clock::now());
            self.perform_all(actions).await?;
        }
        self.update_metrics();
        Ok(())
    }

    /// Continues to handle control events until the server has drained.
    async fn finish_requests(
        &mut self,
        events: &mut mpsc::Receiver<ControlEvent>,
    ) -> Result<(), Report<AgentError>> {
        let Some(server) = &self.server else {
            return Ok(());
        };
        let mut done = pin!(server.stop(self.settings.stop_grace));
        loop {
            tokio::select! {
                () = &mut done => return Ok(()),
                result = self.step(events) => result?,
            }
        }
    }

    /// Announces the departure and closes the control connections.
    async fn leave_roster(
        &mut self,
        events: &mut mpsc::Receiver<ControlEvent>,
    ) -> Result<(), Report<AgentError>> {
        let actions = self.node.lock().leave(clock::now());
        self.perform_all(actions).await?;
        let mut deadline = pin!(tokio::time::sleep(LEAVE_TIMEOUT));
        while !self.node.lock().has_left() {
            tokio::select! {
                () = &mut deadline => break,
                () = tokio::time::sleep(LEAVE_POLL_INTERVAL) => {}
                result = self.step(events) => result?,
            }
        }
        self.control.close();
        let _ = tokio::time::timeout(LEAVE_TIMEOUT, self.control.wait_idle()).await;
        Ok(())
    }

    /// Returns the event for the membership state machine, if `event` concerns it.
    ///
    /// Load reports and connections from peers are handled here and yield `None`.
    fn dispatch(&mut self, event: ControlEvent) -> Option<AgentEvent> {
        match event {
            ControlEvent::Message { from, bytes } => match Envelope::decode(&bytes)? {
                Envelope::Membership(body) => Some(AgentEvent::Received {
                    from,
                    payload: body.to_vec(),
                }),
                Envelope::LoadReport(body) => {
                    self.on_load_report(&body);
                    None
                }
            },
            ControlEvent::Unreachable { address } => {
                Some(AgentEvent::Unreachable { peer: address })
            }
            ControlEvent::HandOver { connection } => {
                match &self.server {
                    Some(server) => server.serve_peer(connection),
                    None => connection.close(1_u32.into(), b"not serving"),
                }
                None
            }
        }
    }

    fn on_load_report(&mut self, body: &Bytes) {
        match (LoadReport::decode(body), &mut self.server) {
            (Ok(report), Some(server)) => server.on_load_report(report),
            (Ok(_), None) => {}
            (Err(err), _) => tracing::debug!(%err, "load_report_malformed"),
        }
    }

    async fn perform_all(&mut self, actions: Vec<AgentAction>) -> Result<(), Report<AgentError>> {
        for action in actions {
            self.perform(action).await?;
        }
        Ok(())
    }

    async fn perform(&mut self, action: AgentAction) -> Result<(), Report<AgentError>> {
        match action {
            AgentAction::Send { to, payload } => {
                let envelope = Envelope::Membership(Bytes::from(payload));
                self.control.send(to, envelope.encode());
            }
            AgentAction::Serve(incarnation) => self.serve(incarnation).await?,
            AgentAction::ServiceChanged(_) => self.set_service(),
            AgentAction::PeersChanged(peers) => {
                if let Some(server) = &mut self.server {
                    server.set_peers(peers);
                }
            }
            AgentAction::StateChanged(state) => {
                tracing::info!(?state, "state_changed");
                if let Some(server) = &self.server {
                    server.set_draining(state != AgentState::Ready);
                }
            }
        }
        Ok(())
    }

    /// Replaces the server by one for `incarnation`.
    ///
    /// Flows of the previous incarnation end with a stateless reset.
    async fn serve(&mut self, incarnation: Incarnation) -> Result<(), Report<AgentError>> {
        self.server = None;
        let server = self.start_server(incarnation).await?;
        self.server = Some(server);
        self.counted_violations = 0;
        self.set_service();
        let (peers, state) = {
            let node = self.node.lock();
            (node.peers().to_vec(), node.record().state)
        };
        if let Some(server) = &mut self.server {
            server.set_peers(peers);
            server.set_draining(state != AgentState::Ready);
        }
        Ok(())
    }

    /// Starts a server, retrying while the previous one still holds the tunnel address.
    async fn start_server(&self, incarnation: Incarnation) -> Result<Server, Report<AgentError>> {
        let mut attempts = 1;
        loop {
            match Server::start(&self.settings, incarnation, &self.control, &self.metrics) {
                Err(_) if attempts < MAX_BIND_ATTEMPTS => attempts += 1,
                result => return result,
            }
            tokio::time::sleep(BIND_RETRY_INTERVAL).await;
        }
    }

    /// Applies the service's current configuration and weight to the server.
    fn set_service(&mut self) {
        let (service, weight_percent, version) = {
            let node = self.node.lock();
            let weight_percent = node.record().weight_percent;
            (
                node.service().cloned(),
                weight_percent,
                node.config_version(),
            )
        };
        let (Some(service), Some(server)) = (service, &mut self.server) else {
            return;
        };
        server.set_service(&service, weight_percent);
        tracing::info!(%version, service = %service.name, "config_in_force");
    }

    /// Updates the configuration version gauge and counts new invariant violations.
    fn update_metrics(&mut self) {
        let server_violations = self.server.as_ref().map_or(0, Server::invariant_violations);
        let (node_violations, version) = {
            let node = self.node.lock();
            (node.invariant_violations(), node.config_version().get())
        };
        let control = &self.metrics.control;
        control
            .config_version
            .set(version.try_into().unwrap_or(i64::MAX));
        let total = server_violations + node_violations;
        if total > self.counted_violations {
            let more = total - self.counted_violations;
            control.invariant_violations.inc_by(more);
            tracing::error!(more, "invariant_violated");
            self.counted_violations = total;
        }
    }
}
