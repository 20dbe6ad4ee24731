/// A step of a rotation, in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RotationStep {
    /// A new key and authority are accepted and not used yet.
    Add,
    /// New things use the new key; certificates are issued by the new authority.
    Use,
    /// The old key and authority are no longer accepted.
    Drop,
}

impl RotationStep {
    /// The step called `word`.
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
