//! Flow admission: an agent accepts a new flow, passes it on to a less loaded peer, or refuses it.
//!
//! [`classify`] sorts the datagrams that arrive through the tunnel; a packet that may open a flow
//! goes to [`FlowAdmission::on_first_packet`]. All other input is an [`Event`]: opened and closed
//! flows, in-flight requests, load reports from peers, and operator commands. An agent computes its
//! remaining capacity from its own flows and requests only, never from what peers report.
//!
//! # Examples
//!
//! ```
//! use std::net::SocketAddrV4;
//!
//! use arbutus_core::{
//!     cid::FlowOwner,
//!     flow::{Admission, Event, FirstPacket, FlowAdmission, FlowKey, FlowLimits, FlowPolicy},
//!     ident::{Incarnation, ServiceTag},
//!     time::Timestamp,
//!     tunnel::{Endpoints, TunnelHeader},
//! };
//!
//! let address = |text: &str| text.parse::<SocketAddrV4>().expect("an address");
//! let tag = ServiceTag::of_name("lookup");
//! let now = Timestamp::from_millis(10_000);
//! let mut admission = FlowAdmission::new(
//!     address("10.0.0.7:4000"),
//!     tag,
//!     Incarnation::new(1),
//!     FlowLimits::new().ramp_ms(0),
//!     FlowPolicy::new(),
//!     now,
//! );
//!
//! let endpoints = Endpoints {
//!     source: address("198.51.100.4:5000"),
//!     destination: address("192.0.2.1:443"),
//! };
//! let header = TunnelHeader::new(endpoints, tag);
//! let packet = FirstPacket { header, dcid: &[1; 8], full_size: true };
//! assert_eq!(admission.on_first_packet(&packet, now), Admission::Accept);
//!
//! let flow = FlowKey::new(endpoints.source, &[1; 8]).expect("a valid length");
//! admission.handle(Event::Opened(flow), now);
//! admission.handle(Event::Drain, now);
//! let another = FirstPacket { header, dcid: &[2; 8], full_size: true };
//! assert!(matches!(admission.on_first_packet(&another, now), Admission::Refuse(_)));
//! // Further datagrams of an admitted flow are still accepted.
//! assert_eq!(admission.on_first_packet(&packet, now), Admission::Accept);
//! ```

mod action;
mod admission;
mod datagram_class;
mod event;
mod flow_admission;
mod flow_counters;
mod flow_key;
mod flow_limits;
mod flow_policy;
mod flow_table;
mod load;
mod load_report;
mod passed_flows;
mod peer;
mod peer_table;
mod placement;
mod ramp;
mod recent_sheds;
mod report_schedule;

pub use action::Action;
pub use admission::{Admission, FlowDrop, Refusal};
pub use datagram_class::{DatagramClass, FirstPacket, classify};
pub use event::Event;
pub use flow_admission::FlowAdmission;
pub use flow_counters::FlowCounters;
pub use flow_key::FlowKey;
pub use flow_limits::FlowLimits;
pub use flow_policy::FlowPolicy;
pub use load::Load;
pub use load_report::{LoadReport, ReportError};
