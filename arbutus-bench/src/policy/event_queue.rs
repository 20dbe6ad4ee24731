use std::{cmp::Reverse, collections::BinaryHeap};

use arbutus_core::{flow::LoadReport, time::Timestamp};

use super::node::Request;

/// An event of a run.
#[derive(Debug, Clone, Copy)]
pub(super) enum SimEvent {
    /// A caller opens a flow.
    FlowOpened,
    /// The first packet of a flow arrives at an agent.
    FirstPacket { node: usize, flow: usize },
    /// A flow makes its next request.
    Request { flow: usize },
    /// A request that another agent passed on arrives at an agent.
    RequestPassed { node: usize, request: Request },
    /// A backend server completes a request.
    RequestDone { node: usize, request: Request },
    /// An agent receives a load report.
    Report { node: usize, report: LoadReport },
    /// An agent receives a credit to pass one request on to `from`.
    Credit { node: usize, from: usize },
    /// The timer of an agent expires.
    Wakeup { node: usize },
    /// The in-flight requests of all agents are sampled.
    Sample,
    /// The fault of the run is injected.
    Fault,
    /// Balancers and agents receive a new roster.
    RosterUpdate,
}

#[derive(Debug)]
struct Entry {
    at: Timestamp,
    /// Keeps events of the same time in the order in which they were pushed.
    sequence: u64,
    event: SimEvent,
}

/// Pending events of a run, in the order of their time.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    entries: BinaryHeap<Reverse<Entry>>,
    next_sequence: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub(super) fn push(&mut self, at: Timestamp, event: SimEvent) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.entries.push(Reverse(Entry {
            at,
            sequence,
            event,
        }));
    }

    /// Removes the next event and returns it with its time.
    pub(super) fn pop(&mut self) -> Option<(Timestamp, SimEvent)> {
        let Reverse(entry) = self.entries.pop()?;
        Some((entry.at, entry.event))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
