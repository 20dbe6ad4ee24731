//! An in-memory stand-in for the platform's key-value service.
//!
//! It serves the published HTTP interface: `/v1/kv/<key>` with compare-and-swap and blocking
//! queries, and `/v1/session/…`. `GET /lab/counts` returns the number of calls by kind, and
//! `PUT /lab/fault` makes the stand-in misbehave for a time.

mod active_faults;
mod counts;
mod fault;
mod query;
mod reply;
mod serve;
mod stand_in;
mod store_state;
mod table;

pub use counts::{CallKind, Counts};
pub use fault::{Fault, KeyFilter};
pub use stand_in::{StoreCopy, StoreStandIn, run};
