use std::time::Instant;

use super::TraceContext;

/// The log target of spans, enabled by the filter `arbutus_trace=debug`.
pub const TRACE_TARGET: &str = "arbutus_trace";

/// The span of one hop, logged as one line when it is dropped.
#[derive(Debug)]
pub struct HopSpan {
    hop: &'static str,
    context: TraceContext,
    parent: Option<TraceContext>,
    flow: String,
    start: Instant,
}

impl HopSpan {
    /// Begins the span of `hop`, as a child of `parent` if the request has one.
    ///
    /// `flow` is the flow's name, as in the balancer's log lines.
    #[must_use]
    pub fn begin(hop: &'static str, parent: Option<TraceContext>, flow: String) -> Self {
        let mut rng = rand::rng();
        let context = match &parent {
            Some(parent) => parent.child(&mut rng),
            None => TraceContext::root(&mut rng),
        };
        Self {
            hop,
            context,
            parent,
            flow,
            start: Instant::now(),
        }
    }

    /// Returns the span's trace context, which the next hop uses as its parent.
    #[must_use]
    pub const fn context(&self) -> TraceContext {
        self.context
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        tracing::debug!(
            target: TRACE_TARGET,
            hop = self.hop,
            trace = self.context.trace_id(),
            span = self.context.span_id(),
            parent = self.parent.map(|parent| parent.span_id()),
            flow = self.flow,
            duration_us = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX),
            "span"
        );
    }
}
