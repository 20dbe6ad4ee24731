use std::{sync::Arc, time::Duration};

use arbutus_settings::tls::ControlTls;
use error_stack::{Report, ResultExt};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::{RootCertStore, server::WebPkiClientVerifier};

use super::ControlError;

/// The application protocol of control messages.
pub const ALPN_CONTROL: &[u8] = b"arbutus-control/1";
/// The application protocol of requests that are handed over; HTTP/3 inside.
pub const ALPN_HANDOVER: &[u8] = b"arbutus-handover/1";
/// The name that every process's control certificate carries.
pub const CONTROL_SERVER_NAME: &str = "control.arbutus.internal";

const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const INITIAL_RTT: Duration = Duration::from_millis(20);

/// The side that takes connections.
pub(super) fn server(tls: &ControlTls) -> Result<quinn::ServerConfig, Report<ControlError>> {
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

/// The side that opens connections for `protocol`.
pub(super) fn client(
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
    let idle = quinn::IdleTimeout::try_from(IDLE_TIMEOUT).ok();
    cfg.max_idle_timeout(idle);
    cfg.initial_rtt(INITIAL_RTT);
    Arc::new(cfg)
}
