//! Logs: one line of key=value pairs for each event, on standard error.

use tracing_subscriber::{EnvFilter, layer::SubscriberExt, util::SubscriberInitExt};

/// Environment variable with the log filter, for example `info` or `arbutus_io=debug`.
pub const LOG_FILTER_VARIABLE: &str = "ARBUTUS_LOG";

/// Starts logging for this process; a second call does nothing.
pub fn init() {
    let filter =
        EnvFilter::try_from_env(LOG_FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = tracing_logfmt::builder()
        .with_target(true)
        .layer()
        .with_writer(std::io::stderr);
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
}
