/// Reason for which a task failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskError {
    /// The command line is invalid.
    Usage,
    /// A step of the task failed.
    Failed,
}

impl std::fmt::Display for TaskError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Usage => "invalid command line",
            Self::Failed => "a step of the task failed",
        })
    }
}

impl std::error::Error for TaskError {}
