//! The record of a case: what was sent, answered and run, with the time since its start.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = Mutex::new(File::create(path)?);
        Ok(Record {
            file,
            started_at: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} s  {text}");
    }

    /// Writes a line that is printed too.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started_at).as_secs_f64()
    }
}
