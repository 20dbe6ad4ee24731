use serde::{Deserialize, Serialize};

/// How a backend server stands to its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Behaviour {
    /// As it should.
    #[default]
    Normal,
    /// Runs take four times as long.
    Slow,
    /// Runs take ten times as long, as after a start with empty caches.
    Cold,
    /// New requests are refused without a run, and so told.
    Shed,
    /// Answers come only after the request's deadline.
    Late,
    /// Answers end before their announced length.
    Short,
    /// A second answer, to nobody's request, follows each answer on its connection.
    Crossed,
    /// Runs go as if slow, while the health and load endpoints say all is well and idle.
    Lying,
    /// It leaves by its own word: the health endpoint says so, new requests are refused.
    Draining,
}

/// What a backend server can be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BehaviourCommand {
    /// How it is to behave.
    pub behaviour: Behaviour,
    /// For how long, in milliseconds; for good where absent.
    pub for_ms: Option<u64>,
}
