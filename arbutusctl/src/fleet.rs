//! The state of the running nodes, as reported by their admin ports.

mod admin_client;
mod node;
mod survey;

pub(crate) use admin_client::AdminClient;
pub(crate) use node::{Node, NodeVersion, Role};
pub(crate) use survey::{highest_version, nodes, roster, versions, wait_for_version};
