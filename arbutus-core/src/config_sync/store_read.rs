use crate::config::ConfigVersion;

/// One read of the platform's store; the node waits for its answer before it asks again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRead {
    /// Waits at the store until the version is above this one, or the wait ends.
    Watch(ConfigVersion),
    /// Answers at once.
    Poll(ConfigVersion),
}
