use std::{path::Path, sync::Arc, time::Duration};

use error_stack::{Report, ResultExt};
use quinn::crypto::rustls::QuicClientConfig;
use rustls::{
    RootCertStore,
    pki_types::{CertificateDer, pem::PemObject},
};

use crate::error::LabError;

/// Idle timeout of a flow, in milliseconds.
const FLOW_IDLE_TIMEOUT_MS: u32 = 6_000;
/// Interval at which keep-alive packets are sent on an idle flow.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the QUIC client settings of a caller that accepts certificates of the authority in the
/// file `ca`.
///
/// # Errors
///
/// Fails if the file cannot be read or contains an invalid certificate.
pub fn client_config(ca: &Path) -> Result<quinn::ClientConfig, Report<LabError>> {
    let mut roots = RootCertStore::empty();
    let certificates = CertificateDer::pem_file_iter(ca)
        .change_context(LabError::Tls)
        .attach_with(|| ca.display().to_string())?;
    for certificate in certificates {
        let certificate = certificate.change_context(LabError::Tls)?;
        roots.add(certificate).change_context(LabError::Tls)?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context(LabError::Tls)?
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let crypto = QuicClientConfig::try_from(tls).change_context(LabError::Tls)?;
    let mut transport = quinn::TransportConfig::default();
    transport.max_idle_timeout(Some(quinn::VarInt::from_u32(FLOW_IDLE_TIMEOUT_MS).into()));
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    let mut config = quinn::ClientConfig::new(Arc::new(crypto));
    config.transport_config(Arc::new(transport));
    Ok(config)
}
