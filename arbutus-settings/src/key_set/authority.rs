use std::time::Duration;

use error_stack::{Report, ResultExt};
use rcgen::{
    BasicConstraints, CertificateParams, DistinguishedName, DnType, ExtendedKeyUsagePurpose, IsCa,
    Issuer, KeyPair, KeyUsagePurpose,
};

use super::KeySetError;

/// The validity period of a certificate: 2 years.
const VALIDITY: Duration = Duration::from_secs(2 * 365 * 86_400);
/// How far in the past a certificate's validity begins, so that clocks that are behind accept it.
const BACKDATING: Duration = Duration::from_secs(86_400);

/// A certificate with its private key, both in PEM.
#[derive(Debug, Clone)]
pub(super) struct IssuedCertificate {
    pub(super) certificate: String,
    pub(super) key: String,
}

/// A certificate authority that signs the certificates of a deployment.
pub(super) struct Authority {
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    /// Creates a new authority with a self-signed certificate.
    pub(super) fn create(now_unix_s: u64) -> Result<IssuedCertificate, Report<KeySetError>> {
        let key = KeyPair::generate().change_context(KeySetError::Certificate)?;
        let certificate = authority_params(now_unix_s)
            .self_signed(&key)
            .change_context(KeySetError::Certificate)?;
        Ok(IssuedCertificate {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }

    /// Opens the authority with the private key `key`, in PEM.
    pub(super) fn open(key: &str) -> Result<Self, Report<KeySetError>> {
        let key = KeyPair::from_pem(key).change_context(KeySetError::Malformed)?;
        Ok(Self {
            issuer: Issuer::new(authority_params(0), key),
        })
    }

    /// Issues a certificate for `dns_name` that is valid for servers and clients.
    pub(super) fn issue(
        &self,
        dns_name: &str,
        now_unix_s: u64,
    ) -> Result<IssuedCertificate, Report<KeySetError>> {
        let mut params = CertificateParams::new(vec![dns_name.to_owned()])
            .change_context(KeySetError::ServiceName)?;
        params.distinguished_name = common_name(dns_name);
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        set_validity(&mut params, now_unix_s);
        let key = KeyPair::generate().change_context(KeySetError::Certificate)?;
        let certificate = params
            .signed_by(&key, &self.issuer)
            .change_context(KeySetError::Certificate)?;
        Ok(IssuedCertificate {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }
}

fn authority_params(now_unix_s: u64) -> CertificateParams {
    let mut params = CertificateParams::default();
    params.distinguished_name = common_name("arbutusstage authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    set_validity(&mut params, now_unix_s);
    params
}

fn common_name(name: &str) -> DistinguishedName {
    let mut distinguished = DistinguishedName::new();
    distinguished.push(DnType::CommonName, name);
    distinguished
}

fn set_validity(params: &mut CertificateParams, now_unix_s: u64) {
    let now = rcgen::date_time_ymd(1970, 1, 1) + Duration::from_secs(now_unix_s);
    params.not_before = now - BACKDATING;
    params.not_after = now + VALIDITY;
}
