//! Creates and rotates key sets.

use std::{fs, os::unix::fs::PermissionsExt, path::Path, sync::Arc, time::Duration};

use arbutus_settings::{
    key_set::{CONTROL_DNS_NAME, KeySet, KeySetError, RotationStep, service_dns_name},
    keys, tls,
};
use rustls::{
    RootCertStore,
    client::{WebPkiServerVerifier, danger::ServerCertVerifier},
    pki_types::{ServerName, UnixTime},
};

const NOW_UNIX_S: u64 = 1_800_000_000;

fn create_set(folder: &Path) -> KeySet {
    KeySet::create(folder, &["lookup"], NOW_UNIX_S).expect("a key set")
}

/// Returns whether a process with `authorities` accepts the certificate `name` for `dns_name`.
fn accepts(authorities: &Path, folder: &Path, name: &str, dns_name: &str) -> bool {
    let mut roots = RootCertStore::empty();
    for authority in tls::load_authorities(authorities).expect("authorities") {
        roots.add(authority).expect("a usable authority");
    }
    let certificate = folder.join(format!("{name}.pem"));
    let key = folder.join(format!("{name}.key.pem"));
    let identity = tls::load_identity(&certificate, &key).expect("an identity");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiServerVerifier::builder_with_provider(Arc::new(roots), provider)
        .build()
        .expect("a verifier");
    let server = ServerName::try_from(dns_name.to_owned()).expect("a name");
    let now = UnixTime::since_unix_epoch(Duration::from_secs(NOW_UNIX_S));
    verifier
        .verify_server_cert(&identity.chain[0], &[], &server, &[], now)
        .is_ok()
}

#[test]
fn certificates_are_accepted_for_their_own_names_only() {
    let folder = tempfile::tempdir().expect("a folder");
    create_set(folder.path());
    let ca = folder.path().join("ca.pem");
    let accepts = |name: &str, dns_name: &str| accepts(&ca, folder.path(), name, dns_name);
    assert!(accepts("control", CONTROL_DNS_NAME));
    assert!(accepts("service-lookup", &service_dns_name("lookup")));
    assert!(!accepts("service-lookup", &service_dns_name("tables")));
    assert!(!accepts("service-lookup", CONTROL_DNS_NAME));
}

/// Guards against a rotation step after which a node rejects the certificates or keys of nodes that
/// still have the files of the step before.
#[test]
fn nodes_one_rotation_step_apart_accept_each_other() {
    let folder = tempfile::tempdir().expect("a folder");
    let keys_folder = folder.path().join("keys");
    let set = create_set(&keys_folder);
    let mut stages = vec![snapshot(&keys_folder, &folder.path().join("0"))];
    let steps = [RotationStep::Add, RotationStep::Use, RotationStep::Drop];
    for (number, step) in (1..).zip(steps.into_iter().cycle().take(9)) {
        set.rotate(step).expect("the next step");
        stages.push(snapshot(
            &keys_folder,
            &folder.path().join(number.to_string()),
        ));
    }
    for pair in stages.windows(2) {
        for (verifier, presenter) in [(0, 1), (1, 0), (0, 0), (1, 1)] {
            let (verifier, presenter): (&Path, &Path) = (&pair[verifier], &pair[presenter]);
            let ca = verifier.join("ca.pem");
            assert!(accepts(&ca, presenter, "control", CONTROL_DNS_NAME));
            assert!(accepts(
                &ca,
                presenter,
                "service-lookup",
                &service_dns_name("lookup")
            ));
            let load = |stage: &Path| keys::load_set(&stage.join("keys.jsonc")).expect("a ring");
            assert!(
                load(verifier)
                    .get(load(presenter).current_number())
                    .is_some()
            );
        }
    }
}

/// Copies the files of a key set.
fn snapshot(from: &Path, to: &Path) -> std::path::PathBuf {
    fs::create_dir(to).expect("a folder");
    for entry in fs::read_dir(from).expect("a folder") {
        let entry = entry.expect("an entry");
        fs::copy(entry.path(), to.join(entry.file_name())).expect("a copy");
    }
    to.to_owned()
}

#[test]
fn steps_out_of_order_are_rejected() {
    let folder = tempfile::tempdir().expect("a folder");
    let set = create_set(folder.path());
    let rotate = |step| set.rotate(step).map_err(|report| *report.current_context());
    assert_eq!(rotate(RotationStep::Use), Err(KeySetError::OutOfOrder));
    assert_eq!(rotate(RotationStep::Drop), Err(KeySetError::OutOfOrder));
    assert_eq!(rotate(RotationStep::Add), Ok(()));
    assert_eq!(rotate(RotationStep::Add), Err(KeySetError::OutOfOrder));
    assert_eq!(rotate(RotationStep::Drop), Err(KeySetError::OutOfOrder));
    assert_eq!(rotate(RotationStep::Use), Ok(()));
}

#[test]
fn a_key_set_is_never_created_over_another() {
    let folder = tempfile::tempdir().expect("a folder");
    create_set(folder.path());
    let again = KeySet::create(folder.path(), &["lookup"], NOW_UNIX_S);
    assert_eq!(
        again.map_err(|it| *it.current_context()).err(),
        Some(KeySetError::Exists)
    );
}

#[test]
fn secrets_are_readable_by_their_owner_only() {
    let folder = tempfile::tempdir().expect("a folder");
    create_set(folder.path());
    for entry in fs::read_dir(folder.path()).expect("a folder") {
        let entry = entry.expect("an entry");
        let name = entry.file_name().to_string_lossy().into_owned();
        let mode = entry.metadata().expect("metadata").permissions().mode() & 0o777;
        let secret = name.contains(".key");
        assert_eq!(mode, if secret { 0o600 } else { 0o644 }, "{name}");
    }
}
