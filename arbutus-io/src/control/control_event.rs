use std::net::SocketAddrV4;

use bytes::Bytes;

/// What the control endpoint tells the process.
#[derive(Debug)]
pub enum ControlEvent {
    /// A message came.
    Message {
        /// The sender's control address.
        from: SocketAddrV4,
        /// The encoded message.
        bytes: Bytes,
    },
    /// A process did not take the connection.
    Unreachable {
        /// Its control address.
        address: SocketAddrV4,
    },
    /// Another process opened a connection for handing over requests.
    HandOver {
        /// The connection.
        connection: quinn::Connection,
    },
}
