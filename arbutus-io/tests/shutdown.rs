//! Signals that come early.

use arbutus_io::shutdown::{self, ReloadSignals};
use nix::sys::signal::{self, Signal};

#[tokio::test]
async fn a_stop_that_comes_before_anybody_waits_for_it_is_not_lost() {
    let stop = shutdown::requested();
    signal::raise(Signal::SIGTERM).expect("a signal to this process");
    stop.await;
}

#[tokio::test]
async fn a_reload_that_comes_before_anybody_waits_for_it_is_not_lost() {
    let mut reloads = ReloadSignals::new();
    signal::raise(Signal::SIGHUP).expect("a signal to this process");
    reloads.next().await;
}
