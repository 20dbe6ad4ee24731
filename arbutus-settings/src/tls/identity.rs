use rustls::pki_types::{CertificateDer, PrivateKeyDer};

/// A certificate chain with its private key.
#[derive(Debug)]
pub struct Identity {
    /// The certificates, the process's own first; never empty.
    pub chain: Vec<CertificateDer<'static>>,
    /// The private key of the first certificate.
    pub key: PrivateKeyDer<'static>,
}

impl Clone for Identity {
    fn clone(&self) -> Self {
        Self {
            chain: self.chain.clone(),
            key: self.key.clone_key(),
        }
    }
}

/// The certificates for mutual TLS between the processes of the system.
#[derive(Debug, Clone)]
pub struct ControlTls {
    /// The authorities whose certificates are accepted: two during a rotation, never empty.
    pub authorities: Vec<CertificateDer<'static>>,
    /// The certificate chain and key that the process presents.
    pub identity: Identity,
}
