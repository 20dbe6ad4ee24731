//! Flows whose packets name no owner: who gets a packet, and who holds a flow.
//!
//! Callers on such a platform send segments of a connection that the system may forward but not
//! change, so nothing in a packet tells which agent holds its flow. Two machines decide together:
//!
//! - [`Steering`] runs in a balancer. It places opening segments by load, and remembers where
//!   flows are held as far as agents have told it.
//! - [`FlowTracker`] runs in an agent, the only authority over its backend server. It takes opening
//!   segments only while its backend server may get new work, and later segments only of flows
//!   that its backend server holds. Anything else travels to the next candidate in the
//!   [`RelayHeader`], whose length bounds the hops.
//!
//! A balancer that has a packet of an open flow and does not know where the flow is asks the agents
//! and holds the packet for as long as the answers take.
//!
//! The caller is told by a reset only where there is proof that no backend server holds the flow;
//! otherwise a flow that nobody holds is met with silence.
//!
//! # Examples
//!
//! ```
//! use arbutus_core::packet::{FlowId, RelayHeader};
//!
//! let address = |text: &str| text.parse().expect("an address");
//! let flow = FlowId {
//!     caller: address("100.64.0.7:40001"),
//!     service: address("198.18.0.1:443"),
//! };
//! assert_eq!(flow.to_string(), "100.64.0.7:40001>198.18.0.1:443");
//!
//! let balancer = address("10.1.0.10:7720");
//! let candidates = [address("10.1.0.11:7720"), address("10.2.0.11:7720")];
//! let mut header = RelayHeader::new(balancer, candidates);
//! assert_eq!(header.target(), Some(candidates[0]));
//! assert_eq!(header.advance(), Some(candidates[1]));
//! assert_eq!(header.advance(), None);
//! ```

mod agent_listing;
mod agent_report;
mod backend_state;
mod backend_watch;
mod balancer_links;
mod flow_cache;
mod flow_holder;
mod flow_id;
mod held_flow;
mod held_packets;
mod holder_action;
mod member;
mod member_table;
mod message;
mod packet_config;
mod packet_route;
mod peer_snapshot;
mod placement;
mod query_batch;
mod query_outbox;
mod question;
mod registration;
mod relay_header;
mod search;
mod search_state;
mod search_step;
mod segment;
mod segment_flags;
mod steer;
mod steering;
mod target;
mod view;
mod waiting_questions;

pub use agent_listing::AgentListing;
pub use agent_report::{AgentReport, AgentStatus};
pub use backend_state::{BackendState, Heartbeat};
pub use backend_watch::{BackendMonitor, HeartbeatOutcome};
pub use flow_holder::{FlowTracker, TrackerSettings};
pub use flow_id::FlowId;
pub use holder_action::{RefusalReason, ResetCause, TrackerAction, TrackerDropReason};
pub use member_table::MemberChange;
pub use message::{Message, MessageError};
pub use packet_config::PacketConfig;
pub use packet_route::PacketRoute;
pub use peer_snapshot::PeerSnapshot;
pub use query_batch::QueryBatch;
pub use question::Question;
pub use registration::{LeaseId, ListingCall, ListingReply, ListingStep, Registration};
pub use relay_header::RelayHeader;
pub use search::LookupAnswer;
pub use search_step::LookupStep;
pub use segment::Segment;
pub use segment_flags::SegmentFlags;
pub use steer::{PlacementChoice, SteeringDecision, SteeringDropReason};
pub use steering::{Steering, SteeringSettings};
pub use target::RouteTarget;
