//! Sockets, HTTP and control transport of arbutusstage.
//!
//! The modules here feed the decisions of [`arbutus_core`] with datagrams, requests and time, and
//! carry out the actions that come back.

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
