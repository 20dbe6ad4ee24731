//! Records of agents and balancers, and the rules by which copies of them merge.
//!
//! The record of an agent or balancer has a single author, the member itself. Other nodes may only
//! mark the member as suspect.

mod agent_record;
mod agent_state;
mod balancer_record;
mod digest_tree;
mod domain_notice;
mod leaf_set;
mod member_key;
mod merge_outcome;
mod rank;
pub mod rendezvous;
mod roster_entry;
mod roster_merge;
mod roster_repair;
mod roster_table;
mod update;

pub use agent_record::AgentRecord;
pub use agent_state::AgentState;
pub use balancer_record::BalancerRecord;
pub use digest_tree::{DigestTree, LeafId};
pub use domain_notice::DomainNotice;
pub use leaf_set::LeafSet;
pub use member_key::MemberKey;
pub use merge_outcome::MergeOutcome;
pub use rank::Rank;
pub use roster_entry::RosterEntry;
pub use roster_repair::MemberDigest;
pub use roster_table::Roster;
pub use update::Update;
