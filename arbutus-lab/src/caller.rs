//! Callers' load over HTTP/3, and the journal of the answers that they received.

mod arrivals;
mod attempt_record;
mod caller_journal;
mod caller_options;
mod flow;
mod flow_record;
mod load;
mod request;
mod session;
mod tls;

pub(crate) use arrivals::Arrivals;
pub use attempt_record::{AttemptEnd, AttemptRecord, RequestOutcome};
pub use caller_journal::{CallerJournal, RequestRecord};
pub use caller_options::CallerOptions;
pub use flow_record::{FlowEnd, FlowRecord};
pub use load::run;
pub use tls::client_config;
