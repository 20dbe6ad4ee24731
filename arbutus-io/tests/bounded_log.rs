//! A log whose reader has stopped holds nothing up.

use std::{
    io::{self, Write},
    sync::{Arc, mpsc},
    time::Duration,
};

use arbutus_core::time::Timestamp;
use arbutus_io::telemetry::{BoundedLog, LogRateLimiter};
use parking_lot::Mutex;

/// A reader that stands still until it is told to go on.
struct StoppedReader {
    go: mpsc::Receiver<()>,
    read: Arc<Mutex<Vec<u8>>>,
}

impl Write for StoppedReader {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.go.recv();
        self.read.lock().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stopped_reader_costs_lines_that_are_counted_and_no_wait() {
    const LINE: &[u8] = b"event=something happened=again\n";
    let (tx, go) = mpsc::channel();
    let read = Arc::new(Mutex::new(Vec::new()));
    let reader = StoppedReader {
        go,
        read: read.clone(),
    };
    let mut log = BoundedLog::start(reader);
    let lines = 4 * BoundedLog::MAX_PENDING_BYTES / LINE.len();
    for _ in 0..lines {
        log.write_all(LINE).expect("writing never fails");
    }
    drop(tx);
    log.flush(Duration::from_secs(20));
    log.write_all(b"event=last\n").expect("writing never fails");
    log.flush(Duration::from_secs(20));

    let text = String::from_utf8(read.lock().clone()).expect("text");
    let kept = text
        .lines()
        .filter(|it| it.starts_with("event=something"))
        .count();
    let left_out: usize = text
        .lines()
        .filter_map(|it| it.strip_prefix("event=log_lines_left_out count="))
        .map(|it| it.parse::<usize>().expect("a number"))
        .sum();
    assert!(left_out > 0);
    assert_eq!(kept + left_out, lines);
    assert!(text.ends_with("event=last\n"));
}

#[test]
fn lines_past_the_budget_of_a_second_are_left_out_and_counted() {
    let mut budget = LogRateLimiter::new(3);
    let second = |number: u64| Timestamp::from_millis(10_000 + number * 1_000);
    let taken = (0..10).filter(|_| budget.allow(second(0))).count();
    assert_eq!(taken, 3);
    assert_eq!(budget.take_suppressed(), 7);
    assert_eq!(budget.take_suppressed(), 0);
    assert!(budget.allow(second(1)));
}
