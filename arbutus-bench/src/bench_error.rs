//! The error that ends a measurement.

/// Why a measurement did not come to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BenchError {
    /// The command line is not understood.
    Usage,
    /// The measurement could not be set up or written out.
    Failed,
}

impl std::fmt::Display for BenchError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Usage => "the command line is not understood",
            Self::Failed => "the measurement failed",
        })
    }
}

impl std::error::Error for BenchError {}
