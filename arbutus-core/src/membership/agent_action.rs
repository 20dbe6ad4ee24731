use std::{net::SocketAddrV4, sync::Arc};

use crate::{
    config::Service,
    ident::Incarnation,
    roster::{AgentRecord, AgentState},
};

/// An action that an agent's state machine requests.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentAction {
    /// Send a message, which may be lost.
    Send {
        /// The receiver's control address.
        to: SocketAddrV4,
        /// The encoded message.
        payload: Vec<u8>,
    },
    /// A balancer has accepted the agent's record: flows may be served under this incarnation.
    ///
    /// The action is repeated with a higher incarnation if a balancer turns out to hold one for the
    /// agent's address. Flows and bindings of the previous incarnation then have no owner anymore.
    Serve(Incarnation),
    /// The configuration of the agent's service changed.
    ServiceChanged(Arc<Service>),
    /// The list of other agents of the service changed; a sample if there are many.
    PeersChanged(Vec<AgentRecord>),
    /// The agent's announced state changed, as requested by the agent or by the operator.
    StateChanged(AgentState),
}
