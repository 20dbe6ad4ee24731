//! A stand-in for a backend server: HTTP/1.1, a few slots, and any misbehaviour asked for.

mod backend_options;
mod backend_state;
mod behaviour;
mod crossing_stream;
mod run_record;
mod server;
mod service_time;

pub use backend_options::BackendOptions;
pub use backend_state::BackendState;
pub use behaviour::{Behaviour, BehaviourCommand};
pub use run_record::{RunOutcome, RunRecord};
pub use server::{Backend, BackendAddresses};
pub use service_time::ServiceTime;
