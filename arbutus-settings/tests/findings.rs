//! Checks the findings in the operator's files and their locations.

use std::fs;

use arbutus_settings::{findings::Findings, operator::OperatorFolder};
use rstest::rstest;

/// A file of the operator's folder.
struct File {
    name: &'static str,
    text: &'static str,
}

struct Case {
    files: &'static [File],
    /// The expected findings, with `DIR` in place of the folder.
    findings: &'static [&'static str],
}

/// Returns the findings in a folder of `files`, with `DIR` in place of the folder.
fn findings(files: &[File]) -> Vec<String> {
    let folder = tempfile::tempdir().expect("a folder");
    for file in files {
        fs::write(folder.path().join(file.name), file.text).expect("a written file");
    }
    let Err(report) = OperatorFolder::load(folder.path()) else {
        return Vec::new();
    };
    let prefix = folder.path().display().to_string();
    report
        .downcast_ref::<Findings>()
        .expect("findings are attached")
        .iter()
        .map(|finding| finding.to_string().replace(&prefix, "DIR"))
        .collect()
}

#[rstest]
#[case::a_valid_folder_has_no_findings(Case {
    files: &[
        File { name: "10-lookup.jsonc", text: r#"{
  // The lookup service.
  "services": { "lookup": { "address": "192.0.2.1:443", "balance": "spread", }, },
}"# },
        File { name: "20-more.jsonc", text: r#"{ "services": { "lookup": {
  "backend_servers": { "lookup-1": { "state": "drain", "weight_percent": 50 } } } } }"# },
    ],
    findings: &[],
})]
#[case::all_findings_of_all_files_are_reported_together(Case {
    files: &[
        File { name: "a.jsonc", text: r#"{ "services": {
  "Lookup": { "address": "192.0.2.1" },
  "tables": { "adress": "192.0.2.2:443", "requests": { "slots": 0 } }
} }"# },
        File { name: "b.jsonc", text: r#"{ "services": {
  "lists": { "address": "192.0.2.3:443", "balance": "even", "backend_servers": 5 } } }"# },
    ],
    findings: &[
        "DIR/a.jsonc:2:3: a name must be 1 to 63 lower-case letters, digits and hyphens, found `Lookup`",
        "DIR/a.jsonc:2:26: `address` must be an address like 192.0.2.1:4433, found `192.0.2.1`",
        "DIR/a.jsonc:3:13: the key `address` is missing",
        "DIR/a.jsonc:3:15: unknown key `adress`; did you mean `address`?",
        "DIR/a.jsonc:3:65: `slots` must be between 1 and 10000, found 0",
        "DIR/b.jsonc:2:53: `balance` must be one of stay, spread, found `even`",
        "DIR/b.jsonc:2:80: expected an object, found a number",
    ],
})]
#[case::a_value_set_differently_is_reported_with_both_locations(Case {
    files: &[
        File { name: "a.jsonc", text: r#"{ "services": { "lookup": { "address": "192.0.2.1:443" } } }"# },
        File { name: "b.jsonc", text: r#"{ "services": { "lookup": { "address": "192.0.2.2:443" } } }"# },
    ],
    findings: &["DIR/b.jsonc:1:40: set differently at DIR/a.jsonc:1:40; a later file replaces \
        values only with `\"override\": true`"],
})]
#[case::a_value_set_identically_is_allowed(Case {
    files: &[
        File { name: "a.jsonc", text: r#"{ "services": { "lookup": { "address": "192.0.2.1:443" } } }"# },
        File { name: "b.jsonc", text: r#"{ "services": { "lookup": { "address": "192.0.2.1:443" } } }"# },
    ],
    findings: &[],
})]
#[case::a_file_that_overrides_replaces_values(Case {
    files: &[
        File { name: "a.jsonc", text: r#"{ "services": { "lookup": { "address": "192.0.2.1:443" } } }"# },
        File { name: "b.jsonc", text: r#"{ "override": true, "services": { "lookup": { "address": "192.0.2.2:443" } } }"# },
    ],
    findings: &[],
})]
#[case::a_difference_after_an_override_refers_to_the_overriding_value(Case {
    files: &[
        File { name: "a.jsonc", text: r#"{ "services": { "lookup": { "address": "192.0.2.1:443" } } }"# },
        File { name: "b.jsonc", text: r#"{ "override": true, "services": { "lookup": { "address": "192.0.2.2:443" } } }"# },
        File { name: "c.jsonc", text: r#"{ "services": { "lookup": { "address": "192.0.2.1:443" } } }"# },
    ],
    findings: &["DIR/c.jsonc:1:40: set differently at DIR/b.jsonc:1:58; a later file replaces \
        values only with `\"override\": true`"],
})]
#[case::an_address_of_two_services_is_reported(Case {
    files: &[File { name: "a.jsonc", text: r#"{ "services": {
  "lookup": { "address": "192.0.2.1:443" },
  "tables": { "address": "192.0.2.1:443" } } }"# }],
    findings: &["DIR/a.jsonc:3:26: service `lookup` already has this address at DIR/a.jsonc:2:26"],
})]
#[case::a_duplicate_key_is_reported(Case {
    files: &[File { name: "a.jsonc", text: r#"{ "services": {
  "lookup": { "address": "192.0.2.1:443" },
  "lookup": { "address": "192.0.2.2:443" } } }"# }],
    findings: &["DIR/a.jsonc:3:3: duplicate key `lookup`; first defined at DIR/a.jsonc:2:3"],
})]
#[case::a_file_with_an_unknown_extension_is_reported(Case {
    files: &[
        File { name: "a.jsonc", text: r#"{ "services": {} }"# },
        File { name: "b.josnc", text: "{}" },
    ],
    findings: &["DIR/b.josnc: the name ends in neither .jsonc nor .json, so the file would be \
        ignored; rename it, or start its name with a dot"],
})]
#[case::a_syntax_error_is_reported_with_its_location(Case {
    files: &[
        File { name: "a.jsonc", text: "{\n  \"services\": {\n    \"lookup\" }\n}" },
        File { name: "b.jsonc", text: "{ \"services\": { \"lookup\": { \"slots\": 1 } } }" },
    ],
    findings: &[
        "DIR/a.jsonc:3:14: Expected colon after the string or word in object property",
        "DIR/b.jsonc:1:27: the key `address` is missing",
        "DIR/b.jsonc:1:29: unknown key `slots`; known keys: address, balance, requests, \
            backend_servers",
    ],
})]
#[case::a_weight_of_zero_is_reported(Case {
    files: &[File { name: "a.jsonc", text: r#"{ "services": { "lookup": { "address": "192.0.2.1:443",
  "backend_servers": { "lookup-1": { "weight_percent": 0, "state": "off" } } } } }"# }],
    findings: &[
        "DIR/a.jsonc:2:56: `weight_percent` must be between 1 and 1000, found 0",
        "DIR/a.jsonc:2:68: `state` must be one of join, drain, leave, found `off`",
    ],
})]
#[case::an_empty_folder_is_reported(Case {
    files: &[],
    findings: &["DIR: the folder contains no .jsonc or .json file"],
})]
fn findings_in_an_operator_folder(#[case] case: Case) {
    assert_eq!(findings(case.files), case.findings);
}

#[test]
fn later_files_replace_only_what_they_set() {
    let folder = tempfile::tempdir().expect("a folder");
    let write = |name: &str, text: &str| fs::write(folder.path().join(name), text);
    write(
        "a.jsonc",
        r#"{ "services": { "lookup": { "address": "192.0.2.1:443", "requests": { "slots": 7 } } } }"#,
    )
    .expect("a written file");
    write(
        "b.jsonc",
        r#"{ "override": true, "services": { "lookup": { "address": "192.0.2.9:443" } } }"#,
    )
    .expect("a written file");
    let loaded = OperatorFolder::load(folder.path()).expect("no findings");
    let service = &loaded.services[0];
    assert_eq!(
        service.address,
        "192.0.2.9:443".parse().expect("an address")
    );
    assert_eq!(service.requests.slots, 7);
}
