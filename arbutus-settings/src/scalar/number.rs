use std::{ops::RangeInclusive, time::Duration};

use crate::{
    document::{Node, Value},
    findings::Findings,
};

/// Returns a parser for an integer within `range`.
pub fn integer(
    range: RangeInclusive<u64>,
) -> impl FnOnce(&str, &Node, &mut Findings) -> Option<u64> {
    move |key, node, findings| {
        let Value::Number(written) = &node.value else {
            let message = format!("`{key}` must be a number, found {}", node.value.kind());
            findings.add(&node.location, message);
            return None;
        };
        let parsed = written.parse().ok().filter(|it| range.contains(it));
        if parsed.is_none() {
            let (low, high) = (range.start(), range.end());
            let message = format!("`{key}` must be between {low} and {high}, found {written}");
            findings.add(&node.location, message);
        }
        parsed
    }
}

/// Returns a parser for a duration in milliseconds within `range`.
pub fn duration_ms(
    range: RangeInclusive<u64>,
) -> impl FnOnce(&str, &Node, &mut Findings) -> Option<Duration> {
    move |key, node, findings| integer(range)(key, node, findings).map(Duration::from_millis)
}

/// Parses `true` or `false`.
pub fn boolean(key: &str, node: &Node, findings: &mut Findings) -> Option<bool> {
    match &node.value {
        Value::Bool(value) => Some(*value),
        other => {
            let message = format!("`{key}` must be true or false, found {}", other.kind());
            findings.add(&node.location, message);
            None
        }
    }
}
