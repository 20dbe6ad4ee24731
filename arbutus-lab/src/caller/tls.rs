use std::{path::Path, sync::Arc, time::Duration};

use error_stack::{Report, ResultExt};
use quinn::crypto::rustls::QuicClientConfig;
use rustls::{
    RootCertStore,
    pki_types::{CertificateDer, pem::PemObject},
};

use crate::error::LabError;

const IDLE_TIMEOUT_MS: u32 = 6_000;
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// The transport settings of a caller that trusts the authority in the file `ca`.
///
/// # Errors
///
/// Fails where the file cannot be read or holds no certificate.
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
    transport.max_idle_timeout(Some(quinn::VarInt::from_u32(IDLE_TIMEOUT_MS).into()));
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    let mut config = quinn::ClientConfig::new(Arc::new(crypto));
    config.transport_config(Arc::new(transport));
    Ok(config)
}
