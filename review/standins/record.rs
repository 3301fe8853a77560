//! `record.txt`: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    pub started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(folder: &Path) -> std::io::Result<Record> {
        Ok(Record {
            started: Instant::now(),
            file: Mutex::new(File::create(folder.join("record.txt"))?),
        })
    }

    /// Writes a line to the record and to the standard output.
    pub fn line(&self, text: &str) {
        self.quiet(text);
        println!("{:8.3} {text}", self.started.elapsed().as_secs_f64());
    }

    /// Writes a line to the record only.
    pub fn quiet(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    /// The time of an event, in seconds from the start.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }
}
