//! The settings of the balancer daemon.

mod balancer_settings;

pub use balancer_settings::BalancerSettings;
