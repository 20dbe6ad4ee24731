use serde::{Deserialize, Serialize};

use crate::{
    config::ConfigVersion,
    roster::{BalancerRecord, Rank},
};

/// What a keepalive says about the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkIntent {
    /// The sender wants the link kept.
    Link,
    /// The sender only answers, or tries to reach a balancer that was lost; with an answer wanted.
    Probe,
    /// The sender answers a greeting.
    ProbeReply,
    /// The sender gives the link up, or has too many.
    Decline,
}

/// A balancer tells another that it runs, and what it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keepalive {
    /// The sender's record.
    pub record: BalancerRecord,
    /// What it says about the link.
    pub intent: LinkIntent,
    /// One number for the sender's roster.
    pub roster_digest: u64,
    /// The configuration in force at the sender.
    pub config_version: ConfigVersion,
    /// The receiver's rank as the sender holds it, where it is not that of a live member.
    pub receiver_rank: Option<Rank>,
}
