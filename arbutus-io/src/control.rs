//! Messages between the system's processes: QUIC with mutual TLS, one endpoint a process.

mod connection_table;
mod control_endpoint;
mod control_error;
mod control_event;
mod counting_socket;
mod envelope;
mod hand_over_links;
mod tls_config;

pub use control_endpoint::ControlEndpoint;
pub use control_error::ControlError;
pub use control_event::ControlEvent;
pub use envelope::Envelope;
pub use tls_config::{ALPN_CONTROL, ALPN_HANDOVER, CONTROL_SERVER_NAME};
