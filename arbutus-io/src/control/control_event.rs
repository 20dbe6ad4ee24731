use std::net::SocketAddrV4;

use bytes::Bytes;

/// An event of the control endpoint.
#[derive(Debug)]
pub enum ControlEvent {
    /// A message was received.
    Message {
        /// The sender's control address.
        from: SocketAddrV4,
        /// The encoded message.
        bytes: Bytes,
    },
    /// A connection to a process could not be opened.
    Unreachable {
        /// The process's control address.
        address: SocketAddrV4,
    },
    /// Another process opened a connection for handing over requests.
    HandOver {
        /// The connection.
        connection: quinn::Connection,
    },
}
