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

/// Refusals remembered until the QUIC endpoint asks for them.
const MAX_REFUSED: usize = 4_096;

/// What the tunnel does with a packet that may open a flow.
#[derive(Debug, Clone, Copy)]
pub(super) enum Verdict {
    /// The QUIC endpoint gets it.
    Deliver,
    /// Another agent gets it.
    PassOn(NextHop),
    /// Nobody gets it.
    Drop,
}

/// Flow admission, shared by the tunnel, the connections and the control task.
///
/// Lock order: `admission`, `refused`, `open`; none is held while another is waited for, and
/// actions are carried out with none held.
#[derive(Debug)]
pub(super) struct FlowDesk {
    admission: Mutex<FlowAdmission>,
    refused: Mutex<IndexSet<FlowKey>>,
    open: Mutex<IndexMap<FlowKey, quinn::Connection>>,
    control: ControlEndpoint,
    metrics: Arc<AgentMetrics>,
    counters: AdmissionCounters,
    drained: Notify,
    changed: Notify,
}

#[derive(Debug)]
struct AdmissionCounters {
    accepted: Counter,
    passed_on: Counter,
    refused_full: Counter,
    refused_draining: Counter,
    dropped: Counter,
}

impl FlowDesk {
    /// Makes the desk around `admission`.
    pub(super) fn new(
        admission: FlowAdmission,
        control: ControlEndpoint,
        metrics: Arc<AgentMetrics>,
    ) -> Self {
        let counters = AdmissionCounters::new(&metrics);
        Self {
            admission: Mutex::new(admission),
            refused: Mutex::default(),
            open: Mutex::default(),
            control,
            metrics,
            counters,
            drained: Notify::new(),
            changed: Notify::new(),
        }
    }

    /// Decides on a packet that may open a flow.
    pub(super) fn first_packet(&self, packet: &FirstPacket<'_>) -> Verdict {
        let admission = self.admission.lock().on_first_packet(packet, clock::now());
        match admission {
            Admission::Accept => {
                self.counters.accepted.inc();
                Verdict::Deliver
            }
            Admission::PassOn(hop) => {
                self.counters.passed_on.inc();
                Verdict::PassOn(hop)
            }
            Admission::Refuse(refusal) => {
                self.counters.refusal(refusal).inc();
                self.remember_refusal(packet);
                Verdict::Deliver
            }
            Admission::Drop(_) => {
                self.counters.dropped.inc();
                Verdict::Drop
            }
        }
    }

    /// Whether the flow was refused; asked once.
    pub(super) fn take_refusal(&self, flow: &FlowKey) -> bool {
        self.refused.lock().swap_remove(flow)
    }

    /// Feeds `event` to the decisions and carries out what they ask for.
    pub(super) fn handle(&self, event: Event) {
        let actions = self.admission.lock().handle(event, clock::now());
        for action in actions {
            self.act(action);
        }
        self.changed.notify_one();
    }

    /// Notes that `flow` has an open connection.
    pub(super) fn opened(&self, flow: FlowKey, connection: quinn::Connection) {
        let count = {
            let mut open = self.open.lock();
            open.insert(flow, connection);
            open.len()
        };
        self.show_connections(count);
        self.handle(Event::Opened(flow));
    }

    /// Notes that a request of `flow` has come.
    pub(super) fn requested(&self, flow: FlowKey) {
        self.handle(Event::Requested(flow));
    }

    /// Notes that the connection of `flow` has ended.
    pub(super) fn closed(&self, flow: FlowKey) {
        let count = {
            let mut open = self.open.lock();
            open.swap_remove(&flow);
            open.len()
        };
        self.show_connections(count);
        self.handle(Event::Closed(flow));
    }

    /// Feeds time to the decisions until the process ends.
    pub(super) async fn run_timer(self: Arc<Self>) {
        loop {
            let at = self.admission.lock().next_wakeup();
            let wait = at.since(clock::now());
            if wait.is_zero() {
                self.handle(Event::Tick);
                // A wake-up that is due at once must not keep the worker from others.
                tokio::task::yield_now().await;
                continue;
            }
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    /// Invariants that did not hold.
    pub(super) fn invariant_violations(&self) -> u64 {
        self.admission.lock().counters().invariant_violations
    }

    /// Waits until the last flow has ended after a drain or stop.
    pub(super) async fn drained(&self) {
        self.drained.notified().await;
    }

    fn show_connections(&self, count: usize) {
        let count = count.try_into().unwrap_or(i64::MAX);
        self.metrics.connections.set(count);
    }

    fn act(&self, action: Action) {
        match action {
            Action::Report {
                control, report, ..
            } => {
                let mut buf = Vec::new();
                report.encode(&mut buf);
                self.send(control, &Envelope::LoadReport(Bytes::from(buf)));
            }
            Action::Close(flow) => {
                let connection = self.open.lock().get(&flow).cloned();
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

    fn remember_refusal(&self, packet: &FirstPacket<'_>) {
        let Some(flow) = FlowKey::new(packet.header.endpoints.source, packet.dcid) else {
            return;
        };
        let mut refused = self.refused.lock();
        if refused.len() >= MAX_REFUSED {
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
