/// The reason why a balancer cannot start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BalancerError {
    /// A data path address cannot be bound.
    DataPath,
    /// The control endpoint cannot be opened.
    Control,
    /// The admin port cannot be opened.
    Admin,
    /// A worker thread cannot be started.
    Worker,
}

impl std::fmt::Display for BalancerError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::DataPath => "a data path address cannot be bound",
            Self::Control => "the control endpoint cannot be opened",
            Self::Admin => "the admin port cannot be opened",
            Self::Worker => "a data path worker thread cannot be started",
        })
    }
}

impl std::error::Error for BalancerError {}
