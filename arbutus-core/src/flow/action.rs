use std::net::SocketAddrV4;

use super::{FlowKey, LoadReport};

/// An output of [`FlowAdmission`](super::FlowAdmission) that the caller carries out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send a load report to a peer.
    Report {
        /// The peer's tunnel address.
        tunnel: SocketAddrV4,
        /// The peer's control address.
        control: SocketAddrV4,
        /// The report to send.
        report: LoadReport,
    },
    /// Close the connection of a flow that was not admitted.
    Close(FlowKey),
    /// The agent drains or stops and has no flow left. Emitted once until it resumes.
    Drained,
}
