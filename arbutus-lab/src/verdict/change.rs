use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What was done to the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// A process was started.
    Start,
    /// A process was asked to end.
    Stop,
    /// The operator drained a backend server.
    Drain,
    /// The operator took a drain back.
    Undrain,
    /// The operator applied a configuration.
    Apply,
    /// A process was killed.
    Kill,
    /// A process was paused for a time.
    Pause,
    /// A backend server misbehaved for a time.
    Misbehave,
    /// Links lost, delayed, reordered or duplicated datagrams for a time.
    LinkFaults,
    /// A failure domain was cut off for a time.
    Cut,
    /// The store misbehaved for a time.
    StoreFault,
}

impl ChangeKind {
    /// Whether an operator would do it on an ordinary day.
    #[must_use]
    pub const fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Start | Self::Stop | Self::Drain | Self::Undrain | Self::Apply
        )
    }

    /// Whether a backend server gets no new work from then on.
    #[must_use]
    pub const fn is_leaving(self) -> bool {
        matches!(self, Self::Stop | Self::Drain)
    }
}

/// What a change was done to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// An agent, or the backend server beside it, by its name.
    Agent(Arc<str>),
    /// A balancer, by its name.
    Balancer(Arc<str>),
    /// All links between fabric and balancers.
    Links,
    /// The platform's store, or what it holds.
    Store,
}

/// One change of the deployment; times are microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// When it was made.
    pub at_us: u64,
    /// When it ended by itself; absent where it does not.
    pub until_us: Option<u64>,
    /// What was done.
    pub kind: ChangeKind,
    /// What it was done to.
    pub target: Target,
}

impl Change {
    /// A change that lasts.
    #[must_use]
    pub const fn new(at_us: u64, kind: ChangeKind, target: Target) -> Self {
        Self {
            at_us,
            until_us: None,
            kind,
            target,
        }
    }

    /// Sets when it ends by itself.
    #[must_use]
    pub const fn until_us(mut self, until_us: u64) -> Self {
        self.until_us = Some(until_us);
        self
    }

    /// Whether it was done to the agent called `name`.
    #[must_use]
    pub fn is_on_agent(&self, name: &str) -> bool {
        matches!(&self.target, Target::Agent(agent) if **agent == *name)
    }
}
