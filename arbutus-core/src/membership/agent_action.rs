use std::{net::SocketAddrV4, sync::Arc};

use crate::{
    config::Service,
    ident::Incarnation,
    roster::{AgentRecord, AgentState},
};

/// What an agent's announcer wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentAction {
    /// Send a message; it may get lost.
    Send {
        /// The receiver's control address.
        to: SocketAddrV4,
        /// The message.
        payload: Vec<u8>,
    },
    /// A balancer has taken the announcement: flows may be served under this incarnation.
    ///
    /// It comes again where a higher incarnation turns out to be known; flows and bindings of
    /// the one before then belong to nobody.
    Serve(Incarnation),
    /// The service's configuration changed.
    ServiceChanged(Arc<Service>),
    /// Other agents of the service, a sample where there are many.
    PeersChanged(Vec<AgentRecord>),
    /// What the agent says of itself changed, by its own word or the operator's.
    StateChanged(AgentState),
}
