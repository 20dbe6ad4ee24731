use std::{cmp::Reverse, collections::BinaryHeap};

use arbutus_core::{flow::LoadReport, time::Timestamp};

use super::node::Work;

/// Something that happens in a run.
#[derive(Debug, Clone, Copy)]
pub(super) enum Step {
    /// A caller opens a flow.
    Open,
    /// The first packet of a flow comes to an agent.
    First { node: usize, flow: usize },
    /// A flow makes its next request.
    Request { flow: usize },
    /// A request is handed from the agent of its flow to another.
    Hand { node: usize, work: Work },
    /// A backend server has answered.
    Done { node: usize, work: Work },
    /// An agent gets a load report.
    Report { node: usize, report: LoadReport },
    /// An agent gets leave to hand one request to `from`.
    Credit { node: usize, from: usize },
    /// An agent wanted to be called.
    Wake { node: usize },
    /// Work in hand is sampled.
    Sample,
    /// The run's fault strikes.
    Fault,
    /// Balancers and agents learn of the fault.
    Learn,
}

#[derive(Debug)]
struct Entry {
    at: Timestamp,
    /// Keeps the order of steps at the same time.
    number: u64,
    step: Step,
}

/// The steps of a run in the order of their time.
#[derive(Debug, Default)]
pub(super) struct Timeline {
    entries: BinaryHeap<Reverse<Entry>>,
    next_number: u64,
}

impl Timeline {
    pub(super) fn push(&mut self, at: Timestamp, step: Step) {
        let number = self.next_number;
        self.next_number += 1;
        self.entries.push(Reverse(Entry { at, number, step }));
    }

    pub(super) fn pop(&mut self) -> Option<(Timestamp, Step)> {
        let Reverse(entry) = self.entries.pop()?;
        Some((entry.at, entry.step))
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
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
