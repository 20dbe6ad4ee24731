use std::sync::Arc;

use prometheus_client::registry::Registry;

use super::views::{ConfigView, RosterView};
use crate::http::MetricsPage;

/// The sources of the admin port's responses; the closures are called for each request.
#[derive(Clone)]
pub struct AdminState {
    metrics: MetricsPage,
    config: Arc<dyn Fn() -> ConfigView + Send + Sync>,
    roster: Arc<dyn Fn() -> RosterView + Send + Sync>,
}

impl AdminState {
    /// Creates a state that serves the metrics in `registry` and the two views.
    #[must_use]
    pub fn new(
        registry: Registry,
        config: impl Fn() -> ConfigView + Send + Sync + 'static,
        roster: impl Fn() -> RosterView + Send + Sync + 'static,
    ) -> Self {
        Self {
            metrics: MetricsPage::new(registry),
            config: Arc::new(config),
            roster: Arc::new(roster),
        }
    }

    /// Returns the metrics as `OpenMetrics` text.
    #[must_use]
    pub fn metrics(&self) -> String {
        self.metrics.text()
    }

    /// Returns the body of `/config`.
    #[must_use]
    pub fn config(&self) -> ConfigView {
        (self.config)()
    }

    /// Returns the body of `/roster`.
    #[must_use]
    pub fn roster(&self) -> RosterView {
        (self.roster)()
    }
}

// Requests only read the views, so a panic in one request does not affect the next.
impl std::panic::RefUnwindSafe for AdminState {}

impl std::fmt::Debug for AdminState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("AdminState(..)")
    }
}
