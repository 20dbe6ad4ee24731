use std::net::SocketAddrV4;

use super::{FlowKey, LoadReport};

/// What flow admission asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send a load report to a peer.
    Report {
        /// The peer's tunnel address.
        tunnel: SocketAddrV4,
        /// The peer's control address.
        control: SocketAddrV4,
        /// What to send.
        report: LoadReport,
    },
    /// Close the connection of a flow that is not admitted.
    Close(FlowKey),
    /// The last flow has ended after a drain or stop.
    Drained,
}
