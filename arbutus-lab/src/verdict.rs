//! Compares what callers and backend servers wrote down, and tells which promises held.
//!
//! Nothing here asks the system itself: a run of a backend server that no caller may have been told
//! of, or an answer that no run explains, shows by the two journals alone.

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
