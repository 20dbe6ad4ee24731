//! The running nodes, as their admin ports tell.

mod admin_client;
mod node;
mod survey;

pub(crate) use admin_client::AdminClient;
pub(crate) use node::{Node, NodeVersion, Role};
pub(crate) use survey::{highest_version, nodes, roster, versions, wait_for_version};
