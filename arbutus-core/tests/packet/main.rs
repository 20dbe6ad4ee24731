//! Tests of the forwarding of packet flows: cases for each state machine, and seeded random runs of
//! a whole simulated system.

mod backend_monitor;
mod fixture;
mod load_model;
mod lookup_cases;
mod message_bytes;
mod model_backend;
mod model_caller;
mod overload;
mod random_runs;
mod registration;
mod relay_header;
mod routes;
mod seed_cases;
mod steering_cases;
mod store_eras;
mod tracker_cases;
mod world;
