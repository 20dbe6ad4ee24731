use std::sync::Arc;

use http::{Method, StatusCode};
use parking_lot::Mutex;
use prometheus_client::{encoding::text, registry::Registry};

use super::{Call, Reply};

/// Serves a metrics registry at `/metrics`.
#[derive(Debug, Clone)]
pub struct MetricsPage {
    registry: Arc<Mutex<Registry>>,
}

impl MetricsPage {
    /// Creates a page that serves `registry`.
    #[must_use]
    pub fn new(registry: Registry) -> Self {
        Self {
            registry: Arc::new(Mutex::new(registry)),
        }
    }

    /// Returns the metrics as `OpenMetrics` text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut body = String::new();
        if let Err(err) = text::encode(&mut body, &self.registry.lock()) {
            tracing::warn!(%err, "metrics_encoding_failed");
        }
        body
    }

    /// Answers a call: with the metrics for `GET /metrics`, or else with 404 Not Found.
    #[must_use]
    pub fn answer(&self, call: &Call) -> Reply {
        match (&call.method, call.path.as_str()) {
            (&Method::GET, "/metrics") => Reply::text(self.text()),
            _ => Reply::empty(StatusCode::NOT_FOUND),
        }
    }
}
