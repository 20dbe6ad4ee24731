use serde::{Deserialize, Serialize};

use crate::{
    config::ConfigVersion,
    roster::{BalancerRecord, Rank},
};

/// What a keepalive requests for the link between two balancers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkIntent {
    /// The sender keeps the link.
    Link,
    /// The sender checks whether the receiver is running, and expects an answer.
    Probe,
    /// The sender answers a probe and holds no link to the receiver.
    ProbeReply,
    /// The sender closes the link, or refuses it because it has too many.
    Decline,
}

/// A keepalive between balancers, with a summary of the sender's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keepalive {
    /// The sender's record.
    pub record: BalancerRecord,
    /// What the keepalive requests for the link.
    pub intent: LinkIntent,
    /// The root digest of the sender's roster.
    pub roster_digest: u64,
    /// The configuration version in force at the sender.
    pub config_version: ConfigVersion,
    /// The rank of the receiver's record at the sender, if that record is not live.
    pub receiver_rank: Option<Rank>,
}
