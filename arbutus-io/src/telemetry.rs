//! Logging to standard output, with one line of key=value pairs for each event.
//!
//! A separate thread writes the lines, so that a stalled reader of standard output never blocks the
//! process. Lines that do not fit into the bounded buffer are dropped, and a later line reports how
//! many.

mod bounded_log;
mod log_rate_limiter;

use std::{sync::LazyLock, time::Duration};

use tracing_subscriber::{EnvFilter, layer::SubscriberExt, util::SubscriberInitExt};

pub use bounded_log::BoundedLog;
pub use log_rate_limiter::LogRateLimiter;

/// Environment variable that holds the log filter, for example `info` or `arbutus_io=debug`.
pub const LOG_FILTER_VARIABLE: &str = "ARBUTUS_LOG";

static LOG: LazyLock<BoundedLog> = LazyLock::new(|| BoundedLog::start(std::io::stdout()));

/// Starts logging for this process. Further calls do nothing.
pub fn init() {
    let filter =
        EnvFilter::try_from_env(LOG_FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = tracing_logfmt::builder()
        .with_target(true)
        .layer()
        .with_writer(|| LOG.clone());
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
}

/// Waits until all lines logged so far are written, for at most `timeout`.
pub fn flush(timeout: Duration) {
    LOG.flush(timeout);
}
