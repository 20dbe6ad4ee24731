use std::{fmt, sync::Arc, time::Duration};

use crate::{backend::Behaviour, fabric::LinkFaults};

/// What a node of the deployment is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// One of the balancers.
    Balancer,
    /// One of the agents of the service under test.
    Agent,
}

/// One node of the deployment; nodes of a role are numbered from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Node {
    /// Its role.
    pub role: Role,
    /// Its number; at least 1.
    pub number: u32,
}

impl Node {
    /// The balancer with this number.
    #[must_use]
    pub const fn balancer(number: u32) -> Self {
        Self {
            role: Role::Balancer,
            number,
        }
    }

    /// The agent with this number.
    #[must_use]
    pub const fn agent(number: u32) -> Self {
        Self {
            role: Role::Agent,
            number,
        }
    }
}

impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.role {
            Role::Balancer => write!(f, "balancer-{}", self.number),
            Role::Agent => write!(f, "agent-{}", self.number),
        }
    }
}

/// How the store is made to misbehave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreBehaviour {
    /// It refuses every call for a time.
    Down(Duration),
    /// It leaves every call without an answer for a time.
    Hang(Duration),
    /// It answers each call late for a time.
    Slow {
        /// How late.
        delay: Duration,
        /// For how long.
        duration: Duration,
    },
    /// It leaves watches without an answer for a time.
    SilentWatch(Duration),
    /// It loses the answer to its next write, which takes effect.
    LoseAnswer,
}

/// What an event does.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Ends a process at once.
    Kill(Node),
    /// Asks a process to end.
    Stop(Node),
    /// Starts a process that does not run, perhaps a new one.
    Start(Node),
    /// Stops a process in its tracks for a time.
    Pause(Node, Duration),
    /// Drains the backend server of an agent by the operator's word.
    Drain(Node),
    /// Takes the drain back.
    Undrain(Node),
    /// Puts an agent of another service at a killed agent's address.
    Replace(Node),
    /// Makes the store misbehave.
    Store(StoreBehaviour),
    /// Makes the links between fabric and balancers misbehave for a time.
    Links(LinkFaults, Duration),
    /// Cuts the balancers of one failure domain off the fabric for a time.
    Cut(Arc<str>, Duration),
    /// Makes the backend server of an agent misbehave for a time.
    Backend(Node, Behaviour, Duration),
}
