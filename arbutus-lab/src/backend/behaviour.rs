use serde::{Deserialize, Serialize};

/// The behaviour of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Behaviour {
    /// Requests run and are answered correctly.
    #[default]
    Normal,
    /// Requests run four times as long.
    Slow,
    /// Requests run ten times as long, as after a start with empty caches.
    Cold,
    /// New requests are rejected without being run, and the response reports them as not run.
    Shed,
    /// Answers are sent only after the request's deadline.
    Late,
    /// Response bodies end before their announced content length.
    Short,
    /// Each answer is followed on its connection by a second one that belongs to no request.
    Crossed,
    /// Requests run as slowly as with `Slow`, while the health endpoint reports the server as ready
    /// and the load endpoint reports it as idle.
    Lying,
    /// The health endpoint reports that the server is draining, and new requests are rejected.
    Draining,
}

/// A command that changes the behaviour of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BehaviourCommand {
    /// The new behaviour.
    pub behaviour: Behaviour,
    /// How long the behaviour lasts, in milliseconds; until the next command if absent.
    pub for_ms: Option<u64>,
}
