use std::path::Path;

use error_stack::Report;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};

use super::{ControlTls, Identity};
use crate::{
    SettingsError,
    document::Node,
    findings::{Findings, Location},
    scalar, secret,
};

/// Loads the certificates of the authorities in the PEM file at `path`.
///
/// # Errors
///
/// Returns an error with findings attached if the file cannot be read or contains no certificate.
pub fn load_authorities(
    path: &Path,
) -> Result<Vec<CertificateDer<'static>>, Report<SettingsError>> {
    let mut findings = Findings::new();
    let location = Location::whole_file(path.display().to_string().into());
    let loaded = certificates(path, &location, &mut findings);
    findings.into_result(loaded)
}

/// Loads a certificate chain and its private key from PEM files.
///
/// # Errors
///
/// Returns an error with findings attached if a file cannot be read or parsed, if the key file is
/// accessible to group or others, or if the key does not match the certificate.
pub fn load_identity(certificate: &Path, key: &Path) -> Result<Identity, Report<SettingsError>> {
    let mut findings = Findings::new();
    let chain_location = Location::whole_file(certificate.display().to_string().into());
    let key_location = Location::whole_file(key.display().to_string().into());
    let chain = certificates(certificate, &chain_location, &mut findings);
    let key = private_key(key, &key_location, &mut findings);
    let identity = matching_identity(chain, key, &chain_location, &mut findings);
    findings.into_result(identity)
}

/// Returns a parser for the `control_tls` object of a daemon's settings.
pub(crate) fn read_control(
    folder: &Path,
) -> impl FnOnce(&str, &Node, &mut Findings) -> Option<ControlTls> {
    move |_key, node, findings| {
        let mut reader = node.reader(findings)?;
        let authorities = reader.required("ca", read_certificates(folder));
        let chain = reader.required("certificate", read_certificates(folder));
        let key = reader.required("key", read_private_key(folder));
        reader.finish();
        let identity = matching_identity(chain, key, &node.location, findings);
        Some(ControlTls {
            authorities: authorities?,
            identity: identity?,
        })
    }
}

/// Returns a parser for an object of `certificate` and `key` in a daemon's settings.
pub(crate) fn read_identity(
    folder: &Path,
) -> impl FnOnce(&str, &Node, &mut Findings) -> Option<Identity> {
    move |_key, node, findings| {
        let mut reader = node.reader(findings)?;
        let chain = reader.required("certificate", read_certificates(folder));
        let key = reader.required("key", read_private_key(folder));
        reader.finish();
        matching_identity(chain, key, &node.location, findings)
    }
}

fn read_certificates(
    folder: &Path,
) -> impl FnOnce(&str, &Node, &mut Findings) -> Option<Vec<CertificateDer<'static>>> {
    move |key, node, findings| {
        let path = scalar::file(folder)(key, node, findings)?;
        certificates(&path, &node.location, findings)
    }
}

fn read_private_key(
    folder: &Path,
) -> impl FnOnce(&str, &Node, &mut Findings) -> Option<PrivateKeyDer<'static>> {
    move |key, node, findings| {
        let path = scalar::file(folder)(key, node, findings)?;
        private_key(&path, &node.location, findings)
    }
}

fn certificates(
    path: &Path,
    location: &Location,
    findings: &mut Findings,
) -> Option<Vec<CertificateDer<'static>>> {
    let bytes = secret::read(path, location, findings)?;
    let parsed: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&bytes).collect();
    match parsed {
        Ok(chain) if !chain.is_empty() => Some(chain),
        Ok(_) => {
            let message = format!("`{}` contains no PEM certificate", path.display());
            findings.add(location, message);
            None
        }
        Err(error) => {
            findings.add(
                location,
                format!("`{}` is not valid PEM: {error}", path.display()),
            );
            None
        }
    }
}

fn private_key(
    path: &Path,
    location: &Location,
    findings: &mut Findings,
) -> Option<PrivateKeyDer<'static>> {
    let bytes = secret::read_secret(path, location, findings)?;
    let parsed = PrivateKeyDer::from_pem_slice(&bytes);
    if parsed.is_err() {
        let message = format!("`{}` contains no PEM private key", path.display());
        findings.add(location, message);
    }
    parsed.ok()
}

/// Returns the identity of `chain` and `key`; adds a finding if the key does not match.
fn matching_identity(
    chain: Option<Vec<CertificateDer<'static>>>,
    key: Option<PrivateKeyDer<'static>>,
    location: &Location,
    findings: &mut Findings,
) -> Option<Identity> {
    let (chain, key) = (chain?, key?);
    let provider = rustls::crypto::ring::default_provider();
    let checked = rustls::sign::CertifiedKey::from_der(chain.clone(), key.clone_key(), &provider);
    if let Err(error) = checked {
        let message = format!("the private key does not match the certificate: {error}");
        findings.add(location, message);
        return None;
    }
    Some(Identity { chain, key })
}
