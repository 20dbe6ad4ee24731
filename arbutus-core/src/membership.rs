//! Cluster membership: which agents and balancers exist, and which configuration is in force.
//!
//! [`BalancerNode`] and [`AgentNode`] are the control state machines of the two roles. The caller
//! passes each event to `handle`, passes a tick no later than `next_wakeup`, and carries out the
//! returned actions. Messages may be lost, delayed, duplicated and reordered.
//!
//! - An agent sends heartbeats to a few home balancers, which are selected by rendezvous hashing.
//!   A home that receives no heartbeats and no answers to its probes marks the agent as suspect.
//! - A balancer is linked to a few others. Keepalives and changes are sent over the links;
//!   balancers whose digests differ determine the differing records and exchange them.
//! - A few balancers of each failure domain watch the store. Configuration changes are propagated
//!   from balancer to balancer, and from the home balancers to the agents.
//!
//! # Examples
//!
//! One balancer and one agent, driven manually:
//!
//! ```
//! use std::{net::SocketAddrV4, sync::Arc};
//!
//! use arbutus_core::{
//!     config::{ConfigVersion, Service, Snapshot},
//!     ident::{Incarnation, ServiceTag},
//!     membership::{
//!         AgentAction, AgentEvent, AgentIdentity, AgentNode, BalancerAction, BalancerEvent,
//!         BalancerIdentity, BalancerNode, Settings,
//!     },
//!     time::Timestamp,
//! };
//!
//! let balancer_control: SocketAddrV4 = "10.0.0.1:7000".parse()?;
//! let agent_control: SocketAddrV4 = "10.0.0.9:7000".parse()?;
//! let identity = BalancerIdentity {
//!     name: Arc::from("balancer-1"),
//!     failure_domain: Arc::from("mvd-a"),
//!     control: balancer_control,
//!     tunnel: "10.0.0.1:7001".parse()?,
//!     admin_port: 7004,
//!     incarnation: Incarnation::new(1),
//!     peers: Vec::new(),
//! };
//! let mut balancer = BalancerNode::new(Settings::new(), &identity, 1, Timestamp::ZERO);
//! let identity = AgentIdentity {
//!     name: Arc::from("lookup-1"),
//!     failure_domain: Arc::from("mvd-a"),
//!     service: Arc::from("lookup"),
//!     tunnel: "10.0.0.9:7001".parse()?,
//!     control: agent_control,
//!     admin_port: 7004,
//!     incarnation: Incarnation::new(1),
//!     balancers: vec![balancer_control],
//! };
//! let mut agent = AgentNode::new(Settings::new(), &identity, 2, Timestamp::ZERO);
//!
//! // The store holds one service.
//! let service = Service::new("lookup", "10.1.0.1:443".parse()?);
//! let snapshot = Arc::new(Snapshot::new(ConfigVersion::new(1), [service]));
//!
//! // Runs both for five seconds, with messages delivered instantly.
//! for millis in (0..5_000).step_by(10) {
//!     let now = Timestamp::from_millis(millis);
//!     let mut to_balancer = vec![BalancerEvent::Tick];
//!     for action in agent.handle(AgentEvent::Tick, now) {
//!         if let AgentAction::Send { payload, .. } = action {
//!             to_balancer.push(BalancerEvent::Received { from: agent_control, payload });
//!         }
//!     }
//!     for event in to_balancer {
//!         for action in balancer.handle(event, now) {
//!             match action {
//!                 BalancerAction::Send { payload, .. } => {
//!                     let from = balancer_control;
//!                     agent.handle(AgentEvent::Received { from, payload }, now);
//!                 }
//!                 BalancerAction::ReadStore(_) => {
//!                     balancer.handle(BalancerEvent::ConfigRead(snapshot.clone()), now);
//!                 }
//!                 _ => {}
//!             }
//!         }
//!     }
//! }
//!
//! assert_eq!(balancer.roster().candidates(ServiceTag::of_name("lookup")).count(), 1);
//! assert_eq!(balancer.config().version, ConfigVersion::new(1));
//! assert_eq!(agent.serving(), Some(Incarnation::new(1)));
//! assert_eq!(agent.service().map(|it| &*it.name), Some("lookup"));
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod agent_action;
mod agent_event;
mod agent_identity;
mod agent_node;
mod agent_watch;
mod balancer_action;
mod balancer_event;
mod balancer_identity;
mod balancer_node;
mod heartbeat;
mod heartbeat_ack;
mod keepalive;
mod link;
mod live_balancers;
mod message;
mod message_class;
mod overlay;
mod pending_probe;
mod push;
mod repair;
mod settings;
mod traffic;
pub mod wire;

pub use agent_action::AgentAction;
pub use agent_event::AgentEvent;
pub use agent_identity::AgentIdentity;
pub use agent_node::AgentNode;
pub use balancer_action::BalancerAction;
pub use balancer_event::BalancerEvent;
pub use balancer_identity::BalancerIdentity;
pub use balancer_node::BalancerNode;
pub use heartbeat::Heartbeat;
pub use heartbeat_ack::{HeartbeatAck, HomeOffer};
pub use keepalive::{Keepalive, LinkIntent};
pub use message::Message;
pub use message_class::MessageClass;
pub use push::Push;
pub use repair::{RepairLeaves, RepairListing};
pub use settings::Settings;
pub use traffic::{Tally, Traffic};
