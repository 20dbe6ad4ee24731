use std::{sync::Arc, time::Duration};

use arbutus_core::{
    cid::FlowOwner,
    config::{BalanceMode, RequestPolicy, Service},
    flow::{self, FlowAdmission, FlowLimits, FlowPolicy, LoadReport},
    ident::{Incarnation, ServiceTag},
    request::{self, AgentIdentity, Origin, RequestMachine},
    roster::AgentRecord,
};
use arbutus_settings::agent::AgentSettings;
use error_stack::{Report, ResultExt};
use http::HeaderValue;
use rand::Rng;
use tokio::{sync::watch, task::JoinHandle};

use super::{
    AgentError, backend::BackendPool, caller_connection::CallerConnection,
    caller_endpoint::CallerEndpoint, flow_driver::FlowDriver, peer_client::PeerClient,
    peer_loads::PeerLoads, request_driver::RequestDriver, request_task::RequestContext,
    tunnel_socket::TunnelSocket,
};
use crate::{clock, control::ControlEndpoint, metrics::AgentMetrics};

/// Maximum time that flows may stay open after the last request when the agent stops.
const CONNECTION_DRAIN_TIMEOUT: Duration = Duration::from_secs(4);

/// Serves callers and peers under one incarnation of the agent.
///
/// Dropping it closes the QUIC endpoint and ends its tasks.
pub(super) struct Server {
    flows: Arc<FlowDriver>,
    requests: Arc<RequestDriver>,
    cx: RequestContext,
    peer_loads: PeerLoads,
    metrics: Arc<AgentMetrics>,
    /// True while connections send a GOAWAY: when the agent drains or stops.
    draining: watch::Sender<bool>,
    endpoint: quinn::Endpoint,
    name: Arc<str>,
    /// Aborted when the server is dropped.
    tasks: Vec<JoinHandle<()>>,
}

impl Server {
    /// Starts a server for `incarnation`.
    ///
    /// # Errors
    ///
    /// Returns an error if the tunnel address cannot be bound or the certificate cannot be used.
    pub(super) fn start(
        settings: &AgentSettings,
        incarnation: Incarnation,
        control: &ControlEndpoint,
        metrics: &Arc<AgentMetrics>,
    ) -> Result<Self, Report<AgentError>> {
        let tag = ServiceTag::of_name(&settings.service);
        let owner = FlowOwner::new(settings.tunnel_listen, tag, incarnation);
        let admission = FlowAdmission::new(
            settings.tunnel_listen,
            tag,
            incarnation,
            FlowLimits::new(),
            FlowPolicy::new(),
            clock::now(),
        );
        let flows = Arc::new(FlowDriver::new(admission, control.clone(), metrics.clone()));
        let machine = request_machine(settings, tag, incarnation);
        let requests = Arc::new(RequestDriver::new(machine, flows.clone(), metrics.clone()));
        let cx = RequestContext {
            requests: requests.clone(),
            backend: Arc::new(BackendPool::new(settings.backend_server)),
            peers: Arc::new(PeerClient::new(control.clone())),
            host: HeaderValue::from_str(&settings.service).change_context(AgentError::Tunnel)?,
        };
        let socket =
            TunnelSocket::bind(owner, settings.keys.clone(), flows.clone(), metrics.clone())
                .change_context(AgentError::Tunnel)?;
        let (draining, draining_rx) = watch::channel(false);
        let endpoint = CallerEndpoint::open(
            socket,
            &settings.service_tls,
            flows.clone(),
            cx.clone(),
            metrics.clone(),
            draining_rx,
        )?;
        let quic = endpoint.quic();
        let tasks = vec![
            tokio::spawn(flows.clone().run_timer()),
            tokio::spawn(requests.clone().run_timer()),
            tokio::spawn(endpoint.run()),
        ];
        tracing::info!(%incarnation, service = %settings.service, "serving");
        Ok(Self {
            flows,
            requests,
            cx,
            peer_loads: PeerLoads::default(),
            metrics: metrics.clone(),
            draining,
            endpoint: quic,
            name: settings.name.clone(),
            tasks,
        })
    }

    /// Applies the service's configuration.
    ///
    /// `weight_percent` is the agent's configured share of new flows, in percent of an equal one.
    pub(super) fn set_service(&mut self, service: &Service, weight_percent: u32) {
        let limits = FlowLimits::for_service(service, &self.name, weight_percent);
        self.flows.handle(flow::Event::Limits(limits));
        let policy = FlowPolicy::for_balance(service.balance);
        self.flows.handle(flow::Event::Policy(policy));
        self.requests.handle(request::Event::PolicyChanged {
            policy: service.requests.clone(),
            balance: service.balance,
        });
    }

    /// Replaces the list of agents that serve the same service.
    pub(super) fn set_peers(&mut self, peers: Vec<AgentRecord>) {
        self.peer_loads.set_peers(&peers);
        self.flows.handle(flow::Event::Peers(peers));
    }

    /// Processes a peer's load report.
    pub(super) fn on_load_report(&mut self, report: LoadReport) {
        self.peer_loads.record(&report, clock::now());
        let peers = self.peer_loads.peer_capacities(clock::now());
        self.flows.handle(flow::Event::Report(report));
        self.requests.handle(request::Event::PeersChanged { peers });
        let own = self.metrics.in_flight.get();
        let imbalance = self.peer_loads.imbalance_thousandths(own, clock::now());
        self.metrics.imbalance_thousandths.set(imbalance);
    }

    /// Stops or resumes the admission of new work.
    ///
    /// While draining, open connections receive a GOAWAY, so that callers send their
    /// next request on a new connection, to another agent. Requests that have already arrived are
    /// still served.
    pub(super) fn set_draining(&self, draining: bool) {
        self.set_goaway(draining);
        let event = if draining {
            flow::Event::Drain
        } else {
            flow::Event::Resume
        };
        self.flows.handle(event);
        self.requests
            .handle(request::Event::DrainChanged { draining });
    }

    /// Serves requests that a peer hands over on the connection `quic`.
    pub(super) fn serve_peer(&self, quic: quinn::Connection) {
        let connection = CallerConnection {
            quic,
            origin: Origin::Peer,
            cx: self.cx.clone(),
            draining: self.draining.subscribe(),
            flow: None,
        };
        tokio::spawn(connection.serve());
    }

    /// Sets whether all connections, including new ones, send a GOAWAY.
    fn set_goaway(&self, goaway: bool) {
        self.draining.send_if_modified(|draining| {
            let changed = *draining != goaway;
            *draining = goaway;
            changed
        });
    }

    /// Returns the number of invariant violations seen so far.
    pub(super) fn invariant_violations(&self) -> u64 {
        self.flows.invariant_violations() + self.requests.invariant_violations()
    }

    /// Begins to stop and returns a future that completes when the server has drained.
    ///
    /// Requests that are still open after `grace` are ended. Flows then have
    /// [`CONNECTION_DRAIN_TIMEOUT`] to close.
    pub(super) fn stop(&self, grace: Duration) -> impl Future<Output = ()> + Send + 'static {
        self.flows.handle(flow::Event::Stop);
        self.set_goaway(true);
        let flows = self.flows.clone();
        let requests = self.requests.clone();
        async move {
            if tokio::time::timeout(grace, requests.wait_idle())
                .await
                .is_err()
            {
                tracing::warn!("stop_grace_over");
            }
            requests.handle(request::Event::StopBegan);
            requests.handle(request::Event::StopDeadline);
            let _ = tokio::time::timeout(CONNECTION_DRAIN_TIMEOUT, flows.drained()).await;
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.endpoint.close(0_u32.into(), b"stop");
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Creates the request state machine, with default policies until the configuration arrives.
fn request_machine(
    settings: &AgentSettings,
    tag: ServiceTag,
    incarnation: Incarnation,
) -> RequestMachine {
    let identity = AgentIdentity {
        tunnel: settings.tunnel_listen,
        control: settings.control_listen,
        tag,
        incarnation,
    };
    RequestMachine::new(
        identity,
        RequestPolicy::new(),
        BalanceMode::default(),
        Arc::new(settings.keys.clone()),
        rand::rng().random(),
        clock::now(),
    )
}
