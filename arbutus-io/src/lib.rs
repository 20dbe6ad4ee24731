//! Sockets, HTTP and control transport of arbutusstage.

pub mod store;
