//! The journal: what callers and backend servers record, independent of the agents.

use std::collections::{BTreeMap, BTreeSet};

use arbutus_core::{
    request::{Attempt, Outcome, RequestId},
    time::Timestamp,
};

/// A process of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessId {
    /// Index of the agent.
    pub index: usize,
    /// Number of the process, counted over all agents.
    pub number: u32,
}

/// The index of a call; everything done on behalf of a call carries it.
pub type CallId = usize;

/// An attempt of a caller.
#[derive(Debug, Clone)]
pub struct Call {
    /// Index of the key; `None` for a read.
    pub key: Option<usize>,
    pub token: Option<String>,
}

/// The record that the guarantees are checked against.
#[derive(Debug, Default)]
pub struct Journal {
    pub calls: Vec<Call>,
    /// Runs of each key, by the call that caused it.
    runs: BTreeMap<usize, Vec<CallId>>,
    ran_calls: BTreeSet<CallId>,
    not_run_calls: BTreeSet<CallId>,
    /// Keys that were answered `not-run`, with the binding they were sent under.
    closed: BTreeSet<(usize, String)>,
    open: BTreeMap<(ProcessId, RequestId), Timestamp>,
    settled: BTreeSet<(ProcessId, RequestId)>,
    slots: BTreeMap<ProcessId, BTreeSet<Attempt>>,
}

impl Journal {
    /// Records that the backend server runs the request of a call.
    pub fn record_run(&mut self, call: CallId) {
        let Call { key, token } = self.calls[call].clone();
        assert!(
            !self.not_run_calls.contains(&call),
            "call {call} runs after the answer not-run"
        );
        self.ran_calls.insert(call);
        let Some(key) = key else { return };
        let token = token.expect("a key runs only under a binding");
        assert!(
            !self.closed.contains(&(key, token)),
            "key {key} runs after the answer not-run"
        );
        let runs = self.runs.entry(key).or_default();
        runs.push(call);
        assert!(runs.len() <= 1, "key {key} runs twice: calls {runs:?}");
    }

    /// Records that an agent has received a request.
    pub fn record_arrival(&mut self, process: ProcessId, request: RequestId, deadline: Timestamp) {
        assert!(self.open.insert((process, request), deadline).is_none());
    }

    /// Records that an agent has settled a request.
    pub fn record_settled(&mut self, process: ProcessId, request: RequestId) {
        assert!(
            self.open.remove(&(process, request)).is_some(),
            "{request:?} was not open"
        );
        assert!(
            self.settled.insert((process, request)),
            "{request:?} was settled twice"
        );
    }

    /// Records that the caller has cancelled a request.
    pub fn record_cancelled(&mut self, process: ProcessId, request: RequestId) {
        if self.open.remove(&(process, request)).is_some() {
            self.settled.insert((process, request));
        }
    }

    /// Records the outcome of a call that the caller received.
    pub fn record_outcome(&mut self, call: CallId, outcome: Outcome) {
        let Call { key, token } = self.calls[call].clone();
        match outcome {
            Outcome::NotRun => {
                assert!(
                    !self.ran_calls.contains(&call),
                    "call {call} ran, but was answered not-run"
                );
                self.not_run_calls.insert(call);
                if let (Some(key), Some(token)) = (key, token) {
                    assert!(
                        !self.has_run_under(key, &token),
                        "key {key} ran, but was answered not-run"
                    );
                    self.closed.insert((key, token));
                }
            }
            Outcome::Ran => match key {
                Some(key) => assert!(
                    self.runs.contains_key(&key),
                    "key {key} was answered ran, but did not run"
                ),
                None => assert!(
                    self.ran_calls.contains(&call),
                    "call {call} was answered ran, but did not run"
                ),
            },
            Outcome::Unknown => {}
        }
    }

    fn has_run_under(&self, key: usize, token: &str) -> bool {
        let runs = self.runs.get(&key).map_or(&[][..], Vec::as_slice);
        runs.iter()
            .any(|call| self.calls[*call].token.as_deref() == Some(token))
    }

    pub fn take_slot(&mut self, process: ProcessId, attempt: Attempt, limit: u32) {
        let slots = self.slots.entry(process).or_default();
        slots.insert(attempt);
        assert!(
            slots.len() <= limit as usize,
            "{slots:?} exceed {limit} slots"
        );
    }

    pub fn free_slot(&mut self, process: ProcessId, attempt: Attempt) {
        if let Some(slots) = self.slots.get_mut(&process) {
            slots.remove(&attempt);
        }
    }

    pub fn slots_held(&self, process: ProcessId) -> usize {
        self.slots.get(&process).map_or(0, BTreeSet::len)
    }

    /// Checks that no request of `process` is open past its deadline.
    pub fn check_deadlines(&self, process: ProcessId, now: Timestamp) {
        let late = self
            .open
            .iter()
            .find(|((of, _), at)| *of == process && **at <= now);
        assert!(
            late.is_none(),
            "{late:?} is open past its deadline at {now:?}"
        );
    }

    /// Removes a killed process; its open requests get no outcome.
    pub fn remove_process(&mut self, process: ProcessId) {
        self.open.retain(|(of, _), _| *of != process);
        self.slots.remove(&process);
    }

    pub fn open_of(&self, process: ProcessId) -> usize {
        self.open.keys().filter(|(of, _)| *of == process).count()
    }
}
