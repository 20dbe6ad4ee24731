use std::time::Duration;

use crate::events::{Action, Event, Node};

/// One thing to do in the course of an experiment.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Step {
    /// What the command line asks for.
    Act(Action),
    /// A paused node goes on.
    Resume(Node),
    /// The operator makes an ordinary change.
    Change,
}

/// All steps of an experiment in the order of time, with the ordinary change that each one has.
pub(super) fn steps(events: &[Event], duration: Duration) -> Vec<(Duration, Step)> {
    let mut steps = vec![(duration / 10, Step::Change)];
    for event in events {
        steps.push((event.at, Step::Act(event.action.clone())));
        if let Action::Pause(node, span) = &event.action {
            steps.push((event.at + *span, Step::Resume(*node)));
        }
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}
