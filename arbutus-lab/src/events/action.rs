use std::{fmt, sync::Arc, time::Duration};

use crate::{backend::Behaviour, fabric::LinkFaults};

/// The role of a node in the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// A balancer.
    Balancer,
    /// An agent of the service under test.
    Agent,
}

/// A node of the deployment; nodes of a role are numbered from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Node {
    /// The role of the node.
    pub role: Role,
    /// The number of the node within its role; at least 1.
    pub number: u32,
}

impl Node {
    /// Returns the balancer with this number.
    #[must_use]
    pub const fn balancer(number: u32) -> Self {
        Self {
            role: Role::Balancer,
            number,
        }
    }

    /// Returns the agent with this number.
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

/// A misbehaviour of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreBehaviour {
    /// The store rejects every call for this duration.
    Down(Duration),
    /// The store does not answer any call for this duration.
    Hang(Duration),
    /// The store answers each call with a delay.
    Slow {
        /// The added delay of each call.
        delay: Duration,
        /// How long calls are delayed.
        duration: Duration,
    },
    /// The store does not answer watches for this duration.
    SilentWatch(Duration),
    /// The store applies its next write but does not answer it.
    LoseAnswer,
}

/// The action of an event.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Kills a process without warning.
    Kill(Node),
    /// Asks a process to stop gracefully.
    Stop(Node),
    /// Starts a process that is not running, which may be a new node.
    Start(Node),
    /// Suspends a process for this duration.
    Pause(Node, Duration),
    /// Drains the backend server of an agent on behalf of the operator.
    Drain(Node),
    /// Cancels the drain of an agent's backend server.
    Undrain(Node),
    /// Starts an agent of another service at the address of a killed agent.
    Replace(Node),
    /// Makes the store misbehave.
    Store(StoreBehaviour),
    /// Makes the links between the fabric and the balancers misbehave for this duration.
    Links(LinkFaults, Duration),
    /// Disconnects the balancers of one failure domain from the fabric for this duration.
    Cut(Arc<str>, Duration),
    /// Makes the backend server of an agent misbehave for this duration.
    Backend(Node, Behaviour, Duration),
}
