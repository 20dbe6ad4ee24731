//! Identifiers of services and of processes.

mod incarnation;
mod service_tag;

pub use incarnation::Incarnation;
pub use service_tag::ServiceTag;
