//! Packet flows whose packets name no owner: tables of cases, scripts, and seeded random runs.

mod backend_watch;
mod caller;
mod fixture;
mod holder_cases;
mod message_bytes;
mod model_backend;
mod random_runs;
mod registration;
mod relay_header;
mod routes;
mod search_cases;
mod steering_cases;
mod world;
