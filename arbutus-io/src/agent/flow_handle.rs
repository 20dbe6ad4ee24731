use std::sync::Arc;

use arbutus_core::flow::FlowKey;

use super::flow_desk::FlowDesk;

/// One flow at the desk; the flow is told closed when the handle is dropped.
#[derive(Debug)]
pub(super) struct FlowHandle {
    desk: Arc<FlowDesk>,
    key: FlowKey,
}

impl FlowHandle {
    /// Makes the handle of an accepted flow.
    pub(super) const fn new(desk: Arc<FlowDesk>, key: FlowKey) -> Self {
        Self { desk, key }
    }

    /// Notes that the handshake is done.
    pub(super) fn opened(&self, connection: quinn::Connection) {
        self.desk.opened(self.key, connection);
    }

    /// Notes that a request has come.
    pub(super) fn requested(&self) {
        self.desk.requested(self.key);
    }
}

impl Drop for FlowHandle {
    fn drop(&mut self) {
        self.desk.closed(self.key);
    }
}

impl std::fmt::Display for FlowHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for byte in self.key.dcid() {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}
