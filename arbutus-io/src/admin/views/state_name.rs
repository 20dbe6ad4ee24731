use arbutus_core::roster::AgentState;

/// A state as the admin port shows it.
pub(super) const fn of(state: AgentState) -> &'static str {
    match state {
        AgentState::Ready => "ready",
        AgentState::Draining => "draining",
        AgentState::Suspect => "suspect",
        AgentState::Gone => "gone",
    }
}
