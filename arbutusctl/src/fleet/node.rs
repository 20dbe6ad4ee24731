use std::{net::SocketAddr, sync::Arc};

use serde::Serialize;

/// What a node does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Role {
    /// It forwards packets.
    Balancer,
    /// It stands beside a backend server.
    Agent,
}

impl Role {
    /// The role's name.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Balancer => "balancer",
            Self::Agent => "agent",
        }
    }
}

/// A node of the roster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Node {
    /// Its name.
    pub(crate) name: Arc<str>,
    /// What it does.
    pub(crate) role: Role,
    /// Its admin port.
    pub(crate) admin: SocketAddr,
    /// Its failure domain.
    pub(crate) failure_domain: Arc<str>,
    /// What the roster says of it.
    pub(crate) state: Arc<str>,
}

/// A node with the version it has in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct NodeVersion {
    /// The node.
    #[serde(flatten)]
    pub(crate) node: Node,
    /// The version; `None` where the node did not answer.
    pub(crate) version: Option<u64>,
}

impl NodeVersion {
    /// Whether nothing is to be waited for: the node has `version` or a later one in force, or
    /// neither the roster's keepers nor the operator hear it.
    pub(crate) fn is_settled(&self, version: u64) -> bool {
        self.has(version) || self.version.is_none() && &*self.node.state == "suspect"
    }

    /// Whether the node has `version` or a later one in force.
    pub(crate) fn has(&self, version: u64) -> bool {
        self.version.is_some_and(|it| it >= version)
    }
}
