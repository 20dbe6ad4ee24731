//! The control state machines under scripted and random failures.

#[path = "membership/config_replica.rs"]
mod config_replica;
#[path = "membership/network.rs"]
mod network;
#[path = "membership/random_runs.rs"]
mod random_runs;
#[path = "membership/roster_merge.rs"]
mod roster_merge;
#[path = "membership/script.rs"]
mod script;
#[path = "membership/store.rs"]
mod store;
#[path = "membership/wire_bytes.rs"]
mod wire_bytes;
#[path = "membership/world.rs"]
mod world;
