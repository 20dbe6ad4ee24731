//! The decision logic of the arbutusstage load balancer.
//!
//! Every role is a state machine without sockets, threads, clock reads or a global random source:
//! events and a [`time::Timestamp`] go in, actions come out. The daemons drive these machines in
//! production; tests and benchmarks drive the same machines with simulated time and networks.

pub mod apply;
pub mod binding;
pub mod cid;
pub mod config;
pub mod config_sync;
pub mod flow;
pub mod ident;
pub mod keys;
pub mod membership;
pub mod packet;
pub mod quic;
pub mod request;
pub mod roster;
pub mod route;
pub mod time;
pub mod tunnel;
