use crate::ExitStatus;

/// The error of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CtlError {
    /// The command line is invalid.
    Usage,
    /// The files have findings.
    Findings,
    /// A file could not be read or written.
    File,
    /// The key set was not created or changed.
    Keys,
    /// The store could not be queried.
    Store,
    /// No admin port could be queried.
    Admin,
}

impl CtlError {
    /// Returns the exit status for the error.
    #[must_use]
    pub const fn status(self) -> ExitStatus {
        match self {
            Self::Usage => ExitStatus::Usage,
            Self::Findings | Self::Keys => ExitStatus::Refused,
            Self::File | Self::Store | Self::Admin => ExitStatus::Unreachable,
        }
    }
}

impl std::fmt::Display for CtlError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Usage => "the command line is invalid; see --help",
            Self::Findings => "the files have findings",
            Self::File => "a file could not be read or written",
            Self::Keys => "the key set was not created or changed",
            Self::Store => "the store could not be queried",
            Self::Admin => "no admin port could be queried",
        })
    }
}

impl std::error::Error for CtlError {}
