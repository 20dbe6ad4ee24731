use std::{net::SocketAddrV4, sync::Arc};

use arbutus_core::{
    flow::{Action, Admission, Event, FirstPacket, FlowAdmission, FlowKey, Refusal},
    route::NextHop,
};
use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;
use prometheus_client::metrics::counter::Counter;
use tokio::sync::Notify;

use crate::{
    clock,
    control::{ControlEndpoint, Envelope},
    metrics::{AgentMetrics, ReasonLabel},
};

/// Maximum number of refused flows recorded until the QUIC endpoint looks them up.
///
/// When the limit is reached, the record is cleared.
const MAX_PENDING_REFUSALS: usize = 4_096;

/// The decision on a packet that may open a flow.
#[derive(Debug, Clone, Copy)]
pub(super) enum FirstPacketDecision {
    /// Deliver the packet to the QUIC endpoint.
    Deliver,
    /// Forward the packet to another agent.
    PassOn(NextHop),
    /// Drop the packet.
    Drop,
}

/// Drives flow admission for the tunnel, the connections and the control task.
///
/// Lock order: `admission`, `refused`, `connections`. No lock is held while another is acquired,
/// and actions are performed with no lock held.
#[derive(Debug)]
pub(super) struct FlowDriver {
    admission: Mutex<FlowAdmission>,
    /// Refused flows whose connection attempt the QUIC endpoint has yet to reject.
    refused: Mutex<IndexSet<FlowKey>>,
    /// The open connection of each flow.
    connections: Mutex<IndexMap<FlowKey, quinn::Connection>>,
    control: ControlEndpoint,
    metrics: Arc<AgentMetrics>,
    counters: AdmissionCounters,
    drained: Notify,
    /// Wakes the timer task, because the next wake-up time may have changed.
    wakeup_changed: Notify,
}

/// One counter per admission decision.
#[derive(Debug)]
struct AdmissionCounters {
    accepted: Counter,
    passed_on: Counter,
    refused_full: Counter,
    refused_draining: Counter,
    dropped: Counter,
}

impl FlowDriver {
    /// Creates the driver of `admission`.
    pub(super) fn new(
        admission: FlowAdmission,
        control: ControlEndpoint,
        metrics: Arc<AgentMetrics>,
    ) -> Self {
        let counters = AdmissionCounters::new(&metrics);
        Self {
            admission: Mutex::new(admission),
            refused: Mutex::default(),
            connections: Mutex::default(),
            control,
            metrics,
            counters,
            drained: Notify::new(),
            wakeup_changed: Notify::new(),
        }
    }

    /// Decides on a packet that may open a flow.
    pub(super) fn on_first_packet(&self, packet: &FirstPacket<'_>) -> FirstPacketDecision {
        let admission = self.admission.lock().on_first_packet(packet, clock::now());
        match admission {
            Admission::Accept => {
                self.counters.accepted.inc();
                FirstPacketDecision::Deliver
            }
            Admission::PassOn(hop) => {
                self.counters.passed_on.inc();
                FirstPacketDecision::PassOn(hop)
            }
            Admission::Refuse(refusal) => {
                self.counters.refusal(refusal).inc();
                self.record_refusal(packet);
                FirstPacketDecision::Deliver
            }
            Admission::Drop(_) => {
                self.counters.dropped.inc();
                FirstPacketDecision::Drop
            }
        }
    }

    /// Returns whether `flow` was refused, and removes the refusal.
    pub(super) fn take_refusal(&self, flow: &FlowKey) -> bool {
        self.refused.lock().swap_remove(flow)
    }

    /// Passes `event` to the admission state machine and performs the resulting actions.
    pub(super) fn handle(&self, event: Event) {
        let actions = self.admission.lock().handle(event, clock::now());
        for action in actions {
            self.perform(action);
        }
        self.wakeup_changed.notify_one();
    }

    /// Records the open connection of `flow`.
    pub(super) fn on_opened(&self, flow: FlowKey, connection: quinn::Connection) {
        let count = {
            let mut connections = self.connections.lock();
            connections.insert(flow, connection);
            connections.len()
        };
        self.update_connection_gauge(count);
        self.handle(Event::Opened(flow));
    }

    /// Records that a request has arrived on `flow`.
    pub(super) fn on_request(&self, flow: FlowKey) {
        self.handle(Event::Requested(flow));
    }

    /// Records that the connection of `flow` has ended.
    pub(super) fn on_closed(&self, flow: FlowKey) {
        let count = {
            let mut connections = self.connections.lock();
            connections.swap_remove(&flow);
            connections.len()
        };
        self.update_connection_gauge(count);
        self.handle(Event::Closed(flow));
    }

    /// Passes ticks to the admission state machine; never returns.
    pub(super) async fn run_timer(self: Arc<Self>) {
        loop {
            let at = self.admission.lock().next_wakeup();
            let wait = at.since(clock::now());
            if wait.is_zero() {
                self.handle(Event::Tick);
                // Yields, so that repeated immediate wake-ups cannot starve other tasks.
                tokio::task::yield_now().await;
                continue;
            }
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.wakeup_changed.notified() => {}
            }
        }
    }

    /// Returns the number of invariant violations seen so far.
    pub(super) fn invariant_violations(&self) -> u64 {
        self.admission.lock().counters().invariant_violations
    }

    /// Waits until the last flow has ended after a drain or stop.
    pub(super) async fn drained(&self) {
        self.drained.notified().await;
    }

    fn update_connection_gauge(&self, count: usize) {
        let count = count.try_into().unwrap_or(i64::MAX);
        self.metrics.connections.set(count);
    }

    fn perform(&self, action: Action) {
        match action {
            Action::Report {
                control, report, ..
            } => {
                let mut buf = Vec::new();
                report.encode(&mut buf);
                self.send(control, &Envelope::LoadReport(Bytes::from(buf)));
            }
            Action::Close(flow) => {
                let connection = self.connections.lock().get(&flow).cloned();
                if let Some(connection) = connection {
                    connection.close(0_u32.into(), b"not admitted");
                }
            }
            Action::Drained => self.drained.notify_one(),
        }
    }

    fn send(&self, to: SocketAddrV4, envelope: &Envelope) {
        self.control.send(to, envelope.encode());
    }

    fn record_refusal(&self, packet: &FirstPacket<'_>) {
        let Some(flow) = FlowKey::new(packet.header.endpoints.source, packet.dcid) else {
            return;
        };
        let mut refused = self.refused.lock();
        if refused.len() >= MAX_PENDING_REFUSALS {
            refused.clear();
        }
        refused.insert(flow);
    }
}

impl AdmissionCounters {
    fn new(metrics: &AgentMetrics) -> Self {
        let counter = |reason| {
            let label = ReasonLabel { reason };
            metrics.admissions.get_or_create(&label).clone()
        };
        Self {
            accepted: counter("accepted"),
            passed_on: counter("passed-on"),
            refused_full: counter("refused-full"),
            refused_draining: counter("refused-draining"),
            dropped: counter("dropped"),
        }
    }

    const fn refusal(&self, refusal: Refusal) -> &Counter {
        match refusal {
            Refusal::Full => &self.refused_full,
            Refusal::Draining => &self.refused_draining,
        }
    }
}
