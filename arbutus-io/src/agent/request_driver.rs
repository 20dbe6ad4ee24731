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

use super::flow_driver::FlowDriver;
use crate::{
    clock,
    metrics::{AgentMetrics, OutcomeLabel},
};

/// Drives the request state machine for the tasks of all requests.
///
/// Lock order: no other lock is acquired while `state` is held; in particular, events are passed to
/// the flow driver after it has been released.
#[derive(Debug)]
pub(super) struct RequestDriver {
    state: Mutex<State>,
    flows: Arc<FlowDriver>,
    metrics: Arc<AgentMetrics>,
    next_id: AtomicU64,
    /// Wakes the timer task, because the next wake-up time may have changed.
    wakeup_changed: Notify,
    /// Signalled when the last request task has ended.
    idle: Notify,
}

#[derive(Debug)]
struct State {
    machine: RequestMachine,
    /// The action channel of each request whose task is running.
    tasks: IndexMap<RequestId, mpsc::UnboundedSender<Action>>,
}

/// The request task's connection to the driver.
#[derive(Debug)]
pub(super) struct RequestHandle {
    /// The request's ID.
    pub(super) id: RequestId,
    /// Actions that the request's task has to perform.
    pub(super) actions: mpsc::UnboundedReceiver<Action>,
}

impl RequestDriver {
    /// Creates the driver of `machine`.
    pub(super) fn new(
        machine: RequestMachine,
        flows: Arc<FlowDriver>,
        metrics: Arc<AgentMetrics>,
    ) -> Self {
        Self {
            state: Mutex::new(State {
                machine,
                tasks: IndexMap::new(),
            }),
            flows,
            metrics,
            next_id: AtomicU64::new(1),
            wakeup_changed: Notify::new(),
            idle: Notify::new(),
        }
    }

    /// Registers a request that has been received completely.
    pub(super) fn register(&self, head: RequestHead) -> RequestHandle {
        let id = RequestId::new(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (tx, actions) = mpsc::unbounded_channel();
        self.state.lock().tasks.insert(id, tx);
        self.handle(Event::Arrived { request: id, head });
        RequestHandle { id, actions }
    }

    /// Removes a request whose task is about to end.
    pub(super) fn unregister(&self, id: RequestId) {
        let is_idle = {
            let mut state = self.state.lock();
            state.tasks.swap_remove(&id);
            state.tasks.is_empty()
        };
        if is_idle {
            self.idle.notify_one();
        }
    }

    /// Passes `event` to the state machine and the resulting actions to the request tasks.
    ///
    /// Also reports the new load to flow admission.
    pub(super) fn handle(&self, event: Event) {
        let (running, queued, free_slots) = {
            let mut state = self.state.lock();
            let actions = state.machine.handle(event, clock::now());
            for action in actions {
                state.dispatch(action);
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
        self.wakeup_changed.notify_one();
    }

    /// Records that the backend server has shed a request.
    pub(super) fn record_shed(&self) {
        self.flows.handle(flow::Event::Shed);
    }

    /// Counts a request that ended with `outcome`.
    pub(super) fn count_outcome(&self, outcome: &'static str) {
        self.metrics
            .requests
            .get_or_create(&OutcomeLabel { outcome })
            .inc();
    }

    /// Passes ticks to the state machine; never returns.
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
                        () = self.wakeup_changed.notified() => {}
                    }
                }
                None => self.wakeup_changed.notified().await,
            }
        }
    }

    /// Waits until all request tasks have ended.
    pub(super) async fn wait_idle(&self) {
        while !self.state.lock().tasks.is_empty() {
            self.idle.notified().await;
        }
    }

    /// Returns the number of invariant violations seen so far.
    pub(super) fn invariant_violations(&self) -> u64 {
        self.state.lock().machine.counters().invariant_violations
    }
}

impl State {
    /// Sends `action` to the task of its request, if that task is still running.
    fn dispatch(&mut self, action: Action) {
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
