//! Stand-ins for what surrounds the load balancer, and experiments on its real processes.
//!
//! The stand-ins (fabric, platform store, backend server, caller) are small programs at the
//! system's interfaces. `demo` and `run` start a deployment of real processes on loopback, drive
//! load through it and compare afterwards what callers and backend servers wrote down.

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
