//! The agent's decisions on requests.
//!
//! [`RequestMachine`] decides which request runs at the backend server, which waits, which goes to
//! a peer, and what every caller is told. It neither reads clocks nor touches sockets: the daemon
//! feeds it [`Event`]s with the time of its monotonic clock and does the [`Action`]s it gets back.
//!
//! # Outcomes
//!
//! - `ran` is said with a backend server's response, or of a key that has one.
//! - `not-run` is said only if no byte of the request went out, or the backend server itself said
//!   that it shed the request.
//! - `unknown` is said in every other case.
//!
//! An attempt at the backend server has two steps, so that the line between them is certain:
//! [`Action::Connect`] gets a connection, and only [`Action::Send`] lets the first byte go.
//!
//! # Slots
//!
//! An attempt holds its slot from [`Action::Connect`] until its connection is idle again or
//! closed, also when its caller has long been answered. Requests without a slot wait in a queue
//! that is bounded in length and by deadline: one that is not expected to start in time is
//! refused as it comes, and one that can no longer make it is refused at that moment.
//!
//! # Drain and stop
//!
//! A draining agent still serves the requests of its open connections, and takes none from peers'
//! overflow. A stopping agent refuses what arrives, and lets what is open end.
//!
//! # Non-repeatable requests
//!
//! See [`binding`](crate::binding) for the rules and the argument that a key runs at most once.
//! A duplicate of a key in progress is answered 409 `unknown` with `Retry-After` at once rather
//! than held until the first ends, since a held duplicate would itself need a place and a
//! deadline; when the first has ended, a further attempt hears its outcome. One whose key has run
//! hears 409 `ran`: the answer is not kept, and its status alone would look like a whole answer.
//!
//! # Examples
//!
//! One request by hand:
//!
//! ```
//! use std::{net::{Ipv4Addr, SocketAddrV4}, sync::Arc};
//! use arbutus_core::{
//!     config::{BalanceMode, RequestPolicy},
//!     ident::{Incarnation, ServiceTag},
//!     keys::{KeyRing, SystemKey},
//!     request::{
//!         Action, AgentIdentity, Attempt, Event, Method, Outcome, RequestHead, RequestId,
//!         RequestMachine, UpstreamHead,
//!     },
//!     time::Timestamp,
//! };
//!
//! let identity = AgentIdentity {
//!     tunnel: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 4001),
//!     control: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 4002),
//!     tag: ServiceTag::of_name("lookup"),
//!     incarnation: Incarnation::new(1),
//! };
//! let keys = Arc::new(KeyRing::single(SystemKey::derive(&[7; 32])));
//! let policy = RequestPolicy::new();
//! let mut now = Timestamp::ZERO;
//! let mut machine = RequestMachine::new(identity, policy, BalanceMode::Stay, keys, 1, now);
//!
//! // A repeatable request runs at once.
//! let request = RequestId::new(1);
//! let head = RequestHead::new(Method::Get, "/codes/4711");
//! let actions = machine.handle(Event::Arrived { request, head }, now);
//! let attempt = Attempt::new(request, 1);
//! assert_eq!(actions, [Action::Connect { attempt }]);
//!
//! let actions = machine.handle(Event::Connected { attempt }, now);
//! assert!(matches!(actions[..], [Action::Send { .. }]));
//!
//! now = Timestamp::from_millis(20);
//! let head = UpstreamHead::new(200);
//! let actions = machine.handle(Event::UpstreamHead { attempt, head }, now);
//! assert_eq!(actions, [Action::Relay { attempt, offer: None }]);
//! let actions = machine.handle(Event::UpstreamEnded { attempt }, now);
//! assert_eq!(actions, [Action::Finish { request }]);
//!
//! // A non-repeatable one is told to come back with a binding.
//! let request = RequestId::new(2);
//! let head = RequestHead::new(Method::Other, "/confirm").idempotency_key("gang-17");
//! let actions = machine.handle(Event::Arrived { request, head }, now);
//! let [Action::Answer { answer, .. }] = &actions[..] else {
//!     panic!("no answer");
//! };
//! assert_eq!((answer.status, answer.outcome), (428, Outcome::NotRun));
//!
//! let request = RequestId::new(3);
//! let head = RequestHead::new(Method::Other, "/confirm")
//!     .idempotency_key("gang-17")
//!     .binding(answer.offer.as_deref().unwrap());
//! let actions = machine.handle(Event::Arrived { request, head }, now);
//! let attempt = Attempt::new(request, 1);
//! assert_eq!(actions, [Action::Connect { attempt }]);
//! assert_eq!(machine.counters().invariant_violations, 0);
//! ```

mod action;
mod agent_identity;
mod answer;
mod arrival;
mod counters;
mod event;
mod key_memory;
mod open_request;
mod outcome;
mod peer_capacity;
mod refusal;
mod request_head;
mod request_id;
mod request_machine;
mod retry_budget;
mod service_time;
mod settle;
mod slots;
mod upstream;

pub use action::Action;
pub use agent_identity::AgentIdentity;
pub use answer::Answer;
pub use counters::Counters;
pub use event::{Event, UpstreamHead};
pub use outcome::Outcome;
pub use peer_capacity::PeerCapacity;
pub use refusal::Refusal;
pub use request_head::{Method, Origin, RequestHead};
pub use request_id::{Attempt, RequestId};
pub use request_machine::RequestMachine;

use key_memory::{KeyDigest, KeyMemory, KeyState};
use open_request::{OpenRequest, Phase};
use peer_capacity::Peers;
use retry_budget::RetryBudget;
use service_time::ServiceTime;
