/// The steps of a key rotation, in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RotationStep {
    /// Adds a new key and authority, which are accepted but not used yet.
    Add,
    /// Makes the new key the current one and issues the certificates from the new authority.
    Use,
    /// Removes the old key and authority, which are no longer accepted.
    Drop,
}

impl RotationStep {
    /// Returns the step with the command line name `word`.
    #[must_use]
    pub fn parse(word: &str) -> Option<Self> {
        match word {
            "add" => Some(Self::Add),
            "use" => Some(Self::Use),
            "drop" => Some(Self::Drop),
            _ => None,
        }
    }
}
