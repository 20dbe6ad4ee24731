use std::sync::Arc;

use prometheus_client::registry::Registry;

use super::views::{ConfigView, RosterView};
use crate::http::MetricsPage;

/// What the admin port shows; the closures are called at each request.
#[derive(Clone)]
pub struct AdminState {
    metrics: MetricsPage,
    config: Arc<dyn Fn() -> ConfigView + Send + Sync>,
    roster: Arc<dyn Fn() -> RosterView + Send + Sync>,
}

impl AdminState {
    /// Makes the state of a port that shows `registry` and the two views.
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

    /// The metrics as `OpenMetrics` text.
    #[must_use]
    pub fn metrics(&self) -> String {
        self.metrics.text()
    }

    /// The body of `/config`.
    #[must_use]
    pub fn config(&self) -> ConfigView {
        (self.config)()
    }

    /// The body of `/roster`.
    #[must_use]
    pub fn roster(&self) -> RosterView {
        (self.roster)()
    }
}

// The views are only read, so that a panic in one request cannot harm the next.
impl std::panic::RefUnwindSafe for AdminState {}

impl std::fmt::Debug for AdminState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("AdminState(..)")
    }
}
