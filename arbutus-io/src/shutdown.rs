//! The operator's wish that a daemon ends, or reads its settings again.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// # Panics
///
/// Panics where the kernel does not let the process handle signals.
pub async fn requested() {
    let mut term = signal(SignalKind::terminate()).expect("SIGTERM can be handled");
    let mut int = signal(SignalKind::interrupt()).expect("SIGINT can be handled");
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

/// Calls `reload` at each SIGHUP until the process ends.
///
/// # Panics
///
/// Panics where the kernel does not let the process handle signals.
pub async fn on_reload(reload: impl Fn()) {
    let mut hangup = signal(SignalKind::hangup()).expect("SIGHUP can be handled");
    while hangup.recv().await.is_some() {
        reload();
    }
}
