//! Compares the journals of callers and backend servers and reports which guarantees were violated.
//!
//! The checks do not query the system under test. The two kinds of journals alone show, for
//! example, a request that ran although the answer to its caller reported it as not run, or an
//! answer without a run.

mod change;
mod drains;
mod evidence;
mod failure_attribution;
mod flows;
mod imbalance;
mod latency;
mod runs;
mod verdict_report;

pub use change::{Change, ChangeKind, Target};
pub use evidence::{BackendJournal, Evidence, Measurements};
pub use latency::LatencyMs;
pub use verdict_report::{Verdict, ViolatedGuarantee};
