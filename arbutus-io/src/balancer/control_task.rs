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

/// Feeds the balancer's control machine and carries out what it asks for.
pub(super) struct ControlTask {
    /// Shared with the admin port, which only reads; this task alone changes it.
    node: Arc<Mutex<BalancerNode>>,
    data_path: Arc<DataPath>,
    control: ControlEndpoint,
    store: mpsc::Sender<StoreRead>,
    metrics: Arc<BalancerMetrics>,
    stop: Arc<Notify>,
    /// Violations already counted in the metrics.
    violations: u64,
}

impl ControlTask {
    /// Makes the task around `node`.
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
            violations: 0,
        }
    }

    /// Told when the balancer is to leave.
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
                    Some(event) => from_control(event),
                    None => return,
                },
                answer = answers.recv() => match answer {
                    Some(answer) => Some(answer),
                    None => return,
                },
                () = stop.notified() => {
                    let actions = self.node.lock().leave(clock::now());
                    self.act_all(actions);
                    None
                }
                () = tokio::time::sleep(wait.max(MIN_WAIT)) => Some(BalancerEvent::Tick),
            };
            if let Some(event) = event {
                let actions = self.node.lock().handle(event, clock::now());
                self.act_all(actions);
            }
            self.count_violations();
        }
    }

    fn act_all(&mut self, actions: Vec<BalancerAction>) {
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: BalancerAction) {
        match action {
            BalancerAction::Send { to, payload } => {
                let envelope = Envelope::Membership(Bytes::from(payload));
                self.control.send(to, envelope.encode());
            }
            BalancerAction::RosterChanged(tags) => self.rebuild_some(&tags),
            BalancerAction::ConfigInForce(snapshot) => self.rebuild_all(&snapshot),
            BalancerAction::ReadStore(read) => {
                if self.store.try_send(read).is_err() {
                    // The machine asks for one read at a time, so that this cannot be.
                    self.metrics.control.invariant_violations.inc();
                }
            }
        }
    }

    fn rebuild_all(&self, snapshot: &Snapshot) {
        let version = snapshot.version.get();
        let table = {
            let node = self.node.lock();
            RouteTable::build(snapshot, live_agents(node.roster(), snapshot))
        };
        self.data_path.set_table(table);
        self.metrics
            .control
            .config_version
            .set(version.try_into().unwrap_or(i64::MAX));
        self.count_ready();
        tracing::info!(
            version,
            services = snapshot.services.len(),
            "config_in_force"
        );
    }

    fn rebuild_some(&self, tags: &[ServiceTag]) {
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
        self.count_ready();
        tracing::debug!(services = tags.len(), "routes_changed");
    }

    fn count_ready(&self) {
        let table = self.data_path.table();
        let ready: usize = table.iter().map(|route| route.agents().len()).sum();
        self.metrics
            .agents_ready
            .set(ready.try_into().unwrap_or(i64::MAX));
    }

    fn count_violations(&mut self) {
        let seen = self.node.lock().invariant_violations();
        if seen > self.violations {
            let more = seen - self.violations;
            self.metrics.control.invariant_violations.inc_by(more);
            tracing::error!(more, "invariant_violated");
            self.violations = seen;
        }
    }
}

/// Shortest time between two ticks, so that the task cannot spin.
const MIN_WAIT: Duration = Duration::from_millis(1);

fn live_agents<'a>(
    roster: &'a Roster,
    snapshot: &'a Snapshot,
) -> impl Iterator<Item = &'a arbutus_core::roster::AgentRecord> {
    snapshot
        .services
        .keys()
        .flat_map(|tag| roster.candidates(*tag))
}

fn from_control(event: ControlEvent) -> Option<BalancerEvent> {
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
