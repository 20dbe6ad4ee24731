//! Stand-ins for what surrounds the load balancer, and experiments on its real processes.

pub mod store;
