use rand::Rng;

/// The version of the `traceparent` header that is read and written.
const VERSION: &str = "00";
const TRACE_ID_DIGITS: usize = 32;
const SPAN_ID_DIGITS: usize = 16;
const FLAG_DIGITS: usize = 2;

/// The position of a span in a trace.
///
/// # Examples
///
/// ```
/// use arbutus_io::trace::TraceContext;
///
/// let text = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
/// let caller = TraceContext::parse(text).expect("a valid header");
/// let agent = caller.child(&mut rand::rng());
/// assert_eq!(agent.trace_id(), caller.trace_id());
/// assert_ne!(agent.span_id(), caller.span_id());
/// assert_eq!(TraceContext::parse(&agent.to_string()), Some(agent));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TraceContext {
    /// Never zero.
    trace: u128,
    /// Never zero.
    span: u64,
    flags: u8,
}

impl TraceContext {
    /// Creates the context of the first span of a new trace.
    pub fn root(rng: &mut impl Rng) -> Self {
        Self {
            trace: rng.random_range(1..=u128::MAX),
            span: rng.random_range(1..=u64::MAX),
            flags: 0,
        }
    }

    /// Parses a `traceparent` header; returns `None` if it is malformed or of another version.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut fields = text.split('-');
        let version = fields.next()?;
        let trace = hex(fields.next()?, TRACE_ID_DIGITS)?;
        let span = u64::try_from(hex(fields.next()?, SPAN_ID_DIGITS)?).ok()?;
        let flags = u8::try_from(hex(fields.next()?, FLAG_DIGITS)?).ok()?;
        let is_known = version == VERSION && fields.next().is_none();
        (is_known && trace != 0 && span != 0).then_some(Self { trace, span, flags })
    }

    /// Creates the context of a child span in the same trace.
    #[must_use]
    pub fn child(&self, rng: &mut impl Rng) -> Self {
        Self {
            span: rng.random_range(1..=u64::MAX),
            ..*self
        }
    }

    /// Returns the trace ID in hexadecimal digits.
    #[must_use]
    pub fn trace_id(&self) -> String {
        format!("{:032x}", self.trace)
    }

    /// Returns the span ID in hexadecimal digits.
    #[must_use]
    pub fn span_id(&self) -> String {
        format!("{:016x}", self.span)
    }
}

impl std::fmt::Display for TraceContext {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { trace, span, flags } = self;
        write!(f, "{VERSION}-{trace:032x}-{span:016x}-{flags:02x}")
    }
}

/// Parses exactly `count` lower-case hexadecimal digits.
fn hex(digits: &str, count: usize) -> Option<u128> {
    let is_lower_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if digits.len() != count || !digits.bytes().all(is_lower_hex) {
        return None;
    }
    u128::from_str_radix(digits, 16).ok()
}
