use crate::config::ConfigVersion;

/// A read of the platform's store; a node has at most one in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRead {
    /// Long poll: waits until the stored version is above this one or the wait times out.
    Watch(ConfigVersion),
    /// Plain read by a node with this version in force.
    Poll(ConfigVersion),
}
