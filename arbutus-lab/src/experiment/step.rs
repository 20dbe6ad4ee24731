use std::time::Duration;

use crate::events::{Action, Event, Node};

/// Step of an experiment.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Step {
    /// The action of an event on the command line.
    Act(Action),
    /// A paused node is resumed.
    Resume(Node),
    /// The operator makes an ordinary configuration change.
    Change,
}

/// Returns all steps of an experiment ordered by time.
///
/// Every experiment includes one ordinary configuration change after a tenth of its duration.
pub(super) fn steps(events: &[Event], duration: Duration) -> Vec<(Duration, Step)> {
    let mut steps = vec![(duration / 10, Step::Change)];
    for event in events {
        steps.push((event.at, Step::Act(event.action.clone())));
        if let Action::Pause(node, pause) = &event.action {
            steps.push((event.at + *pause, Step::Resume(*node)));
        }
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}
