//! The error type of the measurements.

/// Reason for which a measurement did not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BenchError {
    /// The command line is invalid.
    Usage,
    /// The measurement could not be set up, or its figures could not be written.
    Failed,
}

impl std::fmt::Display for BenchError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Usage => "invalid command line",
            Self::Failed => "the measurement failed",
        })
    }
}

impl std::error::Error for BenchError {}
