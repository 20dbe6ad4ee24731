//! Flow admission: scripted scenarios and random runs.

mod classification;
mod fleet;
mod random_runs;
mod report_bytes;
mod script;
