//! Forwarding of flows whose packets do not name an owner.
//!
//! Callers on such a platform send segments of a connection that the system may forward but not
//! change, so a packet does not identify its owner. Two state machines decide together:
//!
//! - [`Steering`] runs in a balancer. It places opening segments by load, and caches the owners of
//!   flows that agents have reported.
//! - [`FlowTracker`] runs in an agent, the only authority over its backend server. It accepts
//!   opening segments only while its backend server may get new flows, and later segments only of
//!   flows that its backend server holds. It passes every other packet on to the next candidate in
//!   the [`RelayHeader`], whose length bounds the hops.
//!
//! A balancer that receives a packet of an open flow with an unknown owner queries the agents and
//! buffers the packet until they have answered.
//!
//! The caller gets a reset only where there is proof that no backend server holds the flow.
//! Otherwise packets of a flow without an owner are dropped without a reply.
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
mod agent_view;
mod backend_monitor;
mod backend_process;
mod backend_state;
mod balancer_links;
mod buffered_packets;
mod era_tracker;
mod eviction;
mod flow_cache;
mod flow_id;
mod flow_table;
mod flow_tracker;
mod listing_record;
mod lookup;
mod lookup_state;
mod lookup_step;
mod member;
mod member_table;
mod message;
mod opening_admission;
mod packet_config;
mod packet_route;
mod peer_snapshot;
mod pending_questions;
mod placement;
mod query_batch;
mod query_outbox;
mod question;
mod registration;
mod relay_header;
mod route_target;
mod seed_queries;
mod segment;
mod segment_flags;
mod service_shares;
mod steering;
mod steering_decision;
mod store_era;
mod store_sync;
mod tracked_flow;
mod tracker_action;

pub use agent_listing::AgentListing;
pub use agent_report::{AgentReport, AgentStatus};
pub use backend_monitor::{BackendMonitor, HeartbeatOutcome};
pub use backend_process::BackendProcess;
pub use backend_state::{BackendState, Heartbeat};
pub use era_tracker::{EraChange, EraTracker};
pub use flow_id::FlowId;
pub use flow_tracker::{FlowTracker, TrackerSettings};
pub use listing_record::{EarlierListing, ListingRecord};
pub use lookup::LookupAnswer;
pub use lookup_step::LookupStep;
pub use member_table::MemberChange;
pub use message::{Message, MessageError};
pub use packet_config::PacketConfig;
pub use packet_route::PacketRoute;
pub use peer_snapshot::PeerSnapshot;
pub use query_batch::QueryBatch;
pub use question::Question;
pub use registration::{LeaseId, ListingCall, ListingReply, ListingStep, Registration};
pub use relay_header::RelayHeader;
pub use route_target::RouteTarget;
pub use segment::Segment;
pub use segment_flags::SegmentFlags;
pub use steering::{Steering, SteeringSettings};
pub use steering_decision::{PlacementChoice, SteeringDecision, SteeringDropReason};
pub use store_era::StoreEra;
pub use store_sync::{StoreSync, SyncStep};
pub use tracker_action::{RefusalReason, ResetCause, TrackerAction, TrackerDropReason};
