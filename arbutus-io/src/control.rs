//! Transport of control messages and handed-over requests between the system's processes.
//!
//! Each process has one QUIC endpoint; connections use mutual TLS.

mod connection_table;
mod control_endpoint;
mod control_error;
mod control_event;
mod counting_socket;
mod envelope;
mod hand_over_connections;
mod tls_config;

pub use control_endpoint::ControlEndpoint;
pub use control_error::ControlError;
pub use control_event::ControlEvent;
pub use envelope::Envelope;
pub use tls_config::{ALPN_CONTROL, ALPN_HANDOVER, CONTROL_SERVER_NAME};
