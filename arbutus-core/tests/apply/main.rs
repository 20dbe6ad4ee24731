//! Commits of configuration changes: scripted scenarios and random runs.

mod change_in_progress;
mod fake_store;
mod random_runs;
mod script;
