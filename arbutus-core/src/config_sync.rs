//! Replication of the configuration between nodes.
//!
//! A [`ConfigReplica`] holds the configuration in force with a version for each service, answers
//! pulls with pages of the services that changed, and applies pages from other nodes. A
//! [`StoreSchedule`] decides when a node reads the platform's store.

mod config_digest;
mod config_page;
mod config_pages;
mod config_replica;
mod page_outcome;
mod staging;
mod store_read;
mod store_schedule;
mod versioned_service;

pub use config_page::{ConfigPage, ConfigPull};
pub use config_replica::ConfigReplica;
pub use page_outcome::PageOutcome;
pub use store_read::StoreRead;
pub use store_schedule::StoreSchedule;
pub use versioned_service::VersionedService;
