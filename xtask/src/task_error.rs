/// Why a task did not end well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskError {
    /// The command line is not understood.
    Usage,
    /// A step of the task failed.
    Failed,
}

impl std::fmt::Display for TaskError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Usage => "the command line is not understood",
            Self::Failed => "a step of the task failed",
        })
    }
}

impl std::error::Error for TaskError {}
