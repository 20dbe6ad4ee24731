//! Client of the platform's key-value service.
//!
//! The client uses the published HTTP interface of a Consul-style store: keys with
//! compare-and-swap, blocking queries as watches, and sessions as leases.

mod client;
mod commit;
mod entry;
mod error;
mod reader;
mod response;
mod session;
mod transport;

pub use client::StoreClient;
pub use commit::commit;
pub use entry::{Entry, Lookup, WatchIndex};
pub use error::StoreError;
pub use reader::ConfigReader;
pub use response::Response;
pub use session::SessionId;
pub use transport::Transport;
