//! The settings of the daemons, the operator's files, and key sets.
//!
//! All files are JSON with comments. A file is checked completely: every finding carries its file,
//! line and column, and all findings are reported together.
//!
//! # Examples
//!
//! ```
//! use arbutus_settings::{document::Document, findings::Findings, scalar};
//!
//! let mut findings = Findings::new();
//! let text = "{\n  // above the maximum\n  \"timeout_ms\": 90000,\n  \"timout\": 1\n}";
//! let document = Document::parse("example.jsonc", text, &mut findings).unwrap();
//! let mut reader = document.root().reader(&mut findings).unwrap();
//! reader.required("timeout_ms", scalar::integer(1..=60_000));
//! reader.finish();
//!
//! assert_eq!(
//!     findings.to_string(),
//!     "example.jsonc:3:17: `timeout_ms` must be between 1 and 60000, found 90000\n\
//!      example.jsonc:4:3: unknown key `timout`; did you mean `timeout_ms`?\n"
//! );
//! ```

pub mod agent;
pub mod balancer;
mod describe;
pub mod document;
mod file;
pub mod findings;
pub mod key_set;
pub mod keys;
pub mod operator;
pub mod scalar;
mod secret;
mod settings_error;
pub mod store;
pub mod tls;

pub use describe::{describe, findings};
pub use file::load;
pub use settings_error::SettingsError;
