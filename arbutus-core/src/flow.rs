//! The agent's decision on new flows: take one, pass it on to a better peer, or refuse it.
//!
//! [`classify`] sorts what arrives through the tunnel; a packet that may open a flow goes to
//! [`FlowAdmission::on_first_packet`]. Everything else that the machine has to know comes as an
//! [`Event`]: flows that open and end, requests in hand, load reports of peers, the operator's
//! word. An agent judges its own room by what it has itself in hand and nothing else.
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
//! // A further datagram of the known flow is still taken.
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
mod pass_memory;
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
