//! What `apply` tells of its end.

use std::time::Duration;

use arbutus_core::{apply::Outcome, config::ConfigVersion};
use serde_json::{Value, json};

use super::diff::{lines, print_all};
use crate::{ExitStatus, fleet::NodeVersion, output};

/// The end of a change.
#[derive(Debug)]
pub(super) struct ApplyReport {
    outcome: Outcome,
    /// What the nodes told, where a version is in force.
    pub(super) nodes: Option<NodesReport>,
}

/// Where a version is in force.
#[derive(Debug)]
pub(super) enum NodesReport {
    /// No admin port is known.
    NotAsked,
    /// No admin port answered.
    Unreachable(String),
    /// The nodes were asked.
    Asked {
        version: u64,
        nodes: Vec<NodeVersion>,
        took: Duration,
    },
}

impl ApplyReport {
    pub(super) const fn new(outcome: Outcome) -> Self {
        Self {
            outcome,
            nodes: None,
        }
    }

    /// The version that nodes are to have, where there is one.
    pub(super) fn version_in_force(&self) -> Option<u64> {
        match &self.outcome {
            Outcome::Accepted { version, .. } | Outcome::AlreadyInForce { version } => {
                Some(version.get())
            }
            _ => None,
        }
    }

    /// The outcome in one line.
    pub(super) fn headline(&self) -> String {
        match &self.outcome {
            Outcome::Accepted {
                version,
                superseded_by: Some(later),
                ..
            } => format!("accepted as version {version}; version {later} followed already"),
            Outcome::Accepted { version, .. } => format!("accepted as version {version}"),
            Outcome::AlreadyInForce { version } => {
                format!("nothing to change: version {version} holds just this")
            }
            Outcome::LostRace { version, .. } if *version == ConfigVersion::NONE => {
                "not accepted: the store holds no configuration, but the folder is based on one"
                    .to_owned()
            }
            Outcome::LostRace { version, by, .. } => format!(
                "not accepted: version {version} by {by} came first; nothing was overwritten"
            ),
            Outcome::RemovalRefused { services } => format!(
                "not accepted: it would remove {}; --allow-removal lets it",
                services.join(", ")
            ),
            Outcome::TooLarge { shard, bytes } => {
                format!("not accepted: shard {shard} would have {bytes} bytes")
            }
            Outcome::NotAccepted { reason } => format!("not accepted: {reason}"),
            Outcome::Unknown { reason } => {
                format!("unknown whether it is accepted: {reason}; apply again to learn more")
            }
        }
    }

    /// Prints the report and says how the program ends.
    pub(super) fn print(&self, json: bool) -> ExitStatus {
        if json {
            output::line(format_args!("{}", self.json()));
        } else {
            self.print_text();
        }
        self.status()
    }

    fn print_text(&self) {
        if self.nodes.is_none() {
            output::line(format_args!("{}", self.headline()));
        }
        if let Outcome::LostRace {
            version, theirs, ..
        } = &self.outcome
        {
            if !theirs.is_empty() {
                output::line(format_args!("what changed against the base of the folder:"));
                print_all(theirs);
            }
            output::line(format_args!(
                "bring it into the files, or put them over it with --onto {version}"
            ));
        }
        if let Some(nodes) = &self.nodes {
            nodes.print_text();
        }
    }

    fn json(&self) -> Value {
        let kind = match &self.outcome {
            Outcome::Accepted { .. } => "accepted",
            Outcome::AlreadyInForce { .. } => "already-in-force",
            Outcome::LostRace { .. } => "lost-race",
            Outcome::RemovalRefused { .. } => "removal-refused",
            Outcome::TooLarge { .. } => "too-large",
            Outcome::NotAccepted { .. } => "not-accepted",
            Outcome::Unknown { .. } => "unknown",
        };
        let mut value = json!({ "outcome": kind, "message": self.headline() });
        if let Some(version) = self.version_in_force() {
            value["version"] = json!(version);
        }
        if let Outcome::LostRace {
            version,
            by,
            theirs,
            ..
        } = &self.outcome
        {
            value["version"] = json!(version);
            value["by"] = json!(by);
            value["theirs"] = json!(lines(theirs));
        }
        if let Some(nodes) = &self.nodes {
            value["nodes"] = nodes.json();
        }
        value
    }

    fn status(&self) -> ExitStatus {
        match (&self.outcome, &self.nodes) {
            (Outcome::LostRace { .. }, _) => ExitStatus::Differs,
            (Outcome::RemovalRefused { .. } | Outcome::TooLarge { .. }, _) => ExitStatus::Refused,
            (Outcome::NotAccepted { .. }, _) => ExitStatus::NotAccepted,
            (Outcome::Unknown { .. }, _) => ExitStatus::Unknown,
            (_, Some(nodes)) if !nodes.is_everywhere() => ExitStatus::NotEverywhere,
            _ => ExitStatus::Done,
        }
    }
}

impl NodesReport {
    /// Whether nothing speaks against the version being in force everywhere.
    fn is_everywhere(&self) -> bool {
        match self {
            Self::NotAsked => true,
            Self::Unreachable(_) => false,
            Self::Asked { version, nodes, .. } => nodes.iter().all(|it| it.has(*version)),
        }
    }

    fn print_text(&self) {
        match self {
            Self::NotAsked => {
                output::line(format_args!("nodes were not asked: no --admin is given"));
            }
            Self::Unreachable(reason) => {
                output::line(format_args!("nodes could not be asked: {reason}"));
            }
            Self::Asked {
                version,
                nodes,
                took,
            } => {
                for node in nodes.iter().filter(|it| !it.has(*version)) {
                    output::line(format_args!("not in force at {}", describe(node)));
                }
                if self.is_everywhere() {
                    output::line(format_args!(
                        "in force everywhere after {} ms",
                        took.as_millis()
                    ));
                }
            }
        }
    }

    fn json(&self) -> Value {
        match self {
            Self::NotAsked => json!({ "asked": 0 }),
            Self::Unreachable(reason) => json!({ "asked": 0, "error": reason }),
            Self::Asked {
                version,
                nodes,
                took,
            } => {
                let missing: Vec<_> = nodes.iter().filter(|it| !it.has(*version)).collect();
                json!({
                    "asked": nodes.len(),
                    "in_force": nodes.len() - missing.len(),
                    "missing": missing,
                    "took_ms": took.as_millis(),
                })
            }
        }
    }
}

fn describe(it: &NodeVersion) -> String {
    let node = &it.node;
    let version = match it.version {
        Some(version) => format!("it has version {version}"),
        None => "it does not answer".to_owned(),
    };
    let role = node.role.name();
    format!(
        "{role} {} ({}, {}): {version}",
        node.name, node.admin, node.state
    )
}
