use std::process::ExitCode;

/// How the program ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// What was asked for is done.
    Done,
    /// The files have findings, or the change was refused for what it holds.
    Refused,
    /// The command line is wrong.
    Usage,
    /// Another change came first; for `diff`, there are differences.
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
    /// The process's exit code.
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
