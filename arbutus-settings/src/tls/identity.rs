use rustls::pki_types::{CertificateDer, PrivateKeyDer};

/// A certificate chain with its private key.
#[derive(Debug)]
pub struct Identity {
    /// The process's own certificate first; never empty.
    pub chain: Vec<CertificateDer<'static>>,
    /// The key of the first certificate.
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

/// What a process needs for mutual TLS with others of the system.
#[derive(Debug, Clone)]
pub struct ControlTls {
    /// Authorities whose certificates are accepted, two during a rotation; never empty.
    pub authorities: Vec<CertificateDer<'static>>,
    /// What the process shows of itself.
    pub identity: Identity,
}
