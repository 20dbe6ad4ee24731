/// The reason why an agent cannot start or serve callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentError {
    /// The service's certificate or key cannot be used.
    ServiceTls,
    /// The tunnel address cannot be bound, or the QUIC endpoint cannot be opened on it.
    Tunnel,
    /// The control endpoint cannot be opened.
    Control,
    /// The admin port cannot be opened.
    Admin,
}

impl std::fmt::Display for AgentError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::ServiceTls => "the service's certificate or key cannot be used",
            Self::Tunnel => "the tunnel endpoint cannot be opened",
            Self::Control => "the control endpoint cannot be opened",
            Self::Admin => "the admin port cannot be opened",
        })
    }
}

impl std::error::Error for AgentError {}
