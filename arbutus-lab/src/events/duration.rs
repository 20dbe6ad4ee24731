use std::time::Duration;

/// Parses a duration such as `250ms` or `1.5s`.
///
/// Returns `None` for any other text; signs and exponents are not accepted.
#[must_use]
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit_s) = match text.strip_suffix("ms") {
        Some(number) => (number, 1e-3),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let is_plain = number
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    if !is_plain {
        return None;
    }
    let seconds = number.parse::<f64>().ok()? * unit_s;
    Duration::try_from_secs_f64(seconds).ok()
}
