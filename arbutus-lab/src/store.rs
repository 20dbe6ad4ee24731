//! A stand-in of the platform's key-value service, kept in memory.
//!
//! It serves the published HTTP interface: `/v1/kv/<key>` with compare-and-swap and blocking
//! queries, and `/v1/session/…`. `GET /lab/counts` tells the calls by kind, and `PUT /lab/fault`
//! makes it misbehave for a time.

mod counts;
mod fault;
mod faults;
mod query;
mod reply;
mod serve;
mod shared;
mod stand_in;
mod table;

pub use counts::{Call, Counts};
pub use fault::{Fault, KeyFilter};
pub use stand_in::{StoreStandIn, run};
