//! Stand-ins for the systems around the load balancer, and experiments on its real processes.
//!
//! The stand-ins (fabric, platform store, backend server, caller) are small programs that implement
//! the system's external interfaces. `demo` and `run` start a deployment of real processes on
//! loopback, drive load through it, and then compare the journals of callers and backend servers.

pub mod admin;
pub mod backend;
pub mod baseline;
pub mod caller;
pub mod clock;
pub mod command;
pub mod content;
pub mod deployment;
pub mod error;
pub mod events;
pub mod experiment;
pub mod fabric;
pub mod report;
pub mod store;
pub mod verdict;
