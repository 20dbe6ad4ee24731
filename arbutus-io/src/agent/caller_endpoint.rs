use std::{net::SocketAddr, sync::Arc, time::Duration};

use arbutus_core::{flow::FlowKey, request::Origin};
use arbutus_settings::tls::Identity;
use error_stack::{Report, ResultExt};
use quinn::crypto::rustls::QuicServerConfig;
use tokio::sync::watch;

use super::{
    agent_error::AgentError, caller_connection::CallerConnection, flow_desk::FlowDesk,
    flow_handle::FlowHandle, request_task::Services, tunnel_socket::TunnelSocket,
};
use crate::{metrics::AgentMetrics, reset_key, trace::TRACE_TARGET};

const ALPN_HTTP3: &[u8] = b"h3";
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest UDP payload tried towards callers, in bytes; the tunnel's header goes before it.
const MAX_MTU_BYTES: u16 = 1_340;
const MAX_STREAMS: u32 = 256;

/// The agent's QUIC endpoint, behind the tunnel.
pub(super) struct CallerEndpoint {
    endpoint: quinn::Endpoint,
    desk: Arc<FlowDesk>,
    services: Services,
    metrics: Arc<AgentMetrics>,
    stopping: watch::Receiver<bool>,
}

impl CallerEndpoint {
    /// Opens the endpoint on `socket`.
    ///
    /// # Errors
    ///
    /// Fails where the service's certificate cannot be used.
    pub(super) fn open(
        socket: TunnelSocket,
        tls: &Identity,
        desk: Arc<FlowDesk>,
        services: Services,
        metrics: Arc<AgentMetrics>,
        stopping: watch::Receiver<bool>,
    ) -> Result<Self, Report<AgentError>> {
        let generator = socket.cid_generator();
        let mut cfg = quinn::EndpointConfig::new(reset_key::of(socket.keys().current()));
        cfg.cid_generator(move || Box::new(generator.clone()));
        let endpoint = quinn::Endpoint::new_with_abstract_socket(
            cfg,
            Some(server_config(tls)?),
            Arc::new(socket),
            Arc::new(quinn::TokioRuntime),
        )
        .change_context(AgentError::Tunnel)?;
        Ok(Self {
            endpoint,
            desk,
            services,
            metrics,
            stopping,
        })
    }

    /// The QUIC endpoint itself.
    pub(super) fn quic(&self) -> quinn::Endpoint {
        self.endpoint.clone()
    }

    /// Takes connections until the endpoint closes.
    pub(super) async fn run(self) {
        while let Some(incoming) = self.endpoint.accept().await {
            let SocketAddr::V4(caller) = incoming.remote_address() else {
                incoming.ignore();
                continue;
            };
            let Some(flow) = FlowKey::new(caller, &incoming.orig_dst_cid()) else {
                incoming.ignore();
                continue;
            };
            if self.desk.take_refusal(&flow) {
                incoming.refuse();
                continue;
            }
            let flow = FlowHandle::new(self.desk.clone(), flow);
            match incoming.accept() {
                Ok(connecting) => {
                    tokio::spawn(self.connection(connecting, flow));
                }
                Err(err) => tracing::debug!(%err, %flow, "incoming_failed"),
            }
        }
    }

    /// Serves one connection from its handshake to its end.
    fn connection(
        &self,
        connecting: quinn::Connecting,
        flow: FlowHandle,
    ) -> impl Future<Output = ()> + Send + 'static {
        let services = self.services.clone();
        let stopping = self.stopping.clone();
        let metrics = self.metrics.clone();
        async move {
            let quic = match connecting.await {
                Ok(quic) => quic,
                Err(err) => {
                    tracing::debug!(%err, %flow, "handshake_failed");
                    return;
                }
            };
            tracing::debug!(target: TRACE_TARGET, hop = "agent", %flow, "flow_opened");
            flow.opened(quic.clone());
            let connection = CallerConnection {
                quic: quic.clone(),
                origin: Origin::Caller,
                services,
                stopping,
                flow: Some(flow),
            };
            connection.serve().await;
            let reason = quic.closed().await;
            if is_broken(&reason) {
                metrics.broken_flows.inc();
                tracing::info!(%reason, "flow_broken");
            }
        }
    }
}

fn is_broken(reason: &quinn::ConnectionError) -> bool {
    !matches!(
        reason,
        quinn::ConnectionError::ApplicationClosed(_)
            | quinn::ConnectionError::ConnectionClosed(_)
            | quinn::ConnectionError::LocallyClosed
    )
}

fn server_config(tls: &Identity) -> Result<quinn::ServerConfig, Report<AgentError>> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut server = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context(AgentError::ServiceTls)?
        .with_no_client_auth()
        .with_single_cert(tls.chain.clone(), tls.key.clone_key())
        .change_context(AgentError::ServiceTls)?;
    server.alpn_protocols = vec![ALPN_HTTP3.to_vec()];
    let crypto = QuicServerConfig::try_from(server).change_context(AgentError::ServiceTls)?;
    let mut cfg = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    cfg.transport_config(Arc::new(transport()));
    Ok(cfg)
}

fn transport() -> quinn::TransportConfig {
    let mut cfg = quinn::TransportConfig::default();
    cfg.max_idle_timeout(quinn::IdleTimeout::try_from(IDLE_TIMEOUT).ok());
    cfg.max_concurrent_bidi_streams(MAX_STREAMS.into());
    let mut discovery = quinn::MtuDiscoveryConfig::default();
    discovery.upper_bound(MAX_MTU_BYTES);
    cfg.mtu_discovery_config(Some(discovery));
    cfg
}
