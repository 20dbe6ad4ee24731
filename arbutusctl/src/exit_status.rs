use std::process::ExitCode;

/// The exit status of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done,
    /// The files have findings, or the change was rejected because of its contents.
    Refused,
    /// The command line is invalid.
    Usage,
    /// Another change was applied first; for `diff`, there are differences.
    Differs,
    /// The change is not accepted and will not be.
    NotAccepted,
    /// The change may be accepted, now or later.
    Unknown,
    /// The change is accepted, and not every node has it in force yet.
    NotEverywhere,
    /// The store, a node or a file could not be reached.
    Unreachable,
}

impl ExitStatus {
    /// Returns the process's exit code.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Differs => 3,
            Self::NotAccepted => 4,
            Self::Unknown => 5,
            Self::NotEverywhere => 6,
            Self::Unreachable => 7,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.code())
    }
}
