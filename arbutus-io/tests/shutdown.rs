//! Tests that signals are not lost if they arrive before a daemon waits for them.

use arbutus_io::shutdown::{self, ReloadSignals};
use nix::sys::signal::{self, Signal};

#[tokio::test]
async fn a_stop_signal_that_arrives_before_the_wait_is_not_lost() {
    let stop = shutdown::requested();
    signal::raise(Signal::SIGTERM).expect("a signal to this process");
    stop.await;
}

#[tokio::test]
async fn a_reload_signal_that_arrives_before_the_wait_is_not_lost() {
    let mut reloads = ReloadSignals::new();
    signal::raise(Signal::SIGHUP).expect("a signal to this process");
    reloads.next().await;
}
