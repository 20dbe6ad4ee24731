//! What can go wrong in the laboratory itself.

/// Why a command of the laboratory could not do its work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LabError {
    /// The command line cannot be understood.
    Usage(String),
    /// A socket could not be bound or used.
    Socket,
    /// A request to an admin port failed.
    Admin,
    /// A certificate or key could not be read or used.
    Tls,
    /// A process could not be started, signalled or waited for.
    Process,
    /// A file could not be read or written.
    File,
    /// A process did not become ready in time.
    NotReady,
}

impl std::fmt::Display for LabError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Usage(text) => f.write_str(text),
            Self::Socket => f.write_str("cannot use a socket"),
            Self::Admin => f.write_str("an admin port did not answer as expected"),
            Self::Tls => f.write_str("cannot use a certificate or key"),
            Self::Process => f.write_str("cannot control a process"),
            Self::File => f.write_str("cannot use a file"),
            Self::NotReady => f.write_str("a process did not become ready in time"),
        }
    }
}

impl std::error::Error for LabError {}
