use std::time::Duration;

/// The query parameters that the stand-in supports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct Query {
    /// The index after which a read waits for a change.
    pub(super) index: Option<u64>,
    /// How long the read waits.
    pub(super) wait: Option<Duration>,
    /// The index of the last change that a write expects; 0 if the key must not exist.
    pub(super) cas: Option<u64>,
}

impl Query {
    /// Parses a query string; other parameters and invalid values are ignored.
    pub(super) fn parse(text: &str) -> Self {
        let mut query = Self::default();
        for part in text.split('&') {
            match part.split_once('=') {
                Some(("index", value)) => query.index = value.parse().ok(),
                Some(("wait", value)) => query.wait = parse_duration(value),
                Some(("cas", value)) => query.cas = value.parse().ok(),
                _ => {}
            }
        }
        query
    }
}

/// Parses durations such as `10s`, `500ms` and `5m`.
pub(super) fn parse_duration(text: &str) -> Option<Duration> {
    let end = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(end);
    let number: u64 = number.parse().ok()?;
    match unit {
        "ms" => Some(Duration::from_millis(number)),
        "s" => Some(Duration::from_secs(number)),
        "m" => Some(Duration::from_secs(number * 60)),
        _ => None,
    }
}
