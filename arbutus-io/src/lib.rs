//! Sockets, HTTP and control transport of arbutusstage.
//!
//! The modules of this crate pass datagrams, requests and time to the state machines of
//! [`arbutus_core`] and perform the actions that those return.

pub mod admin;
pub mod agent;
pub mod balancer;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod http;
pub mod metrics;
pub mod packet;
mod reset_key;
pub mod shutdown;
pub mod store;
pub mod telemetry;
pub mod trace;
pub mod udp;
