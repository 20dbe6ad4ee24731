use arbutus_core::roster::AgentState;

/// Returns the name of a state in the admin port's responses.
pub(super) const fn of(state: AgentState) -> &'static str {
    match state {
        AgentState::Ready => "ready",
        AgentState::Draining => "draining",
        AgentState::Suspect => "suspect",
        AgentState::Gone => "gone",
    }
}
