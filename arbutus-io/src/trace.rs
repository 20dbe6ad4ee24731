//! Trace context (W3C Trace Context, level 1) and the span of one hop.

mod hop_span;
mod trace_context;

pub use hop_span::{HopSpan, TRACE_TARGET};
pub use trace_context::TraceContext;
