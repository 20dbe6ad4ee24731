//! Signals that ask a daemon to stop or to reload its settings.
//!
//! An unhandled signal terminates the process at once, so daemons install their handlers before
//! they open their sockets.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Installs handlers for SIGTERM and SIGINT and returns a future that completes on either signal.
///
/// A signal that arrives before the future is polled is not lost.
///
/// # Panics
///
/// Panics if the signal handlers cannot be installed.
pub fn requested() -> impl Future<Output = ()> {
    let mut term = signal(SignalKind::terminate()).expect("SIGTERM can be handled");
    let mut int = signal(SignalKind::interrupt()).expect("SIGINT can be handled");
    async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    }
}

/// A stream of SIGHUP signals, each of which asks a daemon to reload its settings.
#[derive(Debug)]
pub struct ReloadSignals {
    hangup: Signal,
}

impl ReloadSignals {
    /// Installs a handler for SIGHUP.
    ///
    /// # Panics
    ///
    /// Panics if the signal handler cannot be installed.
    #[must_use]
    pub fn new() -> Self {
        Self {
            hangup: signal(SignalKind::hangup()).expect("SIGHUP can be handled"),
        }
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        if self.hangup.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
    }
}

impl Default for ReloadSignals {
    fn default() -> Self {
        Self::new()
    }
}
