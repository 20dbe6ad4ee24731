//! Reads files of random and mutated text: no file causes a panic, and each finding names its file.

use std::fs;

use arbutus_settings::{findings::Findings, keys, operator::OperatorFolder};
use proptest::{prelude::*, test_runner::RngSeed};

/// A valid file that the mutation test starts from.
const VALID_FILE: &str = r#"{ "services": { "lookup": { "address": "192.0.2.1:443", "balance": "stay",
  "requests": { "slots": 5, "connections": 2000, "queue": 20, "deadline_ms": 10000,
    "retry_percent": 10, "ramp_ms": 5000, "binding_ms": 300000, "repeatable_paths": ["/tree"] },
  "backend_servers": { "lookup-1": { "state": "drain", "weight_percent": 50 } } } } }"#;

/// Loads a folder of `files` and checks that every finding names an existing file.
fn load(files: &[Vec<u8>]) -> Result<(), TestCaseError> {
    let folder = tempfile::tempdir().expect("a folder");
    for (number, bytes) in files.iter().enumerate() {
        let name = format!("{number}.jsonc");
        fs::write(folder.path().join(name), bytes).expect("a written file");
    }
    let Err(report) = OperatorFolder::load(folder.path()) else {
        return Ok(());
    };
    let findings = report.downcast_ref::<Findings>().expect("findings");
    prop_assert!(!findings.is_empty());
    for finding in findings.iter() {
        let file = std::path::Path::new(&*finding.location.file);
        prop_assert!(file.exists(), "{finding}");
    }
    Ok(())
}

fn seeded(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded(256))]

    #[test]
    fn random_bytes_do_not_panic(files in prop::collection::vec(any::<Vec<u8>>(), 1..3)) {
        load(&files)?;
    }

    #[test]
    fn random_json_does_not_panic(text in r#"[\{\}\[\]",:0-9a-z /\*\n]{0,200}"#) {
        load(&[text.into_bytes()])?;
    }

    #[test]
    fn mutated_files_do_not_panic(
        at in 0..VALID_FILE.len(),
        length in 0..40_usize,
        insert in r#"[\{\}\[\]",:0-9a-z\-]{0,8}"#,
    ) {
        let end = (at + length).min(VALID_FILE.len());
        let mutated = [&VALID_FILE[..at], &insert, &VALID_FILE[end..]].concat();
        load(&[VALID_FILE.into(), mutated.into_bytes()])?;
    }

    #[test]
    fn a_secret_is_exactly_64_hexadecimal_digits(text in r"[0-9a-fA-F+ ]{62,66}") {
        let trimmed = text.trim();
        let valid = trimmed.len() == 64 && trimmed.bytes().all(|it| it.is_ascii_hexdigit());
        prop_assert_eq!(keys::parse_secret(&text).is_some(), valid);
    }
}

#[test]
fn deep_nesting_is_a_finding() {
    let folder = tempfile::tempdir().expect("a folder");
    fs::write(folder.path().join("a.jsonc"), "[".repeat(100_000)).expect("a written file");
    assert!(OperatorFolder::load(folder.path()).is_err());
}
