//! The report of `apply`.

use std::time::Duration;

use arbutus_core::{apply::Outcome, config::ConfigVersion};
use serde_json::{Value, json};

use super::diff::{difference_lines, print_differences};
use crate::{ExitStatus, fleet::NodeVersion, output};

/// The outcome of a change and its effect on the nodes.
#[derive(Debug)]
pub(super) struct ApplyReport {
    outcome: Outcome,
    /// The versions of the nodes; `None` if no version is to be in force.
    pub(super) nodes: Option<NodesReport>,
}

/// The nodes that have a version in force.
#[derive(Debug)]
pub(super) enum NodesReport {
    /// No admin port is given.
    NotAsked,
    /// No admin port responded.
    Unreachable(String),
    /// The nodes were queried.
    Asked {
        /// The version that the nodes should have in force.
        version: u64,
        /// The nodes with the versions that they have in force.
        nodes: Vec<NodeVersion>,
        /// The time from loading the files until the end of the wait.
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

    /// Returns the version that nodes are expected to have in force, if any.
    pub(super) fn version_in_force(&self) -> Option<u64> {
        match &self.outcome {
            Outcome::Accepted { version, .. } | Outcome::AlreadyInForce { version } => {
                Some(version.get())
            }
            _ => None,
        }
    }

    /// Returns the outcome in one line.
    pub(super) fn headline(&self) -> String {
        match &self.outcome {
            Outcome::Accepted {
                version,
                superseded_by: Some(later),
                ..
            } => {
                format!("accepted as version {version}; version {later} has superseded it")
            }
            Outcome::Accepted { version, .. } => format!("accepted as version {version}"),
            Outcome::AlreadyInForce { version } => {
                format!("nothing to change: version {version} is identical to the files")
            }
            Outcome::LostRace { version, .. } if *version == ConfigVersion::NONE => {
                "not accepted: the store contains no configuration, but the folder is based on one"
                    .to_owned()
            }
            Outcome::LostRace { version, by, .. } => format!(
                "not accepted: version {version} by {by} was applied first; nothing was overwritten"
            ),
            Outcome::RemovalRefused { services } => format!(
                "not accepted: the change would remove {}; allow this with --allow-removal",
                services.join(", ")
            ),
            Outcome::TooLarge { shard, bytes } => {
                format!("not accepted: shard {shard} would be too large, with {bytes} bytes")
            }
            Outcome::NotAccepted { reason } => format!("not accepted: {reason}"),
            Outcome::Unknown { reason } => {
                format!(
                    "unknown whether the change is accepted: {reason}; run apply again to find out"
                )
            }
        }
    }

    /// Prints the report and returns the exit status.
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
                output::line(format_args!(
                    "changes since the version that the folder is based on:"
                ));
                print_differences(theirs);
            }
            output::line(format_args!(
                "include the changes in the files, or replace version {version} with --onto {version}"
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
            value["theirs"] = json!(difference_lines(theirs));
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
            (_, Some(nodes)) if !nodes.is_in_force_everywhere() => ExitStatus::NotEverywhere,
            _ => ExitStatus::Done,
        }
    }
}

impl NodesReport {
    /// Returns whether all queried nodes have the version in force.
    fn is_in_force_everywhere(&self) -> bool {
        match self {
            Self::NotAsked => true,
            Self::Unreachable(_) => false,
            Self::Asked { version, nodes, .. } => nodes.iter().all(|it| it.is_at_least(*version)),
        }
    }

    fn print_text(&self) {
        match self {
            Self::NotAsked => {
                output::line(format_args!("nodes were not queried: no --admin is given"));
            }
            Self::Unreachable(reason) => {
                output::line(format_args!("nodes could not be queried: {reason}"));
            }
            Self::Asked {
                version,
                nodes,
                took,
            } => {
                for node in nodes.iter().filter(|it| !it.is_at_least(*version)) {
                    output::line(format_args!("not in force at {}", describe(node)));
                }
                if self.is_in_force_everywhere() {
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
                let missing: Vec<_> = nodes
                    .iter()
                    .filter(|it| !it.is_at_least(*version))
                    .collect();
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
        Some(version) => format!("version {version}"),
        None => "no response".to_owned(),
    };
    let role = node.role.name();
    format!(
        "{role} {} ({}, {}): {version}",
        node.name, node.admin, node.state
    )
}
