//! Forwarding decisions of a balancer and the routing table behind them.

mod fixture;
mod forward_cases;
mod random_runs;
mod table_cases;
