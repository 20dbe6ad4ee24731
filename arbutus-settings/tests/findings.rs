//! What is found in the operator's files, and where.

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
    /// The findings, with `DIR/` for the folder.
    findings: &'static [&'static str],
}

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
#[case::a_whole_folder_has_none(Case {
    files: &[
        File { name: "10-lookup.jsonc", text: r#"{
  // Clasificar's look-up.
  "services": { "lookup": { "address": "192.0.2.1:443", "balance": "spread", }, },
}"# },
        File { name: "20-more.jsonc", text: r#"{ "services": { "lookup": {
  "backend_servers": { "lookup-1": { "state": "drain", "weight_percent": 50 } } } } }"# },
    ],
    findings: &[],
})]
#[case::all_findings_of_all_files_are_told_together(Case {
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
        "DIR/a.jsonc:3:65: `slots` must lie between 1 and 10000, found 0",
        "DIR/b.jsonc:2:53: `balance` must be one of stay, spread, found `even`",
        "DIR/b.jsonc:2:80: expected an object, found a number",
    ],
})]
#[case::a_value_set_differently_names_both_locations(Case {
    files: &[
        File { name: "a.jsonc", text: r#"{ "services": { "lookup": { "address": "192.0.2.1:443" } } }"# },
        File { name: "b.jsonc", text: r#"{ "services": { "lookup": { "address": "192.0.2.2:443" } } }"# },
    ],
    findings: &["DIR/b.jsonc:1:40: set differently at DIR/a.jsonc:1:40; a later file replaces \
        values only with `\"override\": true`"],
})]
#[case::a_value_set_alike_is_fine(Case {
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
#[case::after_an_override_a_difference_names_the_value_in_force(Case {
    files: &[
        File { name: "a.jsonc", text: r#"{ "services": { "lookup": { "address": "192.0.2.1:443" } } }"# },
        File { name: "b.jsonc", text: r#"{ "override": true, "services": { "lookup": { "address": "192.0.2.2:443" } } }"# },
        File { name: "c.jsonc", text: r#"{ "services": { "lookup": { "address": "192.0.2.1:443" } } }"# },
    ],
    findings: &["DIR/c.jsonc:1:40: set differently at DIR/b.jsonc:1:58; a later file replaces \
        values only with `\"override\": true`"],
})]
#[case::one_address_for_two_services_is_found(Case {
    files: &[File { name: "a.jsonc", text: r#"{ "services": {
  "lookup": { "address": "192.0.2.1:443" },
  "tables": { "address": "192.0.2.1:443" } } }"# }],
    findings: &["DIR/a.jsonc:3:26: service `lookup` has this address too, at DIR/a.jsonc:2:26"],
})]
#[case::a_key_that_stands_twice_is_found(Case {
    files: &[File { name: "a.jsonc", text: r#"{ "services": {
  "lookup": { "address": "192.0.2.1:443" },
  "lookup": { "address": "192.0.2.2:443" } } }"# }],
    findings: &["DIR/a.jsonc:3:3: the key `lookup` stands twice; first at DIR/a.jsonc:2:3"],
})]
#[case::a_file_that_would_be_left_out_is_found(Case {
    files: &[
        File { name: "a.jsonc", text: r#"{ "services": {} }"# },
        File { name: "b.josnc", text: "{}" },
    ],
    findings: &["DIR/b.josnc: the name ends in neither .jsonc nor .json, so the file would be \
        left out; rename it, or begin its name with a dot"],
})]
#[case::text_that_does_not_parse_is_found_with_its_location(Case {
    files: &[
        File { name: "a.jsonc", text: "{\n  \"services\": {\n    \"lookup\" }\n}" },
        File { name: "b.jsonc", text: "{ \"services\": { \"lookup\": { \"slots\": 1 } } }" },
    ],
    findings: &[
        "DIR/a.jsonc:3:14: Expected colon after the string or word in object property",
        "DIR/b.jsonc:1:27: the key `address` is missing",
        "DIR/b.jsonc:1:29: unknown key `slots`; known here: address, balance, requests, \
            backend_servers",
    ],
})]
#[case::a_weight_of_zero_is_found(Case {
    files: &[File { name: "a.jsonc", text: r#"{ "services": { "lookup": { "address": "192.0.2.1:443",
  "backend_servers": { "lookup-1": { "weight_percent": 0, "state": "off" } } } } }"# }],
    findings: &[
        "DIR/a.jsonc:2:56: `weight_percent` must lie between 1 and 1000, found 0",
        "DIR/a.jsonc:2:68: `state` must be one of join, drain, leave, found `off`",
    ],
})]
#[case::an_empty_folder_is_found(Case {
    files: &[],
    findings: &["DIR: the folder holds no .jsonc or .json file"],
})]
fn the_folder_has_these_findings(#[case] case: Case) {
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
