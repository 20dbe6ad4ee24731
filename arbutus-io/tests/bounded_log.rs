//! Tests that a log whose output is blocked does not block its process, and that lines are limited.

use std::{
    io::{self, Write},
    sync::{Arc, mpsc},
    time::Duration,
};

use arbutus_core::time::Timestamp;
use arbutus_io::telemetry::{BoundedLog, LogRateLimiter};
use parking_lot::Mutex;

/// A writer that blocks until the sender of `release` is dropped.
struct BlockedWriter {
    release: mpsc::Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.release.recv();
        self.written.lock().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_writer_never_blocks_the_log_and_omitted_lines_are_counted() {
    const LINE: &[u8] = b"event=something happened=again\n";
    let (tx, release) = mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let writer = BlockedWriter {
        release,
        written: written.clone(),
    };
    let mut log = BoundedLog::start(writer);
    let lines = 4 * BoundedLog::MAX_PENDING_BYTES / LINE.len();
    for _ in 0..lines {
        log.write_all(LINE).expect("writing never fails");
    }
    drop(tx);
    log.flush(Duration::from_secs(20));
    log.write_all(b"event=last\n").expect("writing never fails");
    log.flush(Duration::from_secs(20));

    let text = String::from_utf8(written.lock().clone()).expect("text");
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
fn lines_above_the_limit_per_second_are_suppressed_and_counted() {
    let mut limiter = LogRateLimiter::new(3);
    let second = |number: u64| Timestamp::from_millis(10_000 + number * 1_000);
    let allowed = (0..10).filter(|_| limiter.allow(second(0))).count();
    assert_eq!(allowed, 3);
    assert_eq!(limiter.take_suppressed(), 7);
    assert_eq!(limiter.take_suppressed(), 0);
    assert!(limiter.allow(second(1)));
}
