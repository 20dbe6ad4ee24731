//! The error type of this crate.

/// The reason why a command of this crate failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LabError {
    /// The command line is invalid; the text states the reason.
    Usage(String),
    /// A socket could not be bound or used.
    Socket,
    /// A request to an admin port failed or timed out.
    Admin,
    /// A certificate or key could not be read or used.
    Tls,
    /// A process could not be started, signalled or waited for.
    Process,
    /// A file could not be read or written.
    File,
    /// A process did not become ready within its time limit.
    NotReady,
}

impl std::fmt::Display for LabError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Usage(text) => f.write_str(text),
            Self::Socket => f.write_str("a socket could not be bound or used"),
            Self::Admin => f.write_str("a request to an admin port failed"),
            Self::Tls => f.write_str("a certificate or key could not be read or used"),
            Self::Process => f.write_str("a process could not be started, signalled or waited for"),
            Self::File => f.write_str("a file could not be read or written"),
            Self::NotReady => f.write_str("a process did not become ready within its time limit"),
        }
    }
}

impl std::error::Error for LabError {}
