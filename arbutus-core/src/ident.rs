//! Identities of services, agents and balancers.

mod incarnation;
mod service_tag;

pub use incarnation::Incarnation;
pub use service_tag::ServiceTag;
