use std::{cmp::Reverse, collections::BinaryHeap};

use arbutus_core::{flow::LoadReport, time::Timestamp};

use super::node::Request;

/// Something that happens in a run.
#[derive(Debug, Clone, Copy)]
pub(super) enum SimEvent {
    /// A caller opens a flow.
    FlowOpened,
    /// The first packet of a flow comes to an agent.
    FirstPacket { node: usize, flow: usize },
    /// A flow makes its next request.
    Request { flow: usize },
    /// A request is passed_on from the agent of its flow to another.
    RequestPassed { node: usize, request: Request },
    /// A backend server has answered.
    RequestDone { node: usize, request: Request },
    /// An agent gets a load report.
    Report { node: usize, report: LoadReport },
    /// An agent gets leave to hand one request to `from`.
    Credit { node: usize, from: usize },
    /// An agent wanted to be called.
    Wakeup { node: usize },
    /// Request in hand is sampled.
    Sample,
    /// The run's fault strikes.
    Fault,
    /// Balancers and agents learn of the fault.
    RosterUpdate,
}

#[derive(Debug)]
struct Entry {
    at: Timestamp,
    /// Keeps the order of steps at the same time.
    sequence: u64,
    event: SimEvent,
}

/// The steps of a run in the order of their time.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    entries: BinaryHeap<Reverse<Entry>>,
    next_sequence: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Timestamp, event: SimEvent) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.entries.push(Reverse(Entry {
            at,
            sequence,
            event,
        }));
    }

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
