use std::sync::Arc;

use arbutus_core::flow::FlowKey;

use super::flow_driver::FlowDriver;

/// A handle to an admitted flow; dropping it reports the flow as closed.
///
/// Displays as the hexadecimal connection ID that names the flow in log lines.
#[derive(Debug)]
pub(super) struct FlowHandle {
    flows: Arc<FlowDriver>,
    key: FlowKey,
}

impl FlowHandle {
    /// Creates the handle of an accepted flow.
    pub(super) const fn new(flows: Arc<FlowDriver>, key: FlowKey) -> Self {
        Self { flows, key }
    }

    /// Records that the handshake is complete.
    pub(super) fn on_opened(&self, connection: quinn::Connection) {
        self.flows.on_opened(self.key, connection);
    }

    /// Records that a request has arrived on the flow.
    pub(super) fn on_request(&self) {
        self.flows.on_request(self.key);
    }
}

impl Drop for FlowHandle {
    fn drop(&mut self) {
        self.flows.on_closed(self.key);
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
