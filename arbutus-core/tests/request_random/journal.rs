//! What callers and backend servers recorded on their own side.

use std::collections::{BTreeMap, BTreeSet};

use arbutus_core::{
    request::{Attempt, Outcome, RequestId},
    time::Timestamp,
};

/// One process of an agent: its place and which life it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Life {
    pub place: usize,
    pub number: u32,
}

/// One try of a caller: everything that the system does for it carries its number.
pub type CallId = usize;

/// A caller's try.
#[derive(Debug, Clone)]
pub struct Call {
    /// Number of the key; none for a read.
    pub key: Option<usize>,
    pub token: Option<String>,
}

/// The record that the promises are checked against.
#[derive(Debug, Default)]
pub struct Journal {
    pub calls: Vec<Call>,
    /// Runs of each key, by the call that caused it.
    runs: BTreeMap<usize, Vec<CallId>>,
    ran_calls: BTreeSet<CallId>,
    not_run_calls: BTreeSet<CallId>,
    /// Keys told not to have run, with the binding they were sent under.
    closed: BTreeSet<(usize, String)>,
    open: BTreeMap<(Life, RequestId), Timestamp>,
    settled: BTreeSet<(Life, RequestId)>,
    slots: BTreeMap<Life, BTreeSet<Attempt>>,
}

impl Journal {
    /// The backend server runs a call's request.
    pub fn run(&mut self, call: CallId) {
        let Call { key, token } = self.calls[call].clone();
        assert!(
            !self.not_run_calls.contains(&call),
            "call {call} was told not-run, but runs"
        );
        self.ran_calls.insert(call);
        let Some(key) = key else { return };
        let token = token.expect("a key never runs without a binding");
        assert!(
            !self.closed.contains(&(key, token)),
            "key {key} was told not-run, but runs"
        );
        let runs = self.runs.entry(key).or_default();
        runs.push(call);
        assert!(runs.len() <= 1, "key {key} runs twice: calls {runs:?}");
    }

    /// An agent takes a request with this deadline.
    pub fn arrive(&mut self, life: Life, request: RequestId, deadline: Timestamp) {
        assert!(self.open.insert((life, request), deadline).is_none());
    }

    /// An agent settles a request.
    pub fn settle(&mut self, life: Life, request: RequestId) {
        assert!(
            self.open.remove(&(life, request)).is_some(),
            "{request:?} had no open place"
        );
        assert!(
            self.settled.insert((life, request)),
            "{request:?} was settled twice"
        );
    }

    /// A request's caller no longer wants it.
    pub fn cancel(&mut self, life: Life, request: RequestId) {
        if self.open.remove(&(life, request)).is_some() {
            self.settled.insert((life, request));
        }
    }

    /// The caller's own agent says what became of a call.
    pub fn tell(&mut self, call: CallId, outcome: Outcome) {
        let Call { key, token } = self.calls[call].clone();
        match outcome {
            Outcome::NotRun => {
                assert!(
                    !self.ran_calls.contains(&call),
                    "call {call} ran, told not-run"
                );
                self.not_run_calls.insert(call);
                if let (Some(key), Some(token)) = (key, token) {
                    assert!(
                        !self.has_run_under(key, &token),
                        "key {key} ran, told not-run"
                    );
                    self.closed.insert((key, token));
                }
            }
            Outcome::Ran => match key {
                Some(key) => assert!(self.runs.contains_key(&key), "key {key} told ran"),
                None => assert!(self.ran_calls.contains(&call), "call {call} told ran"),
            },
            Outcome::Unknown => {}
        }
    }

    fn has_run_under(&self, key: usize, token: &str) -> bool {
        let runs = self.runs.get(&key).map_or(&[][..], Vec::as_slice);
        runs.iter()
            .any(|call| self.calls[*call].token.as_deref() == Some(token))
    }

    pub fn take_slot(&mut self, life: Life, attempt: Attempt, bound: u32) {
        let slots = self.slots.entry(life).or_default();
        slots.insert(attempt);
        assert!(
            slots.len() <= bound as usize,
            "{slots:?} pass {bound} slots"
        );
    }

    pub fn free_slot(&mut self, life: Life, attempt: Attempt) {
        if let Some(slots) = self.slots.get_mut(&life) {
            slots.remove(&attempt);
        }
    }

    pub fn slots_held(&self, life: Life) -> usize {
        self.slots.get(&life).map_or(0, BTreeSet::len)
    }

    /// No request of `life` is open past its deadline.
    pub fn check_deadlines(&self, life: Life, now: Timestamp) {
        let late = self
            .open
            .iter()
            .find(|((of, _), at)| *of == life && **at <= now);
        assert!(
            late.is_none(),
            "{late:?} is open past its deadline at {now:?}"
        );
    }

    /// A killed process's requests have no more outcome.
    pub fn bury(&mut self, life: Life) {
        self.open.retain(|(of, _), _| *of != life);
        self.slots.remove(&life);
    }

    pub fn open_of(&self, life: Life) -> usize {
        self.open.keys().filter(|(of, _)| *of == life).count()
    }
}
