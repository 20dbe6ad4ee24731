use std::{sync::Arc, time::Duration};

use arbutus_core::{
    config::Snapshot,
    config_sync::StoreRead,
    ident::ServiceTag,
    membership::{BalancerAction, BalancerEvent, BalancerNode},
    roster::Roster,
    route::{RouteTable, ServiceRoute},
};
use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc};

use super::DataPath;
use crate::{
    clock,
    control::{ControlEndpoint, ControlEvent, Envelope},
    metrics::BalancerMetrics,
};

/// Drives the balancer's membership state machine and performs the actions that it returns.
pub(super) struct ControlTask {
    /// Shared with the admin port, which only reads it; only this task changes it.
    node: Arc<Mutex<BalancerNode>>,
    data_path: Arc<DataPath>,
    control: ControlEndpoint,
    store: mpsc::Sender<StoreRead>,
    metrics: Arc<BalancerMetrics>,
    stop: Arc<Notify>,
    /// Number of invariant violations already added to the metrics.
    counted_violations: u64,
}

impl ControlTask {
    /// Creates the task that drives `node`.
    pub(super) fn new(
        node: Arc<Mutex<BalancerNode>>,
        data_path: Arc<DataPath>,
        control: ControlEndpoint,
        store: mpsc::Sender<StoreRead>,
        metrics: Arc<BalancerMetrics>,
    ) -> Self {
        Self {
            node,
            data_path,
            control,
            store,
            metrics,
            stop: Arc::new(Notify::new()),
            counted_violations: 0,
        }
    }

    /// Returns the handle that makes the balancer leave when it is notified.
    pub(super) fn stop_handle(&self) -> Arc<Notify> {
        self.stop.clone()
    }

    /// Runs until the process ends.
    pub(super) async fn run(
        mut self,
        mut events: mpsc::Receiver<ControlEvent>,
        mut answers: mpsc::Receiver<BalancerEvent>,
    ) {
        let stop = self.stop.clone();
        loop {
            let wait = self.node.lock().next_wakeup().since(clock::now());
            let event = tokio::select! {
                event = events.recv() => match event {
                    Some(event) => to_balancer_event(event),
                    None => return,
                },
                answer = answers.recv() => match answer {
                    Some(answer) => Some(answer),
                    None => return,
                },
                () = stop.notified() => {
                    let actions = self.node.lock().leave(clock::now());
                    self.perform_all(actions);
                    None
                }
                () = tokio::time::sleep(wait.max(MIN_TICK_INTERVAL)) => Some(BalancerEvent::Tick),
            };
            if let Some(event) = event {
                let actions = self.node.lock().handle(event, clock::now());
                self.perform_all(actions);
            }
            self.count_violations();
        }
    }

    fn perform_all(&mut self, actions: Vec<BalancerAction>) {
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: BalancerAction) {
        match action {
            BalancerAction::Send { to, payload } => {
                let envelope = Envelope::Membership(Bytes::from(payload));
                self.control.send(to, envelope.encode());
            }
            BalancerAction::RosterChanged(tags) => self.rebuild_routes(&tags),
            BalancerAction::ConfigInForce(snapshot) => self.rebuild_table(&snapshot),
            BalancerAction::ReadStore(read) => {
                if self.store.try_send(read).is_err() {
                    // The state machine requests one read at a time, so the queue is never full.
                    self.metrics.control.invariant_violations.inc();
                }
            }
        }
    }

    /// Rebuilds the whole route table for a new configuration.
    fn rebuild_table(&self, snapshot: &Snapshot) {
        let version = snapshot.version.get();
        let table = {
            let node = self.node.lock();
            RouteTable::build(snapshot, candidate_agents(node.roster(), snapshot))
        };
        self.data_path.set_table(table);
        self.metrics
            .control
            .config_version
            .set(version.try_into().unwrap_or(i64::MAX));
        self.update_ready_gauge();
        tracing::info!(
            version,
            services = snapshot.services.len(),
            "config_in_force"
        );
    }

    /// Rebuilds the routes of the services with `tags`.
    fn rebuild_routes(&self, tags: &[ServiceTag]) {
        let table = {
            let node = self.node.lock();
            let config = node.config();
            let services = tags.iter().filter_map(|tag| config.services.get(tag));
            let routes = services.map(|service| {
                ServiceRoute::build(service, node.roster().candidates(service.tag()))
            });
            self.data_path.table().with_routes(routes)
        };
        self.data_path.set_table(table);
        self.update_ready_gauge();
        tracing::debug!(services = tags.len(), "routes_changed");
    }

    fn update_ready_gauge(&self) {
        let table = self.data_path.table();
        let ready: usize = table.iter().map(|route| route.agents().len()).sum();
        self.metrics
            .agents_ready
            .set(ready.try_into().unwrap_or(i64::MAX));
    }

    fn count_violations(&mut self) {
        let total = self.node.lock().invariant_violations();
        if total > self.counted_violations {
            let more = total - self.counted_violations;
            self.metrics.control.invariant_violations.inc_by(more);
            tracing::error!(more, "invariant_violated");
            self.counted_violations = total;
        }
    }
}

/// Minimum time between two ticks; keeps the task from spinning.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);

/// Returns the candidate agents of all configured services.
fn candidate_agents<'a>(
    roster: &'a Roster,
    snapshot: &'a Snapshot,
) -> impl Iterator<Item = &'a arbutus_core::roster::AgentRecord> {
    snapshot
        .services
        .keys()
        .flat_map(|tag| roster.candidates(*tag))
}

/// Converts a control event; `None` if it does not concern a balancer.
fn to_balancer_event(event: ControlEvent) -> Option<BalancerEvent> {
    match event {
        ControlEvent::Message { from, bytes } => match Envelope::decode(&bytes)? {
            Envelope::Membership(body) => Some(BalancerEvent::Received {
                from,
                payload: body.to_vec(),
            }),
            Envelope::LoadReport(_) => None,
        },
        ControlEvent::Unreachable { address } => Some(BalancerEvent::Unreachable { peer: address }),
        ControlEvent::HandOver { connection } => {
            connection.close(1_u32.into(), b"not an agent");
            None
        }
    }
}
