/// The reason why the control endpoint cannot be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlError {
    /// The certificates or keys cannot be used.
    Tls,
    /// The address cannot be bound.
    Bind,
}

impl std::fmt::Display for ControlError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Tls => "the control certificates or keys cannot be used",
            Self::Bind => "the control address cannot be bound",
        })
    }
}

impl std::error::Error for ControlError {}
