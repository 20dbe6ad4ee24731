//! Key sets: folders of secrets and certificates of a deployment.
//!
//! The operator creates and rotates a key set, and copies its files to the processes:
//!
//! | file | goes to | contents |
//! |---|---|---|
//! | `keys.jsonc`, `system-N.key` | every balancer and agent | the system's secret keys |
//! | `ca.pem` | every balancer, agent and caller | certificates of the accepted authorities |
//! | `control.pem`, `control.key.pem` | every balancer and agent | control certificate |
//! | `service-NAME.pem`, `service-NAME.key.pem` | agents of the service | certificate for callers |
//! | `ca.key.pem`, `ca-next.pem`, `ca-next.key.pem` | nowhere | authority keys, next authority |
//!
//! A rotation has three steps (see [`RotationStep`]). Each step is rolled out to every process
//! before the next one, so that no process ever receives a key that it does not accept.
//!
//! # Examples
//!
//! ```
//! use arbutus_settings::{key_set::KeySet, keys, tls};
//!
//! let folder = tempfile::tempdir().unwrap();
//! let folder = folder.path().join("keys");
//! KeySet::create(&folder, &["lookup"], 1_800_000_000).unwrap();
//!
//! let authorities = tls::load_authorities(&folder.join("ca.pem")).unwrap();
//! let ring = keys::load_set(&folder.join("keys.jsonc")).unwrap();
//! assert_eq!((authorities.len(), ring.current_number()), (1, 0));
//! ```

mod authority;
mod files;
mod key_set_error;
mod rotation_step;
mod set;

pub use key_set_error::KeySetError;
pub use rotation_step::RotationStep;
pub use set::{CONTROL_DNS_NAME, KeySet, service_dns_name};
