use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ident::ServiceTag;

/// A service to which a route sends new flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service's name.
    pub name: Arc<str>,
    /// The service's number on the wire.
    pub tag: ServiceTag,
    /// The target's share of the route's new flows, relative to the other targets.
    pub weight: u32,
}

impl RouteTarget {
    /// Creates a target of weight `weight`.
    #[must_use]
    pub fn new(name: &str, weight: u32) -> Self {
        Self {
            name: Arc::from(name),
            tag: ServiceTag::of_name(name),
            weight,
        }
    }
}
