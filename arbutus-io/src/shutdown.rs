//! The operator's wish that a daemon ends.

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
