//! The admin port, which serves `/metrics`, `/health`, `/roster` and `/config` over HTTP.

mod admin_state;
mod server;
pub mod views;

pub use admin_state::AdminState;
pub use server::serve;
