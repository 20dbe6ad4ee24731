//! Commits configuration changes to the platform's store.
//!
//! The configuration is stored as immutable shards, each under the hash of its content, and one
//! [`Index`] that lists the shards in force. A compare-and-swap of the index is the commit.
//! [`ApplyMachine`] decides what to read, what to write and which [`Outcome`] to report; it
//! performs no I/O itself.
//!
//! # Examples
//!
//! ```
//! use arbutus_core::{
//!     apply::{
//!         Action, ApplyMachine, Base, ChangeId, ChangeRecord, Event, Outcome, StoredConfig,
//!         SwapResult,
//!     },
//!     config::{ConfigVersion, Service, Snapshot},
//!     time::Timestamp,
//! };
//!
//! let service = Service::new("lookup", "192.0.2.1:443".parse().unwrap());
//! let desired = Snapshot::new(ConfigVersion::NONE, [service]);
//! let change = ChangeRecord::new(ChangeId::new([7; 16]), "operator", 0);
//! let mut apply = ApplyMachine::new(Base::default(), desired.services, change, 1);
//!
//! let now = Timestamp::ZERO;
//! assert!(matches!(apply.handle(Event::Started, now), Action::Read));
//! let action = apply.handle(Event::Read(Ok(StoredConfig::default())), now);
//! assert!(matches!(action, Action::WriteShards(_)));
//! let action = apply.handle(Event::ShardsWritten(Ok(())), now);
//! assert!(matches!(action, Action::SwapIndex { .. }));
//! let action = apply.handle(Event::Swapped(Ok(SwapResult::Done)), now);
//! let Action::Finish(Outcome::Accepted { version, .. }) = action else { unreachable!() };
//! assert_eq!(version, ConfigVersion::new(1));
//! ```

mod action;
mod apply_machine;
mod base;
mod change;
mod difference;
mod event;
mod index;
mod key_layout;
mod outcome;
mod plan;
mod retry_policy;
mod shard;
mod stored_config;

pub use action::Action;
pub use apply_machine::ApplyMachine;
pub use base::Base;
pub use change::{ChangeId, ChangeRecord};
pub use difference::{Difference, differences};
pub use event::{Event, StoreFailure, SwapResult};
pub use index::{DecodeError, Index, PastChange};
pub use key_layout::KeyLayout;
pub use outcome::Outcome;
pub use plan::{Plan, PlanError};
pub use retry_policy::RetryPolicy;
pub use shard::{Shard, ShardKey, ShardValue, StoredService};
pub use stored_config::{Revision, StoredConfig};

/// The services of one configuration, keyed by service tag.
pub type Services =
    indexmap::IndexMap<crate::ident::ServiceTag, std::sync::Arc<crate::config::Service>>;
