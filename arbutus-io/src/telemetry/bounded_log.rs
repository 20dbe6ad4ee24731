use std::{
    io::{self, Write},
    sync::Arc,
    thread,
    time::Duration,
};

use parking_lot::{Condvar, Mutex};

/// A log with a bounded buffer whose writers never wait for its reader.
///
/// Lines that do not fit into the buffer are dropped and counted.
#[derive(Debug, Clone)]
pub struct BoundedLog {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    pending: Mutex<Pending>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Pending {
    /// Complete lines, at most [`BoundedLog::MAX_PENDING_BYTES`].
    lines: Vec<u8>,
    /// Number of lines dropped since the last write.
    dropped: u64,
    /// Whether the log thread is writing lines that it has removed from `lines`.
    writing: bool,
}

impl BoundedLog {
    /// Maximum number of bytes that wait to be written.
    pub const MAX_PENDING_BYTES: usize = 256 * 1024;

    /// Pause after each write, during which lines accumulate for the next one.
    const BATCH_INTERVAL: Duration = Duration::from_millis(100);

    /// Starts a log and its thread, which writes the lines to `out`.
    #[must_use]
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let shared = Arc::new(Shared::default());
        let log = Self {
            shared: shared.clone(),
        };
        let spawned = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&shared, out));
        if let Err(err) = spawned {
            eprintln!("event=log_thread_failed err={err:?}");
        }
        log
    }

    /// Waits until all lines are written, for at most `timeout`.
    pub fn flush(&self, timeout: Duration) {
        let mut pending = self.shared.pending.lock();
        let busy = |it: &mut Pending| it.writing || !it.lines.is_empty();
        self.shared
            .changed
            .wait_while_for(&mut pending, busy, timeout);
    }
}

impl Write for BoundedLog {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut pending = self.shared.pending.lock();
        if pending.lines.len() + buf.len() > Self::MAX_PENDING_BYTES {
            pending.dropped += 1;
            return Ok(buf.len());
        }
        let was_empty = pending.lines.is_empty();
        pending.lines.extend_from_slice(buf);
        if was_empty {
            self.shared.changed.notify_all();
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(shared: &Shared, mut out: impl Write) {
    loop {
        let lines = take_lines(shared);
        let written = out.write_all(&lines).and_then(|()| out.flush());
        if let Err(err) = written {
            // The log itself has failed, so standard error is the only place left to report it.
            eprintln!("event=log_write_failed err={err:?}");
        }
        shared.pending.lock().writing = false;
        shared.changed.notify_all();
        thread::sleep(BoundedLog::BATCH_INTERVAL);
    }
}

fn take_lines(shared: &Shared) -> Vec<u8> {
    let mut pending = shared.pending.lock();
    while pending.lines.is_empty() {
        shared.changed.wait(&mut pending);
    }
    let mut lines = std::mem::take(&mut pending.lines);
    let dropped = std::mem::take(&mut pending.dropped);
    if dropped > 0 {
        lines.extend_from_slice(format!("event=log_lines_left_out count={dropped}\n").as_bytes());
    }
    pending.writing = true;
    lines
}
