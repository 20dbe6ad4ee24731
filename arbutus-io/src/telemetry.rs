//! Logs: one line of key=value pairs for each event, on standard output.
//!
//! Lines are handed to a thread that writes them, so that a reader that has stopped holds nothing
//! up. What does not fit the bounded buffer is left out and counted in a later line.

mod bounded_log;
mod log_rate_limiter;

use std::{sync::LazyLock, time::Duration};

use tracing_subscriber::{EnvFilter, layer::SubscriberExt, util::SubscriberInitExt};

pub use bounded_log::BoundedLog;
pub use log_rate_limiter::LogRateLimiter;

/// Environment variable with the log filter, for example `info` or `arbutus_io=debug`.
pub const LOG_FILTER_VARIABLE: &str = "ARBUTUS_LOG";

static LOG: LazyLock<BoundedLog> = LazyLock::new(|| BoundedLog::start(std::io::stdout()));

/// Starts logging for this process; a second call does nothing.
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

/// Waits until the lines so far are written, but no longer than `limit`.
pub fn flush(limit: Duration) {
    LOG.flush(limit);
}
