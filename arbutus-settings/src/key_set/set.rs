use std::{fmt::Write, path::Path};

use arbutus_core::keys::{KeyRing, SystemKey};
use error_stack::{Report, ResultExt};

use super::{
    KeySetError, RotationStep,
    authority::{Authority, IssuedCertificate},
    files::KeySetFiles,
};
use crate::keys;

/// The DNS name in the control certificates of balancers and agents.
pub const CONTROL_DNS_NAME: &str = "control.arbutus.internal";

const KEYS_FILE: &str = "keys.jsonc";
const CA_FILE: &str = "ca.pem";
const CA_KEY_FILE: &str = "ca.key.pem";
const NEXT_CA_FILE: &str = "ca-next.pem";
const NEXT_CA_KEY_FILE: &str = "ca-next.key.pem";

/// Returns the DNS name in the certificate of `service`.
#[must_use]
pub fn service_dns_name(service: &str) -> String {
    format!("{service}.arbutus.internal")
}

/// A folder of secrets and certificates.
#[derive(Debug, Clone)]
pub struct KeySet {
    files: KeySetFiles,
    /// The time at which new certificates are issued, in seconds since the Unix epoch.
    now_unix_s: u64,
}

/// The numbers of a key set's system keys.
struct KeyNumbers {
    /// The number of the key in use.
    current: u8,
    /// The numbers of all accepted keys, the oldest first.
    valid: Vec<u8>,
}

impl KeySet {
    /// Creates a key set in `folder` with a certificate for each of `services`.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder already contains a key set, or a file or certificate cannot
    /// be created.
    pub fn create(
        folder: &Path,
        services: &[&str],
        now_unix_s: u64,
    ) -> Result<Self, Report<KeySetError>> {
        let set = Self::open(folder, now_unix_s);
        if set.files.has(KEYS_FILE) || set.files.has(CA_KEY_FILE) {
            return Err(Report::new(KeySetError::Exists));
        }
        set.files.create_folder()?;
        let authority = Authority::create(now_unix_s)?;
        set.files.write_public(CA_FILE, &authority.certificate)?;
        set.files.write_secret(CA_KEY_FILE, &authority.key)?;
        set.issue_control(&authority.key)?;
        for service in services {
            set.add_service(service)?;
        }
        set.write_system_key(0)?;
        set.write_key_numbers(&KeyNumbers {
            current: 0,
            valid: vec![0],
        })?;
        Ok(set)
    }

    /// Returns the key set in `folder`; files are read only when they are needed.
    #[must_use]
    pub fn open(folder: &Path, now_unix_s: u64) -> Self {
        Self {
            files: KeySetFiles::new(folder),
            now_unix_s,
        }
    }

    /// Issues a certificate for a service.
    ///
    /// # Errors
    ///
    /// Returns an error if the service name is not valid, or a file cannot be read or written.
    pub fn add_service(&self, service: &str) -> Result<(), Report<KeySetError>> {
        self.issue_service(service, &self.files.read(CA_KEY_FILE)?)
    }

    /// Performs one step of a rotation.
    ///
    /// # Errors
    ///
    /// Returns an error if the step is out of order, or a file cannot be read or written.
    pub fn rotate(&self, step: RotationStep) -> Result<(), Report<KeySetError>> {
        match step {
            RotationStep::Add => self.rotate_add(),
            RotationStep::Use => self.rotate_use(),
            RotationStep::Drop => self.rotate_drop(),
        }
    }

    fn rotate_add(&self) -> Result<(), Report<KeySetError>> {
        let mut numbers = self.key_numbers()?;
        ensure_in_order(numbers.valid.len() == 1)?;
        let next = next_key_number(numbers.current);
        let authority = Authority::create(self.now_unix_s)?;
        self.files.write_secret(NEXT_CA_KEY_FILE, &authority.key)?;
        self.files
            .write_public(NEXT_CA_FILE, &authority.certificate)?;
        let both = format!("{}{}", self.files.read(CA_FILE)?, authority.certificate);
        self.files.write_public(CA_FILE, &both)?;
        self.write_system_key(next)?;
        numbers.valid.push(next);
        self.write_key_numbers(&numbers)
    }

    fn rotate_use(&self) -> Result<(), Report<KeySetError>> {
        let mut numbers = self.key_numbers()?;
        ensure_in_order(numbers.valid.len() == 2 && numbers.valid[0] == numbers.current)?;
        let authority = self.files.read(NEXT_CA_KEY_FILE)?;
        self.issue_control(&authority)?;
        for service in self.files.services()? {
            self.issue_service(&service, &authority)?;
        }
        numbers.current = numbers.valid[1];
        self.write_key_numbers(&numbers)
    }

    fn rotate_drop(&self) -> Result<(), Report<KeySetError>> {
        let mut numbers = self.key_numbers()?;
        ensure_in_order(numbers.valid.len() == 2 && numbers.valid[1] == numbers.current)?;
        // The key numbers are written after the authority's files are renamed and before the old
        // key is removed, so that an interrupted step can be repeated.
        for (next, present) in [(NEXT_CA_FILE, CA_FILE), (NEXT_CA_KEY_FILE, CA_KEY_FILE)] {
            if self.files.has(next) {
                self.files.rename(next, present)?;
            }
        }
        let old = numbers.valid.remove(0);
        self.write_key_numbers(&numbers)?;
        self.files.remove(&system_key_name(old))
    }

    fn issue_control(&self, authority: &str) -> Result<(), Report<KeySetError>> {
        let issued = Authority::open(authority)?.issue(CONTROL_DNS_NAME, self.now_unix_s)?;
        self.write_issued("control", &issued)
    }

    fn issue_service(&self, service: &str, authority: &str) -> Result<(), Report<KeySetError>> {
        if !crate::scalar::is_name(service) {
            return Err(Report::new(KeySetError::ServiceName).attach(service.to_owned()));
        }
        let dns_name = service_dns_name(service);
        let issued = Authority::open(authority)?.issue(&dns_name, self.now_unix_s)?;
        self.write_issued(&format!("service-{service}"), &issued)
    }

    fn write_issued(
        &self,
        name: &str,
        issued: &IssuedCertificate,
    ) -> Result<(), Report<KeySetError>> {
        let (certificate, key) = (format!("{name}.pem"), format!("{name}.key.pem"));
        self.files.write_public(&certificate, &issued.certificate)?;
        self.files.write_secret(&key, &issued.key)
    }

    fn write_system_key(&self, number: u8) -> Result<(), Report<KeySetError>> {
        let mut secret = [0; SystemKey::SECRET_BYTES];
        rustls::crypto::ring::default_provider()
            .secure_random
            .fill(&mut secret)
            .map_err(|_| {
                Report::new(KeySetError::Certificate).attach("no random bytes are available")
            })?;
        let mut text = String::new();
        for byte in secret {
            let _ = write!(text, "{byte:02x}");
        }
        text.push('\n');
        self.files.write_secret(&system_key_name(number), &text)
    }

    fn write_key_numbers(&self, numbers: &KeyNumbers) -> Result<(), Report<KeySetError>> {
        let file = |number: &u8| {
            let path = system_key_name(*number);
            format!("    {{ \"number\": {number}, \"path\": \"{path}\" }}")
        };
        let files: Vec<_> = numbers.valid.iter().map(file).collect();
        let text = format!(
            "// Written by `arbutusctl keys`; a daemon's settings name this file under `keys`.\n\
             {{\n  \"current\": {},\n  \"files\": [\n{}\n  ]\n}}\n",
            numbers.current,
            files.join(",\n")
        );
        self.files.write_public(KEYS_FILE, &text)
    }

    fn key_numbers(&self) -> Result<KeyNumbers, Report<KeySetError>> {
        let text = self.files.read(KEYS_FILE)?;
        let (current, valid) =
            keys::parse_key_numbers(KEYS_FILE, &text).change_context(KeySetError::Malformed)?;
        Ok(KeyNumbers { current, valid })
    }
}

/// Returns the key number after `number`; the last number is followed by 0.
fn next_key_number(number: u8) -> u8 {
    let next = number + 1;
    if usize::from(next) < KeyRing::MAX_KEYS {
        next
    } else {
        0
    }
}

fn system_key_name(number: u8) -> String {
    format!("system-{number}.key")
}

/// Returns an error unless the step is in order.
fn ensure_in_order(in_order: bool) -> Result<(), Report<KeySetError>> {
    if in_order {
        return Ok(());
    }
    Err(Report::new(KeySetError::OutOfOrder))
}
