//! Trace contexts (W3C Trace Context, level 1) and spans of hops.

mod hop_span;
mod trace_context;

pub use hop_span::{HopSpan, TRACE_TARGET};
pub use trace_context::TraceContext;
