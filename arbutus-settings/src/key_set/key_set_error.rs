/// Why a set of keys was not made or changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeySetError {
    /// The folder holds a set already.
    Exists,
    /// A file could not be read or written.
    File,
    /// A file holds something else than it should.
    Malformed,
    /// A certificate could not be made.
    Certificate,
    /// A service's name cannot stand in a certificate.
    ServiceName,
    /// The step does not follow the state of the set.
    OutOfOrder,
}

impl std::fmt::Display for KeySetError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Exists => "the folder holds a set of keys already",
            Self::File => "a file of the set could not be read or written",
            Self::Malformed => "a file of the set holds something else than it should",
            Self::Certificate => "a certificate could not be made",
            Self::ServiceName => "the service's name cannot stand in a certificate",
            Self::OutOfOrder => "the step does not follow the state of the set",
        })
    }
}

impl std::error::Error for KeySetError {}
