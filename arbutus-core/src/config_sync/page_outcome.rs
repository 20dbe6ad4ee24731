use super::ConfigPull;

/// Result of handling a page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PageOutcome {
    /// The page contained nothing new, or did not continue the pages received so far.
    Ignored,
    /// The sender's configuration is now in force.
    Adopted,
    /// More pages must be requested from the sender.
    Pull(ConfigPull),
}
