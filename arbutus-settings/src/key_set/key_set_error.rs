/// The error of creating or changing a key set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeySetError {
    /// The folder already contains a key set.
    Exists,
    /// A file could not be read or written.
    File,
    /// A file of the key set is malformed.
    Malformed,
    /// A certificate or key could not be generated.
    Certificate,
    /// A service name is not valid in a certificate.
    ServiceName,
    /// The rotation step is out of order.
    OutOfOrder,
}

impl std::fmt::Display for KeySetError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Exists => "the folder already contains a key set",
            Self::File => "a file of the key set could not be read or written",
            Self::Malformed => "a file of the key set is malformed",
            Self::Certificate => "a certificate or key could not be generated",
            Self::ServiceName => "the service name is not valid in a certificate",
            Self::OutOfOrder => "the rotation step is out of order",
        })
    }
}

impl std::error::Error for KeySetError {}
