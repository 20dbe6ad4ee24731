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

/// Shortest time between two ticks, so that the task cannot spin.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// How often the tunnel address is tried.
const BIND_TRIES: u32 = 40;
const BIND_PAUSE: Duration = Duration::from_millis(50);
/// How long a stopped agent tries to tell balancers that it has left.
const LEAVE_GRACE: Duration = Duration::from_secs(2);
/// How often a leaving agent looks whether it has been heard.
const LEAVE_POLL: Duration = Duration::from_millis(50);

/// Feeds the agent's announcer and carries out what it asks for.
pub(super) struct ControlTask {
    settings: AgentSettings,
    /// Shared with the admin port, which only reads; this task alone changes it.
    node: Arc<Mutex<AgentNode>>,
    control: ControlEndpoint,
    metrics: Arc<AgentMetrics>,
    /// Present from the first incarnation that a balancer has taken.
    server: Option<Server>,
    stopping: bool,
    /// Violations already counted in the metrics.
    violations: u64,
}

impl ControlTask {
    /// Makes the task around `node`.
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
            violations: 0,
        }
    }

    /// Runs until `stop` ends, and then until nothing is left in hand.
    ///
    /// # Errors
    ///
    /// Fails where callers cannot be served at all.
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
        self.act_all(actions).await?;
        self.finish_work(&mut events).await?;
        self.say_goodbye(&mut events).await
    }

    /// Waits for one event and deals with it.
    async fn step(
        &mut self,
        events: &mut mpsc::Receiver<ControlEvent>,
    ) -> Result<(), Report<AgentError>> {
        let wait = self.node.lock().next_wakeup().since(clock::now());
        let event = tokio::select! {
            event = events.recv() => match event {
                Some(event) => self.sort(event),
                None => std::future::pending().await,
            },
            () = tokio::time::sleep(wait.max(MIN_WAIT)) => Some(AgentEvent::Tick),
        };
        if let Some(event) = event {
            let actions = self.node.lock().handle(event, clock::now());
            self.act_all(actions).await?;
        }
        self.count_violations();
        Ok(())
    }

    /// Keeps in touch with balancers until the work in hand has ended.
    async fn finish_work(
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

    async fn say_goodbye(
        &mut self,
        events: &mut mpsc::Receiver<ControlEvent>,
    ) -> Result<(), Report<AgentError>> {
        let actions = self.node.lock().leave(clock::now());
        self.act_all(actions).await?;
        let mut deadline = pin!(tokio::time::sleep(LEAVE_GRACE));
        while !self.node.lock().has_left() {
            tokio::select! {
                () = &mut deadline => break,
                () = tokio::time::sleep(LEAVE_POLL) => {}
                result = self.step(events) => result?,
            }
        }
        self.control.close();
        let _ = tokio::time::timeout(LEAVE_GRACE, self.control.wait_idle()).await;
        Ok(())
    }

    /// Deals with what is not for the announcer, and gives out what is.
    fn sort(&mut self, event: ControlEvent) -> Option<AgentEvent> {
        match event {
            ControlEvent::Message { from, bytes } => match Envelope::decode(&bytes)? {
                Envelope::Membership(body) => Some(AgentEvent::Received {
                    from,
                    payload: body.to_vec(),
                }),
                Envelope::LoadReport(body) => {
                    self.hear_report(&body);
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

    fn hear_report(&mut self, body: &Bytes) {
        match (LoadReport::decode(body), &mut self.server) {
            (Ok(report), Some(server)) => server.hear_report(report),
            (Ok(_), None) => {}
            (Err(err), _) => tracing::debug!(%err, "load_report_malformed"),
        }
    }

    async fn act_all(&mut self, actions: Vec<AgentAction>) -> Result<(), Report<AgentError>> {
        for action in actions {
            self.act(action).await?;
        }
        Ok(())
    }

    async fn act(&mut self, action: AgentAction) -> Result<(), Report<AgentError>> {
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

    /// Serves under `incarnation`; flows of the one before end by stateless reset.
    async fn serve(&mut self, incarnation: Incarnation) -> Result<(), Report<AgentError>> {
        self.server = None;
        let server = self.start_server(incarnation).await?;
        self.server = Some(server);
        self.violations = 0;
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

    /// Starts a server, for which the one before it may first have to let go of the address.
    async fn start_server(&self, incarnation: Incarnation) -> Result<Server, Report<AgentError>> {
        let mut tries = 1;
        loop {
            match Server::start(&self.settings, incarnation, &self.control, &self.metrics) {
                Err(_) if tries < BIND_TRIES => tries += 1,
                result => return result,
            }
            tokio::time::sleep(BIND_PAUSE).await;
        }
    }

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

    fn count_violations(&mut self) {
        let served = self.server.as_ref().map_or(0, Server::invariant_violations);
        let (announced, version) = {
            let node = self.node.lock();
            (node.invariant_violations(), node.config_version().get())
        };
        let control = &self.metrics.control;
        control
            .config_version
            .set(version.try_into().unwrap_or(i64::MAX));
        let seen = served + announced;
        if seen > self.violations {
            let more = seen - self.violations;
            control.invariant_violations.inc_by(more);
            tracing::error!(more, "invariant_violated");
            self.violations = seen;
        }
    }
}
