/// Why an agent cannot start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentError {
    /// The service's certificate cannot be used.
    ServiceTls,
    /// The tunnel address cannot be used.
    Tunnel,
    /// The control endpoint cannot be opened.
    Control,
    /// The admin port cannot be opened.
    Admin,
}

impl std::fmt::Display for AgentError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::ServiceTls => "the service's certificate cannot be used",
            Self::Tunnel => "the tunnel address cannot be used",
            Self::Control => "the control endpoint cannot be opened",
            Self::Admin => "the admin port cannot be opened",
        })
    }
}

impl std::error::Error for AgentError {}
