//! The admin port: `/metrics`, `/health`, `/roster` and `/config` over HTTP, on gotham.

mod admin_state;
mod server;
pub mod views;

pub use admin_state::AdminState;
pub use server::serve;
