use std::{sync::Arc, time::Duration};

use arbutus_settings::tls::ControlTls;
use error_stack::{Report, ResultExt};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::{RootCertStore, server::WebPkiClientVerifier};

use super::ControlError;

/// The ALPN protocol of control messages.
pub const ALPN_CONTROL: &[u8] = b"arbutus-control/1";
/// The ALPN protocol of handed-over requests, which are sent as HTTP/3.
pub const ALPN_HANDOVER: &[u8] = b"arbutus-handover/1";
/// The server name in every process's control certificate.
pub const CONTROL_SERVER_NAME: &str = "control.arbutus.internal";

/// Time without packets after which a control connection is closed.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Assumed round-trip time before the first measurement.
const INITIAL_RTT: Duration = Duration::from_millis(20);

/// Returns the configuration for accepted connections.
pub(super) fn server_config(tls: &ControlTls) -> Result<quinn::ServerConfig, Report<ControlError>> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots(tls)?, provider.clone())
        .build()
        .change_context(ControlError::Tls)?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context(ControlError::Tls)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(tls.identity.chain.clone(), tls.identity.key.clone_key())
        .change_context(ControlError::Tls)?;
    server.alpn_protocols = vec![ALPN_CONTROL.to_vec(), ALPN_HANDOVER.to_vec()];
    let crypto = QuicServerConfig::try_from(server).change_context(ControlError::Tls)?;
    let mut cfg = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    cfg.transport_config(transport());
    Ok(cfg)
}

/// Returns the configuration for opened connections that use `protocol`.
pub(super) fn client_config(
    files: &ControlTls,
    protocol: &[u8],
) -> Result<quinn::ClientConfig, Report<ControlError>> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context(ControlError::Tls)?
        .with_root_certificates(roots(files)?)
        .with_client_auth_cert(files.identity.chain.clone(), files.identity.key.clone_key())
        .change_context(ControlError::Tls)?;
    tls.alpn_protocols = vec![protocol.to_vec()];
    let crypto = QuicClientConfig::try_from(tls).change_context(ControlError::Tls)?;
    let mut cfg = quinn::ClientConfig::new(Arc::new(crypto));
    cfg.transport_config(transport());
    Ok(cfg)
}

fn roots(tls: &ControlTls) -> Result<Arc<RootCertStore>, Report<ControlError>> {
    let mut roots = RootCertStore::empty();
    for authority in &tls.authorities {
        roots
            .add(authority.clone())
            .change_context(ControlError::Tls)?;
    }
    Ok(Arc::new(roots))
}

fn transport() -> Arc<quinn::TransportConfig> {
    let mut cfg = quinn::TransportConfig::default();
    let idle = quinn::IdleTimeout::try_from(CONNECTION_IDLE_TIMEOUT).ok();
    cfg.max_idle_timeout(idle);
    cfg.initial_rtt(INITIAL_RTT);
    Arc::new(cfg)
}
