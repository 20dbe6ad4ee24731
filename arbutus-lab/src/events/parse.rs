use std::{fmt, str::SplitAsciiWhitespace, sync::Arc, time::Duration};

use super::{Action, Node, Role, StoreBehaviour, parse_duration};
use crate::{backend::Behaviour, fabric::LinkFaults};

/// The reason why a text is not an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventError {
    /// The text ends where this element was expected.
    Missing(&'static str),
    /// A word is not the expected element.
    Unexpected {
        /// The word that was found.
        word: String,
        /// The element that was expected in its place.
        expected: &'static str,
    },
    /// The text contains this word after a complete event.
    TrailingWord(String),
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(expected) => write!(f, "the event lacks {expected}"),
            Self::Unexpected { word, expected } => {
                write!(f, "expected {expected}, found `{word}`")
            }
            Self::TrailingWord(word) => write!(f, "unexpected `{word}` at the end of the event"),
        }
    }
}

impl std::error::Error for EventError {}

const ACTION: &str = "one of kill, stop, start, pause, drain, undrain, replace, cut, store, fabric, \
                      backend";
const NODE: &str = "a node like balancer-1 or agent-2";
const AGENT: &str = "an agent like agent-2";
const BACKEND: &str = "a backend server like backend-2";
const BEHAVIOUR: &str = "one of slow, cold, shed, late, short, crossed, lying, draining";
const STORE: &str = "one of down, hang, slow, silent-watch, lose-answer";
const LINKS: &str = "one of loss, delay, reorder, duplicate, for";
const DURATION: &str = "a duration like 2s or 250ms";
const DURATION_RANGE: &str = "a range of durations like 5ms..20ms";
const PERCENT: &str = "a percentage like 2%";
const DOMAIN: &str = "a failure domain";
const FOR: &str = "`for`";

type Words<'a> = SplitAsciiWhitespace<'a>;

/// Parses a duration.
pub(super) fn duration(words: &mut Words<'_>) -> Result<Duration, EventError> {
    parse_word(words, DURATION, parse_duration)
}

/// Parses an action with all its parameters.
pub(super) fn action(words: &mut Words<'_>) -> Result<Action, EventError> {
    let word = words.next().ok_or(EventError::Missing(ACTION))?;
    match word {
        "kill" => Ok(Action::Kill(any_node(words)?)),
        "stop" => Ok(Action::Stop(any_node(words)?)),
        "start" => Ok(Action::Start(any_node(words)?)),
        "pause" => Ok(Action::Pause(any_node(words)?, for_duration(words)?)),
        "drain" => Ok(Action::Drain(agent(words)?)),
        "undrain" => Ok(Action::Undrain(agent(words)?)),
        "replace" => Ok(Action::Replace(agent(words)?)),
        "cut" => Ok(Action::Cut(domain(words)?, for_duration(words)?)),
        "store" => Ok(Action::Store(store(words)?)),
        "fabric" => links(words),
        "backend" => Ok(Action::Backend(
            backend(words)?,
            behaviour(words)?,
            for_duration(words)?,
        )),
        _ => Err(unexpected(word, ACTION)),
    }
}

fn links(words: &mut Words<'_>) -> Result<Action, EventError> {
    let mut faults = LinkFaults::none();
    loop {
        let word = words.next().ok_or(EventError::Missing(LINKS))?;
        faults = match word {
            "loss" => faults.loss_percent(percent(words)?),
            "reorder" => faults.reorder_percent(percent(words)?),
            "duplicate" => faults.duplicate_percent(percent(words)?),
            "delay" => {
                let (from, to) = parse_word(words, DURATION_RANGE, duration_range)?;
                faults.delay_us(micros(from), micros(to))
            }
            "for" => return Ok(Action::Links(faults, duration(words)?)),
            _ => return Err(unexpected(word, LINKS)),
        };
    }
}

fn for_duration(words: &mut Words<'_>) -> Result<Duration, EventError> {
    parse_word(words, FOR, |word| (word == "for").then_some(()))?;
    duration(words)
}

fn any_node(words: &mut Words<'_>) -> Result<Node, EventError> {
    parse_word(words, NODE, |word| {
        parse_number(word, "balancer-")
            .map(Node::balancer)
            .or_else(|| parse_number(word, "agent-").map(Node::agent))
    })
}

fn agent(words: &mut Words<'_>) -> Result<Node, EventError> {
    parse_word(words, AGENT, |word| {
        parse_number(word, "agent-").map(Node::agent)
    })
}

fn backend(words: &mut Words<'_>) -> Result<Node, EventError> {
    parse_word(words, BACKEND, |word| {
        parse_number(word, "backend-").map(|number| Node {
            role: Role::Agent,
            number,
        })
    })
}

fn behaviour(words: &mut Words<'_>) -> Result<Behaviour, EventError> {
    parse_word(words, BEHAVIOUR, |word| match word {
        "slow" => Some(Behaviour::Slow),
        "cold" => Some(Behaviour::Cold),
        "shed" => Some(Behaviour::Shed),
        "late" => Some(Behaviour::Late),
        "short" => Some(Behaviour::Short),
        "crossed" => Some(Behaviour::Crossed),
        "lying" => Some(Behaviour::Lying),
        "draining" => Some(Behaviour::Draining),
        _ => None,
    })
}

fn store(words: &mut Words<'_>) -> Result<StoreBehaviour, EventError> {
    let word = words.next().ok_or(EventError::Missing(STORE))?;
    match word {
        "down" => Ok(StoreBehaviour::Down(for_duration(words)?)),
        "hang" => Ok(StoreBehaviour::Hang(for_duration(words)?)),
        "slow" => Ok(StoreBehaviour::Slow {
            delay: duration(words)?,
            duration: for_duration(words)?,
        }),
        "silent-watch" => Ok(StoreBehaviour::SilentWatch(for_duration(words)?)),
        "lose-answer" => Ok(StoreBehaviour::LoseAnswer),
        _ => Err(unexpected(word, STORE)),
    }
}

fn domain(words: &mut Words<'_>) -> Result<Arc<str>, EventError> {
    parse_word(words, DOMAIN, |word| Some(Arc::from(word)))
}

fn percent(words: &mut Words<'_>) -> Result<f64, EventError> {
    parse_word(words, PERCENT, |word| {
        let number: f64 = word.strip_suffix('%')?.parse().ok()?;
        (0.0..=100.0).contains(&number).then_some(number)
    })
}

fn duration_range(word: &str) -> Option<(Duration, Duration)> {
    let (from, to) = word.split_once("..")?;
    let (from, to) = (parse_duration(from)?, parse_duration(to)?);
    (from <= to).then_some((from, to))
}

/// Parses the positive number after `prefix`.
fn parse_number(word: &str, prefix: &str) -> Option<u32> {
    let number = word.strip_prefix(prefix)?.parse().ok()?;
    (number > 0).then_some(number)
}

/// Takes the next word and parses it with `parse`.
fn parse_word<T>(
    words: &mut Words<'_>,
    expected: &'static str,
    parse: impl Fn(&str) -> Option<T>,
) -> Result<T, EventError> {
    let word = words.next().ok_or(EventError::Missing(expected))?;
    parse(word).ok_or_else(|| unexpected(word, expected))
}

fn unexpected(word: &str, expected: &'static str) -> EventError {
    EventError::Unexpected {
        word: word.to_owned(),
        expected,
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
