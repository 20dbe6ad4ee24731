//! A stand-in for a backend server.
//!
//! It serves HTTP/1.1, runs a limited number of requests at once, and misbehaves on command.

mod backend_options;
mod backend_state;
mod behaviour;
mod injecting_stream;
mod run_record;
mod server;
mod service_time;

pub use backend_options::BackendOptions;
pub use backend_state::BackendState;
pub use behaviour::{Behaviour, BehaviourCommand};
pub use run_record::{RunOutcome, RunRecord};
pub use server::{Backend, BackendAddresses};
pub use service_time::ServiceTime;
