//! The operator's configuration, as stored in the platform's store and held by every node.

mod backend_override;
mod balance_mode;
mod config_version;
mod request_policy;
mod service;
mod snapshot;

pub use backend_override::{BackendOverride, DesiredState};
pub use balance_mode::BalanceMode;
pub use config_version::ConfigVersion;
pub use request_policy::RequestPolicy;
pub use service::Service;
pub use snapshot::Snapshot;
