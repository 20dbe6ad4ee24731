//! The commit of configuration changes, scripted and in random runs.

mod desk;
mod fake_store;
mod random_runs;
mod script;
