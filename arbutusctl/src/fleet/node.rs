use std::{net::SocketAddr, sync::Arc};

use serde::Serialize;

/// The role of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Role {
    /// A balancer, which forwards packets.
    Balancer,
    /// An agent, which runs next to a backend server.
    Agent,
}

impl Role {
    /// Returns the role's name.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Balancer => "balancer",
            Self::Agent => "agent",
        }
    }
}

/// A node in the roster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Node {
    /// The node's name.
    pub(crate) name: Arc<str>,
    /// The node's role.
    pub(crate) role: Role,
    /// The address of the node's admin port.
    pub(crate) admin: SocketAddr,
    /// The node's failure domain.
    pub(crate) failure_domain: Arc<str>,
    /// The node's state in the roster.
    pub(crate) state: Arc<str>,
}

/// A node with the configuration version that it has in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct NodeVersion {
    /// The node.
    #[serde(flatten)]
    pub(crate) node: Node,
    /// The version; `None` if the node did not respond.
    pub(crate) version: Option<u64>,
}

impl NodeVersion {
    /// Returns whether there is no need to wait for the node to have `version` in force.
    ///
    /// This is the case if the node has `version` or a later one in force, or if the node is
    /// suspect in the roster and does not respond to the operator either.
    pub(crate) fn is_settled(&self, version: u64) -> bool {
        self.is_at_least(version) || self.version.is_none() && &*self.node.state == "suspect"
    }

    /// Returns whether the node has `version` or a later one in force.
    pub(crate) fn is_at_least(&self, version: u64) -> bool {
        self.version.is_some_and(|current| current >= version)
    }
}
