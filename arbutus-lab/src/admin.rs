//! The HTTP port by which a stand-in is told how to behave and asked what it saw.

mod client;
mod endpoint;
mod server;

pub use client::{get, post, put};
pub use endpoint::{Endpoint, Reply};
pub use server::serve;
