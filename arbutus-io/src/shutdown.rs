//! The operator's wish that a daemon ends, or reads its settings again.
//!
//! A signal that nobody handles ends the process at once, so daemons take theirs over before they
//! open their sockets.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Takes over SIGTERM and SIGINT, and gives what waits for one of them, which may have come already.
///
/// # Panics
///
/// Panics where the kernel does not let the process handle signals.
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

/// The operator's wishes that a daemon reads its settings again.
#[derive(Debug)]
pub struct ReloadSignals {
    hangup: Signal,
}

impl ReloadSignals {
    /// Takes over SIGHUP.
    ///
    /// # Panics
    ///
    /// Panics where the kernel does not let the process handle signals.
    #[must_use]
    pub fn new() -> Self {
        Self {
            hangup: signal(SignalKind::hangup()).expect("SIGHUP can be handled"),
        }
    }

    /// Waits for the next one.
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
