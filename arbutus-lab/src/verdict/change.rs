use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Kind of change that was made to the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// A process was started.
    Start,
    /// A process was asked to shut down.
    Stop,
    /// The operator drained a backend server.
    Drain,
    /// The operator reverted a drain.
    Undrain,
    /// The operator applied a configuration.
    Apply,
    /// A process was killed.
    Kill,
    /// A process was paused for a limited time.
    Pause,
    /// A backend server was made to misbehave for a limited time.
    Misbehave,
    /// Links lost, delayed, reordered or duplicated datagrams for a limited time.
    LinkFaults,
    /// A failure domain was cut off from the network for a limited time.
    Cut,
    /// A fault was injected into the store.
    StoreFault,
}

impl ChangeKind {
    /// Returns whether the change belongs to regular operation, as opposed to a fault.
    #[must_use]
    pub const fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Start | Self::Stop | Self::Drain | Self::Undrain | Self::Apply
        )
    }

    /// Returns whether the backend server receives no new work after the change.
    #[must_use]
    pub const fn is_leaving(self) -> bool {
        matches!(self, Self::Stop | Self::Drain)
    }
}

/// Part of the deployment that a change affects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// An agent or the backend server beside it, by their common name.
    Agent(Arc<str>),
    /// A balancer, by its name.
    Balancer(Arc<str>),
    /// All links between the fabric and the balancers.
    Links,
    /// The platform's store or its contents.
    Store,
}

/// A change of the deployment, with times in microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Time at which the change was made.
    pub at_us: u64,
    /// Time at which a temporary change ends; `None` if the change is lasting.
    pub until_us: Option<u64>,
    /// Kind of the change.
    pub kind: ChangeKind,
    /// Part of the deployment that was changed.
    pub target: Target,
}

impl Change {
    /// Creates a lasting change.
    #[must_use]
    pub const fn new(at_us: u64, kind: ChangeKind, target: Target) -> Self {
        Self {
            at_us,
            until_us: None,
            kind,
            target,
        }
    }

    /// Sets the time at which the change ends.
    #[must_use]
    pub const fn until_us(mut self, until_us: u64) -> Self {
        self.until_us = Some(until_us);
        self
    }

    /// Returns whether the change affects the agent called `name`.
    #[must_use]
    pub fn is_on_agent(&self, name: &str) -> bool {
        matches!(&self.target, Target::Agent(agent) if **agent == *name)
    }
}
