//! Client of the platform's key-value service.
//!
//! It speaks the published HTTP interface of a Consul-style store: keys with compare-and-swap,
//! blocking queries as watches, and sessions as leases.

mod answer;
mod client;
mod commit;
mod entry;
mod error;
mod reader;
mod session;
mod transport;

pub use answer::Answer;
pub use client::StoreClient;
pub use commit::commit;
pub use entry::{Entry, Lookup, WatchIndex};
pub use error::StoreError;
pub use reader::ConfigReader;
pub use session::SessionId;
pub use transport::Transport;
