use super::ConfigPull;

/// What became of a page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PageOutcome {
    /// It had nothing new.
    Ignored,
    /// The configuration it ends in is in force.
    Adopted,
    /// More has to be asked of its sender.
    Pull(ConfigPull),
}
