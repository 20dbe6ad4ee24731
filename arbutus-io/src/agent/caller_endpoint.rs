use std::{net::SocketAddr, sync::Arc, time::Duration};

use arbutus_core::{flow::FlowKey, request::Origin};
use arbutus_settings::tls::Identity;
use error_stack::{Report, ResultExt};
use quinn::crypto::rustls::QuicServerConfig;
use tokio::sync::watch;

use super::{
    agent_error::AgentError, caller_connection::CallerConnection, flow_driver::FlowDriver,
    flow_handle::FlowHandle, request_task::RequestContext, tunnel_socket::TunnelSocket,
};
use crate::{metrics::AgentMetrics, reset_key, trace::TRACE_TARGET};

/// The ALPN protocol name of HTTP/3.
const ALPN_HTTP3: &[u8] = b"h3";
/// Time without packets after which a caller's connection is closed.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Upper bound of MTU discovery towards callers: UDP payload in bytes, without the tunnel header.
const MAX_UDP_PAYLOAD_BYTES: u16 = 1_340;
/// Maximum number of concurrent requests on a caller's connection.
const MAX_CONCURRENT_STREAMS: u32 = 256;

/// The agent's QUIC endpoint for callers, which receives their datagrams through the tunnel.
pub(super) struct CallerEndpoint {
    endpoint: quinn::Endpoint,
    flows: Arc<FlowDriver>,
    cx: RequestContext,
    metrics: Arc<AgentMetrics>,
    draining: watch::Receiver<bool>,
}

impl CallerEndpoint {
    /// Opens the endpoint on `socket`.
    ///
    /// # Errors
    ///
    /// Returns an error if the service's certificate cannot be used or the endpoint cannot be
    /// opened.
    pub(super) fn open(
        socket: TunnelSocket,
        tls: &Identity,
        flows: Arc<FlowDriver>,
        cx: RequestContext,
        metrics: Arc<AgentMetrics>,
        draining: watch::Receiver<bool>,
    ) -> Result<Self, Report<AgentError>> {
        let generator = socket.cid_generator();
        let mut cfg =
            quinn::EndpointConfig::new(reset_key::from_system_key(socket.keys().current()));
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
            flows,
            cx,
            metrics,
            draining,
        })
    }

    /// Returns a handle to the QUIC endpoint.
    pub(super) fn quic(&self) -> quinn::Endpoint {
        self.endpoint.clone()
    }

    /// Accepts connections until the endpoint closes.
    ///
    /// Connections of refused flows are refused. Those without a valid flow key, which needs an
    /// IPv4 address, are ignored.
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
            if self.flows.take_refusal(&flow) {
                incoming.refuse();
                continue;
            }
            let flow = FlowHandle::new(self.flows.clone(), flow);
            match incoming.accept() {
                Ok(connecting) => {
                    tokio::spawn(self.serve_connection(connecting, flow));
                }
                Err(err) => tracing::debug!(%err, %flow, "incoming_failed"),
            }
        }
    }

    /// Returns a future that serves one connection from its handshake to its end.
    fn serve_connection(
        &self,
        connecting: quinn::Connecting,
        flow: FlowHandle,
    ) -> impl Future<Output = ()> + Send + 'static {
        let cx = self.cx.clone();
        let draining = self.draining.clone();
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
            flow.on_opened(quic.clone());
            let connection = CallerConnection {
                quic: quic.clone(),
                origin: Origin::Caller,
                cx,
                draining,
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

/// Returns whether a connection ended without being closed by either side.
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
    cfg.transport_config(Arc::new(transport_config()));
    Ok(cfg)
}

fn transport_config() -> quinn::TransportConfig {
    let mut cfg = quinn::TransportConfig::default();
    cfg.max_idle_timeout(quinn::IdleTimeout::try_from(CONNECTION_IDLE_TIMEOUT).ok());
    cfg.max_concurrent_bidi_streams(MAX_CONCURRENT_STREAMS.into());
    let mut discovery = quinn::MtuDiscoveryConfig::default();
    discovery.upper_bound(MAX_UDP_PAYLOAD_BYTES);
    cfg.mtu_discovery_config(Some(discovery));
    cfg
}
