//! The HTTP admin port of a stand-in, which accepts commands and serves journals and counters.

mod client;
mod endpoint;
mod server;

pub use client::{get, post, put};
pub use endpoint::{Endpoint, Reply};
pub use server::serve;
