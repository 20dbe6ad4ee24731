//! Where a balancer sends a packet, and why it drops one.

mod fixture;
mod forward_cases;
mod random_runs;
mod table_cases;
