//! Which agent takes a new flow, scripted and in random runs.

mod arrival_cases;
mod fleet;
mod random_runs;
mod report_bytes;
mod script;
