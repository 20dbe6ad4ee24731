use crate::ExitStatus;

/// Why a command ended without its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CtlError {
    /// The command line is wrong.
    Usage,
    /// The files have findings.
    Findings,
    /// A file could not be read or written.
    File,
    /// The set of keys was not made or changed.
    Keys,
    /// The store could not be asked.
    Store,
    /// No node's admin port could be asked.
    Admin,
}

impl CtlError {
    /// How the program ends.
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
            Self::Usage => "the command line is wrong; --help tells how it is used",
            Self::Findings => "the files have findings",
            Self::File => "a file could not be read or written",
            Self::Keys => "the set of keys was not changed",
            Self::Store => "the store could not be asked",
            Self::Admin => "no admin port could be asked",
        })
    }
}

impl std::error::Error for CtlError {}
