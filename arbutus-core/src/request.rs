//! Request admission: an agent runs, queues, passes on or refuses the requests of its callers.
//!
//! [`RequestMachine`] decides which request runs at the backend server, which one waits, which one
//! goes to a peer, and which answer each caller receives. It reads no clock and uses no sockets:
//! the daemon feeds it [`Event`]s with the time of a monotonic clock and carries out the
//! [`Action`]s that it returns.
//!
//! # Outcomes
//!
//! Every answer carries one of three outcomes:
//!
//! - `ran`: the answer is a backend server's response, or the idempotency key has one already.
//! - `not-run`: no byte of the request was sent, or the backend server reported that it shed the
//!   request.
//! - `unknown`: all other cases.
//!
//! An attempt at the backend server has two steps, which separate `not-run` from `unknown`:
//! [`Action::Connect`] requests a connection, and no byte is written before [`Action::Send`].
//!
//! # Slots
//!
//! An attempt holds its slot from [`Action::Connect`] until its connection is idle again or closed,
//! even if its caller has already been answered. Requests without a slot wait in a queue that is
//! bounded by length and by deadline: a request that is not expected to start in time is refused on
//! arrival, and a queued request is refused as soon as it can no longer meet its deadline.
//!
//! # Drain and stop
//!
//! A draining agent still serves the requests of its open connections, but refuses repeatable
//! requests that peers pass on. A stopping agent refuses new requests and lets open ones finish.
//!
//! # Non-repeatable requests
//!
//! [`binding`](crate::binding) documents the rules and why a key runs at most once.
//!
//! A duplicate of a key in progress is answered immediately with 409 `unknown` and `Retry-After`.
//! Holding it until the first request ends would need a queue place and a deadline of its own. Once
//! the first request has ended, a further attempt receives its outcome. A duplicate of a key that
//! has run is answered with 409 `ran`: responses are not stored, and the status of the first
//! response without its body would look like a complete response.
//!
//! # Examples
//!
//! The life of a repeatable and of a non-repeatable request:
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
//! // A repeatable request runs immediately.
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
//! // A non-repeatable request without a binding is refused, and a binding is offered.
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
