use std::{str::FromStr, sync::Arc, time::Duration};

use super::{Action, EventError, parse};

/// A scheduled action of an experiment.
///
/// # Examples
///
/// ```
/// use arbutus_lab::events::{Action, Event, Node};
///
/// let event: Event = "3s kill balancer-1".parse().unwrap();
/// assert_eq!(event.at.as_secs(), 3);
/// assert_eq!(event.action, Action::Kill(Node::balancer(1)));
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// When the action takes place, as a time since the start of the load.
    pub at: Duration,
    /// The action.
    pub action: Action,
    /// The text from which the event was parsed.
    pub text: Arc<str>,
}

impl FromStr for Event {
    type Err = EventError;

    fn from_str(text: &str) -> Result<Self, EventError> {
        let mut words = text.split_ascii_whitespace();
        let at = parse::duration(&mut words)?;
        let action = parse::action(&mut words)?;
        match words.next() {
            None => Ok(Self {
                at,
                action,
                text: Arc::from(text),
            }),
            Some(word) => Err(EventError::TrailingWord(word.to_owned())),
        }
    }
}
