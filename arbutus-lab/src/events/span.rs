use std::time::Duration;

/// Reads a span of time like `250ms` or `1.5s`.
#[must_use]
pub fn parse_span(text: &str) -> Option<Duration> {
    let (number, unit_s) = match text.strip_suffix("ms") {
        Some(number) => (number, 1e-3),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let plain = number
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    if !plain {
        return None;
    }
    let seconds = number.parse::<f64>().ok()? * unit_s;
    Duration::try_from_secs_f64(seconds).ok()
}
