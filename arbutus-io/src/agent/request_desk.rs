use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use arbutus_core::{
    flow,
    request::{Action, Event, RequestHead, RequestId, RequestMachine},
};
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc};

use super::flow_desk::FlowDesk;
use crate::{
    clock,
    metrics::{AgentMetrics, OutcomeLabel},
};

/// Request admission, shared by the tasks of all requests.
///
/// Lock order: `state`, and nothing under it; the flow desk is told with no lock held.
#[derive(Debug)]
pub(super) struct RequestDesk {
    state: Mutex<State>,
    flows: Arc<FlowDesk>,
    metrics: Arc<AgentMetrics>,
    next: AtomicU64,
    changed: Notify,
    idle: Notify,
}

#[derive(Debug)]
struct State {
    machine: RequestMachine,
    /// Where the actions of each request go, while its task runs.
    tasks: IndexMap<RequestId, mpsc::UnboundedSender<Action>>,
}

/// A request's own end of the desk.
#[derive(Debug)]
pub(super) struct Ticket {
    /// The request.
    pub(super) id: RequestId,
    /// What the decisions want done about it.
    pub(super) actions: mpsc::UnboundedReceiver<Action>,
}

impl RequestDesk {
    /// Makes the desk around `machine`.
    pub(super) fn new(
        machine: RequestMachine,
        flows: Arc<FlowDesk>,
        metrics: Arc<AgentMetrics>,
    ) -> Self {
        Self {
            state: Mutex::new(State {
                machine,
                tasks: IndexMap::new(),
            }),
            flows,
            metrics,
            next: AtomicU64::new(1),
            changed: Notify::new(),
            idle: Notify::new(),
        }
    }

    /// Takes in a request that has come whole.
    pub(super) fn arrive(&self, head: RequestHead) -> Ticket {
        let id = RequestId::new(self.next.fetch_add(1, Ordering::Relaxed));
        let (tx, actions) = mpsc::unbounded_channel();
        self.state.lock().tasks.insert(id, tx);
        self.handle(Event::Arrived { request: id, head });
        Ticket { id, actions }
    }

    /// Forgets a request whose task ends.
    pub(super) fn leave(&self, id: RequestId) {
        let idle = {
            let mut state = self.state.lock();
            state.tasks.swap_remove(&id);
            state.tasks.is_empty()
        };
        if idle {
            self.idle.notify_one();
        }
    }

    /// Feeds `event` to the decisions and hands their actions to the tasks.
    pub(super) fn handle(&self, event: Event) {
        let (running, queued, free_slots) = {
            let mut state = self.state.lock();
            let actions = state.machine.handle(event, clock::now());
            for action in actions {
                state.deliver(action);
            }
            let queued = u32::try_from(state.machine.queued()).unwrap_or(u32::MAX);
            (
                state.machine.slots_in_use(),
                queued,
                state.machine.free_slots(),
            )
        };
        self.metrics
            .in_flight
            .set(i64::from(running) + i64::from(queued));
        self.flows.handle(flow::Event::Requests { running, queued });
        self.flows.handle(flow::Event::FreeSlots(free_slots));
        self.changed.notify_one();
    }

    /// Notes that the backend server has shed a request.
    pub(super) fn note_shed(&self) {
        self.flows.handle(flow::Event::Shed);
    }

    /// Counts how a request ended.
    pub(super) fn count(&self, outcome: &'static str) {
        self.metrics
            .requests
            .get_or_create(&OutcomeLabel { outcome })
            .inc();
    }

    /// Feeds time to the decisions until the process ends.
    pub(super) async fn run_timer(self: Arc<Self>) {
        loop {
            let at = self.state.lock().machine.next_wakeup();
            let wait = at.map(|at| at.since(clock::now()));
            match wait {
                Some(wait) if wait.is_zero() => {
                    self.handle(Event::Tick);
                    tokio::task::yield_now().await;
                }
                Some(wait) => {
                    tokio::select! {
                        () = tokio::time::sleep(wait) => self.handle(Event::Tick),
                        () = self.changed.notified() => {}
                    }
                }
                None => self.changed.notified().await,
            }
        }
    }

    /// Waits until no request's task is left.
    pub(super) async fn idle(&self) {
        while !self.state.lock().tasks.is_empty() {
            self.idle.notified().await;
        }
    }

    /// Invariants that did not hold.
    pub(super) fn invariant_violations(&self) -> u64 {
        self.state.lock().machine.counters().invariant_violations
    }
}

impl State {
    fn deliver(&mut self, action: Action) {
        let id = match &action {
            Action::Connect { attempt }
            | Action::Send { attempt, .. }
            | Action::HandOver { attempt, .. }
            | Action::PassOn { attempt, .. }
            | Action::Relay { attempt, .. }
            | Action::Cancel { attempt } => attempt.request,
            Action::Finish { request }
            | Action::Abort { request }
            | Action::Answer { request, .. } => *request,
        };
        if let Some(tx) = self.tasks.get(&id) {
            let _ = tx.send(action);
        }
    }
}
