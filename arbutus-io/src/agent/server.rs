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
    caller_endpoint::CallerEndpoint, flow_desk::FlowDesk, peer_client::PeerClient,
    peer_loads::PeerLoads, request_desk::RequestDesk, request_task::Services,
    tunnel_socket::TunnelSocket,
};
use crate::{clock, control::ControlEndpoint, metrics::AgentMetrics};

/// How long connections may stay open after the last request of a stop.
const LAST_CONNECTIONS: Duration = Duration::from_secs(4);

/// Everything that serves callers under one incarnation.
pub(super) struct Server {
    flows: Arc<FlowDesk>,
    requests: Arc<RequestDesk>,
    services: Services,
    loads: PeerLoads,
    metrics: Arc<AgentMetrics>,
    stopping: watch::Sender<bool>,
    endpoint: quinn::Endpoint,
    name: Arc<str>,
    /// Ended when the server is dropped.
    tasks: Vec<JoinHandle<()>>,
}

impl Server {
    /// Starts to serve under `incarnation`.
    ///
    /// # Errors
    ///
    /// Fails where the tunnel address cannot be bound or the certificate cannot be used.
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
        let flows = Arc::new(FlowDesk::new(admission, control.clone(), metrics.clone()));
        let machine = request_machine(settings, tag, incarnation);
        let requests = Arc::new(RequestDesk::new(machine, flows.clone(), metrics.clone()));
        let services = Services {
            desk: requests.clone(),
            backend: Arc::new(BackendPool::new(settings.backend_server)),
            peers: Arc::new(PeerClient::new(control.clone())),
            host: HeaderValue::from_str(&settings.service).change_context(AgentError::Tunnel)?,
        };
        let socket =
            TunnelSocket::bind(owner, settings.keys.clone(), flows.clone(), metrics.clone())
                .change_context(AgentError::Tunnel)?;
        let (stopping, stopping_rx) = watch::channel(false);
        let endpoint = CallerEndpoint::open(
            socket,
            &settings.service_tls,
            flows.clone(),
            services.clone(),
            metrics.clone(),
            stopping_rx,
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
            services,
            loads: PeerLoads::default(),
            metrics: metrics.clone(),
            stopping,
            endpoint: quic,
            name: settings.name.clone(),
            tasks,
        })
    }

    /// Takes in the service's configuration, whose share for this agent starts at
    /// `weight_percent`.
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

    /// Takes in the agents of the service.
    pub(super) fn set_peers(&mut self, peers: Vec<AgentRecord>) {
        self.loads.set_peers(&peers);
        self.flows.handle(flow::Event::Peers(peers));
    }

    /// Takes in a peer's load report.
    pub(super) fn hear_report(&mut self, report: LoadReport) {
        self.loads.hear(&report, clock::now());
        let peers = self.loads.rooms(clock::now());
        self.flows.handle(flow::Event::Report(report));
        self.requests.handle(request::Event::PeersChanged { peers });
        let own = self.metrics.in_flight.get();
        let imbalance = self.loads.imbalance_thousandths(own, clock::now());
        self.metrics.imbalance_thousandths.set(imbalance);
    }

    /// Stops or resumes taking new work.
    ///
    /// Open connections are told to go by GOAWAY, so that their callers take the next request
    /// elsewhere; what has come is still served.
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

    /// Serves the requests that a peer hands over on `quic`.
    pub(super) fn serve_peer(&self, quic: quinn::Connection) {
        let connection = CallerConnection {
            quic,
            origin: Origin::Peer,
            services: self.services.clone(),
            stopping: self.stopping.subscribe(),
            flow: None,
        };
        tokio::spawn(connection.serve());
    }

    /// Tells the peers of all connections to go, or no longer tells new ones so.
    fn set_goaway(&self, goaway: bool) {
        self.stopping.send_if_modified(|stopping| {
            let changed = *stopping != goaway;
            *stopping = goaway;
            changed
        });
    }

    /// Invariants that did not hold.
    pub(super) fn invariant_violations(&self) -> u64 {
        self.flows.invariant_violations() + self.requests.invariant_violations()
    }

    /// Begins a stop and gives a future that ends when nothing is left in hand, or `grace` later.
    pub(super) fn stop(&self, grace: Duration) -> impl Future<Output = ()> + Send + 'static {
        self.flows.handle(flow::Event::Stop);
        self.set_goaway(true);
        let flows = self.flows.clone();
        let requests = self.requests.clone();
        async move {
            if tokio::time::timeout(grace, requests.idle()).await.is_err() {
                tracing::warn!("stop_grace_over");
            }
            requests.handle(request::Event::StopBegan);
            requests.handle(request::Event::StopDeadline);
            let _ = tokio::time::timeout(LAST_CONNECTIONS, flows.drained()).await;
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
