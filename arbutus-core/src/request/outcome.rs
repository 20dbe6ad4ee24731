/// What became of a request, as its caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The backend server answered it.
    Ran,
    /// It did not run and will not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// The value in the `arbutus-outcome` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Reads a value of the `arbutus-outcome` header.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "ran" => Some(Self::Ran),
            "not-run" => Some(Self::NotRun),
            "unknown" => Some(Self::Unknown),
            _ => None,
        }
    }
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}
