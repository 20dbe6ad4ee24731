//! Forwarding decisions of a balancer: which agent receives a packet, or why the packet is dropped.
//!
//! The connection ID of a packet of an established flow contains the flow's owner, so that
//! [`forward()`] needs neither the roster nor a flow table for the packet. Only a packet that may
//! open a flow needs the agents of the [`RouteTable`]: its candidates are the highest-ranked agents
//! of the service by weighted rendezvous hashing of the caller's address and the original
//! connection ID. Balancers with the same roster therefore select the same agents without any
//! coordination.
//!
//! # Examples
//!
//! ```
//! use std::{net::SocketAddrV4, sync::Arc};
//!
//! use arbutus_core::{
//!     config::{ConfigVersion, Service, Snapshot},
//!     ident::Incarnation,
//!     keys::{KeyRing, SystemKey},
//!     roster::{AgentRecord, AgentState},
//!     route::{self, ForwardingDecision, RouteTable},
//!     tunnel::Endpoints,
//! };
//!
//! let address = |text: &str| text.parse::<SocketAddrV4>().expect("an address");
//! let service = Service::new("lookup", address("192.0.2.1:443"));
//! let agent = AgentRecord {
//!     tunnel: address("10.0.0.7:4000"),
//!     control: address("10.0.0.7:4001"),
//!     admin_port: 4002,
//!     name: Arc::from("lookup-1"),
//!     failure_domain: Arc::from("mvd-a"),
//!     tag: service.tag(),
//!     incarnation: Incarnation::new(1),
//!     version: 1,
//!     state: AgentState::Ready,
//!     weight_percent: 100,
//! };
//! let snapshot = Snapshot::new(ConfigVersion::new(1), [service]);
//! let table = RouteTable::build(&snapshot, [&agent]);
//! let keys = KeyRing::single(SystemKey::derive(&[7; 32]));
//!
//! let mut initial = vec![0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8];
//! initial.resize(1_200, 0);
//! let endpoints = Endpoints {
//!     source: address("198.51.100.4:5000"),
//!     destination: address("192.0.2.1:443"),
//! };
//! let ForwardingDecision::Opening(hop) = route::forward(&table, &keys, endpoints, &initial)
//! else {
//!     panic!("the packet opens a flow");
//! };
//! assert_eq!(hop.to, agent.tunnel);
//! ```

mod drop_counts;
mod drop_reason;
mod forward;
mod rendezvous;
mod route_agent;
mod route_table;
mod service_route;

pub use drop_counts::DropCounts;
pub use drop_reason::DropReason;
pub use forward::{ForwardingDecision, NextHop, forward};
pub use rendezvous::flow_hash;
pub(crate) use rendezvous::{agent_hash, rendezvous_rank};
pub use route_agent::RouteAgent;
pub use route_table::RouteTable;
pub use service_route::ServiceRoute;
