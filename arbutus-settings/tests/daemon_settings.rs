//! Loads settings of the daemons together with the secrets that the settings name.

use std::{fs, os::unix::fs::PermissionsExt, path::Path};

use arbutus_settings::{
    agent::AgentSettings, balancer::BalancerSettings, findings::Findings, key_set::KeySet,
};
use rstest::rstest;

const NOW_UNIX_S: u64 = 1_800_000_000;

const BALANCER: &str = r#"{
  "name": "balancer-1", "failure_domain": "mvd-a",
  "fabric_listen": "127.0.0.1:1", "fabric_sources": ["127.0.0.1:2"],
  "tunnel_listen": "127.0.0.1:3", "control_listen": "127.0.0.1:4", "admin_listen": "127.0.0.1:5",
  "store": { "url": "http://127.0.0.1:8500/", "timeout_ms": 500 },
  "keys": "keys/keys.jsonc",
  "control_tls": {
    "ca": "keys/ca.pem", "certificate": "keys/control.pem", "key": "keys/control.key.pem"
  }
}"#;

const AGENT: &str = r#"{
  "name": "lookup-1", "failure_domain": "mvd-a", "service": "lookup",
  "tunnel_listen": "127.0.0.1:3", "control_listen": "127.0.0.1:4", "admin_listen": "127.0.0.1:5",
  "balancers": ["127.0.0.1:6"], "backend_server": "127.0.0.1:7",
  "keys": { "current": 0, "files": [ { "number": 0, "path": "keys/system-0.key" } ] },
  "control_tls": {
    "ca": "keys/ca.pem", "certificate": "keys/control.pem", "key": "keys/control.key.pem"
  },
  "service_tls": {
    "certificate": "keys/service-lookup.pem", "key": "keys/service-lookup.key.pem"
  }
}"#;

/// Creates a folder with a key set.
fn folder() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    KeySet::create(&folder.path().join("keys"), &["lookup"], NOW_UNIX_S).expect("a key set");
    folder
}

fn load_balancer(folder: &Path, text: &str) -> Result<BalancerSettings, Vec<String>> {
    let path = folder.join("balancer.jsonc");
    fs::write(&path, text).expect("a written file");
    BalancerSettings::load(&path).map_err(|report| {
        let findings = report.downcast_ref::<Findings>().expect("findings");
        let prefix = format!("{}/", folder.display());
        let lines = findings.iter().map(ToString::to_string);
        lines.map(|line| line.replace(&prefix, "")).collect()
    })
}

#[test]
fn balancer_settings_are_loaded_with_their_secrets() {
    let folder = folder();
    let settings = load_balancer(folder.path(), BALANCER).expect("no findings");
    assert_eq!(&*settings.store.url, "http://127.0.0.1:8500");
    assert_eq!(settings.store.timeout.as_millis(), 500);
    assert_eq!(settings.keys.current_number(), 0);
    assert_eq!(settings.control_tls.authorities.len(), 1);
    assert!(settings.peers.is_empty());
}

#[test]
fn agent_settings_are_loaded_with_their_secrets() {
    let folder = folder();
    let path = folder.path().join("agent.jsonc");
    fs::write(&path, AGENT).expect("a written file");
    let settings = AgentSettings::load(&path).expect("no findings");
    assert_eq!(&*settings.service, "lookup");
    assert_eq!(settings.service_tls.chain.len(), 1);
    assert_eq!(settings.stop_grace, AgentSettings::DEFAULT_STOP_GRACE);
}

struct Case {
    /// The text that is replaced in the settings of a balancer.
    from: &'static str,
    /// The replacement.
    to: &'static str,
    finding: &'static str,
}

#[rstest]
#[case::unknown_key_with_the_most_similar_known_key(Case {
    from: "\"timeout_ms\"",
    to: "\"timeout\"",
    finding: "balancer.jsonc:5:47: unknown key `timeout`; did you mean `timeout_ms`?",
})]
#[case::missing_key_at_the_location_of_the_object(Case {
    from: "\"name\": \"balancer-1\",",
    to: "",
    finding: "balancer.jsonc:1:1: the key `name` is missing",
})]
#[case::missing_file(Case {
    from: "keys/ca.pem",
    to: "keys/none.pem",
    finding: "balancer.jsonc:8:11: cannot read `keys/none.pem`: No such file or directory \
        (os error 2)",
})]
#[case::private_key_of_another_certificate(Case {
    from: "keys/control.key.pem",
    to: "keys/service-lookup.key.pem",
    finding: "balancer.jsonc:7:18: the private key does not match the certificate: keys may not be \
        consistent: KeyMismatch",
})]
#[case::url_with_another_scheme(Case {
    from: "http://127.0.0.1:8500/",
    to: "https://127.0.0.1:8500",
    finding: "balancer.jsonc:5:21: `url` must be like http://192.0.2.1:8500, found \
        `https://127.0.0.1:8500`",
})]
fn invalid_balancer_settings_are_reported(#[case] case: Case) {
    let folder = folder();
    let text = BALANCER.replace(case.from, case.to);
    let findings = load_balancer(folder.path(), &text).expect_err("findings");
    assert_eq!(findings, [case.finding]);
}

#[test]
fn a_secret_that_the_group_can_read_is_a_finding() {
    let folder = folder();
    for name in ["system-0.key", "control.key.pem"] {
        let path = folder.path().join("keys").join(name);
        fs::set_permissions(path, fs::Permissions::from_mode(0o640)).expect("a changed mode");
    }
    let findings = load_balancer(folder.path(), BALANCER).expect_err("findings");
    assert_eq!(
        findings,
        [
            "balancer.jsonc:8:68: `keys/control.key.pem` contains a secret but has mode 640; remove the \
         access of group and others with chmod 600",
            "keys/keys.jsonc:5:28: `keys/system-0.key` contains a secret but has mode 640; remove the \
         access of group and others with chmod 600",
        ]
    );
}
